"""Follows the rules stream and registers the VM as one of its readers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from twisted.internet.defer import Deferred

from .._publication_state import decode_state, encode_state
from ..cell_view import WriteResult
from ..checkpoints import Checkpoint, CheckpointAssembler, CheckpointSchedule
from ..clock import Clock
from ..fold import Fold, Verdict
from ..ids import Offset, SessionId, StreamName, VmId
from ..log_reader import FoldedHandler, LogReader
from ..log_writer import LogWriter
from ..logs import failure_logger
from ..records import (
    NO_OFFSET,
    ReaderJoined,
    ReaderLeft,
    Record,
    RulesApplied,
    RulesCheckpoint,
    RulesProposed,
    RulesRecord,
)
from ..rules_fold import RulesFold
from .match import EMPTY_RULES, IndexedRuleSet
from .parser import RULES_FORMAT

__all__ = ["RulesCheckpointAssembler", "RulesStream", "StreamHost"]

READER_GRACE_S = 30.0
"""How long a reader's VM must be missing before the reader is removed."""


class StreamHost(Protocol):
    """Reads and writes streams; a ``CellAgent`` or a ``LogStreams``."""

    def follow(
        self,
        stream: StreamName,
        fold: Fold,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        assembler: CheckpointAssembler | None = None,
    ) -> LogReader:
        """Creates the reader of a stream."""

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Creates a writer for a followed stream."""


class RulesCheckpointAssembler(CheckpointAssembler):
    """Extracts checkpoints from the rules stream; each is one record."""

    def add(self, offset: Offset, record: Record) -> Checkpoint | None:
        """Adds the next record; returns its checkpoint, if it is one."""
        body = record.body
        if not isinstance(body, RulesCheckpoint):
            return None
        state = replace(decode_state(body.data), text=body.text)
        return Checkpoint(body.as_of, encode_state(state))


class RulesStream:
    """Follows the rules stream and keeps this VM registered as a reader.

    Create it before the host starts, then call ``step`` periodically;
    ``rules`` is the version in force on this VM.

    Args:
        host: Reads and writes streams.
        stream: The rules stream's name.
        session: This daemon's session.
        vm: This VM.
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        live_vms: Returns the VMs of the system, None when unknown; readers
            on VMs that remain missing are removed.
        newest_format: The newest rule format this release can parse.

    Attributes:
        fold: The folded state.
        reader: The stream's reader.
    """

    def __init__(
        self,
        *,
        host: StreamHost,
        stream: StreamName,
        session: SessionId,
        vm: VmId,
        clock: Clock,
        wall_ms: Callable[[], int],
        live_vms: Callable[[], frozenset[VmId] | None] = lambda: None,
        newest_format: int = RULES_FORMAT,
    ) -> None:
        self._session = session
        self._vm = vm
        self._clock = clock
        self._wall_ms = wall_ms
        self._live_vms = live_vms
        self._newest_format = newest_format
        self.fold = RulesFold(newest_format=newest_format)
        self.reader = host.follow(
            stream,
            self.fold,
            on_folded=self._folded,
            on_loaded=lambda: None,
            assembler=RulesCheckpointAssembler(),
        )
        self._writer = host.open_writer(stream, session)
        self._schedule = CheckpointSchedule(rewrite_idle=True)
        self._rules = EMPTY_RULES
        self._reported_version = NO_OFFSET
        self._leaving = False
        self._missing_since: dict[SessionId, float] = {}

    @property
    def rules(self) -> IndexedRuleSet:
        """Returns the version in force on this VM."""
        fold = self.fold
        if self._rules.version != fold.version:
            self._rules = IndexedRuleSet(fold.file, version=fold.version)
        return self._rules

    def current(self) -> bool:
        """Returns whether this VM may serve with its rules.

        False while its state is incomplete, while it knows of a record
        that it has not applied, or if the rules in force have a format
        that it cannot parse.
        """
        reader = self.reader
        if not reader.ready or reader.folded < reader.newest:
            return False
        return self.fold.readable

    def submit(self, body: RulesRecord) -> Deferred[WriteResult]:
        """Appends a record; the result fires once it is read back.

        Args:
            body: The record's body.
        """
        return self._writer.submit(body)

    def leave(self) -> Deferred[WriteResult]:
        """Unregisters this VM as a reader, during a graceful shutdown."""
        self._leaving = True
        return self.submit(ReaderLeft(self._session))

    async def step(self) -> None:
        """Performs periodic work.

        Registers this VM as a reader, reports the version in force,
        removes missing readers and writes a checkpoint when due.
        """
        if not self.current() or self._leaving or self._writer.pending:
            return
        readers = self.fold.readers()
        sessions = [reader.session for reader in readers]
        if self._session not in sessions:
            self._write(ReaderJoined(self._vm, self._newest_format))
            return
        self._report_applied_version()
        rank = sessions.index(self._session)
        self._remove_missing_readers(rank)
        if self._checkpoint_due(rank):
            self._write(self.fold.checkpoint())

    def _folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        body = record.body
        if isinstance(body, RulesCheckpoint):
            self._schedule.on_checkpoint(body.as_of, self._clock.seconds())
        if isinstance(body, RulesProposed) and self.current():
            self._report_applied_version()

    def _report_applied_version(self) -> None:
        version = self.rules.version
        if self._reported_version == version or self._leaving:
            return
        self._reported_version = version
        self._write(RulesApplied(self._vm, version, self._wall_ms()))

    def _checkpoint_due(self, rank: int) -> bool:
        return self._schedule.is_due(
            self._clock.seconds(),
            folded=self.reader.folded,
            first_retained=self.reader.first_retained,
            rank=rank,
        )

    def _remove_missing_readers(self, rank: int) -> None:
        """Removes readers on missing VMs.

        The grace period grows with the rank, so that usually only the
        reader with the lowest rank writes the removal.
        """
        live = self._live_vms()
        if live is None or self._vm not in live:
            self._missing_since.clear()
            return
        now = self._clock.seconds()
        missing_since: dict[SessionId, float] = {}
        for reader in self.fold.readers():
            if reader.vm in live:
                continue
            since = self._missing_since.get(reader.session, now)
            missing_since[reader.session] = since
            if now - since >= READER_GRACE_S * (1 + rank):
                self._write(ReaderLeft(reader.session))
                missing_since[reader.session] = now
        self._missing_since = missing_since

    def _write(self, body: RulesRecord) -> None:
        self.submit(body).addErrback(
            failure_logger("could not write a rules record")
        )
