"""A VM's hold on the rules stream: its fold, and its entry as a reader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from twisted.internet.defer import Deferred

from .._publication_state import decode_state, encode_state
from ..cell_view import Folded
from ..checkpoints import Checkpoint, CheckpointAssembler, CheckpointSchedule
from ..clock import Clock
from ..fold import Fold, Verdict
from ..ids import Offset, SessionId, StreamName, VmId
from ..log_reader import FoldedHandler, LogReader
from ..log_writer import LogWriter
from ..logs import failure_logger
from ..publication import Publication
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
from .match import EMPTY_RULES, MatchedRules
from .parser import RULES_FORMAT

__all__ = ["RulesCheckpoints", "RulesStream", "StreamHost"]

READER_GRACE_S = 30.0


class StreamHost(Protocol):
    """Follows streams; a ``CellAgent`` or a ``LogStreams``."""

    def follow(
        self,
        stream: StreamName,
        fold: Fold,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        assembler: CheckpointAssembler | None = None,
    ) -> LogReader:
        """Makes the reader of a stream."""

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Returns a writer to a followed stream."""


class RulesCheckpoints(CheckpointAssembler):
    """Finds the rules stream's checkpoints, one record each."""

    def add(self, offset: Offset, record: Record) -> Checkpoint | None:
        """Takes the next record of the stream."""
        body = record.body
        if not isinstance(body, RulesCheckpoint):
            return None
        state = replace(decode_state(body.data), text=body.text)
        return Checkpoint(body.as_of, encode_state(state))


class RulesStream:
    """Follows the rules stream and keeps this VM listed as a reader.

    Make it before the host starts, then call ``step`` at a steady
    interval; ``rules`` is the version in force on this VM.

    Args:
        host: Reads and writes streams.
        stream: The rules stream's name.
        session: This daemon's session.
        vm: This VM.
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        live_vms: Returns the system's VMs, None when unknown; readers
            on VMs that stay missing are taken off.
        newest_format: The newest rule format this release reads.

    Attributes:
        publication: The folded state.
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
        self.publication = Publication(newest_format=newest_format)
        self.reader = host.follow(
            stream,
            self.publication,
            on_folded=self._folded,
            on_loaded=lambda: None,
            assembler=RulesCheckpoints(),
        )
        self._writer = host.open_writer(stream, session)
        self._schedule = CheckpointSchedule(rewrite_idle=True)
        self._rules = EMPTY_RULES
        self._applied = NO_OFFSET
        self._leaving = False
        self._missing_since: dict[SessionId, float] = {}

    @property
    def rules(self) -> MatchedRules:
        """Returns the version in force on this VM."""
        publication = self.publication
        if self._rules.version != publication.version:
            self._rules = MatchedRules(
                publication.file, version=publication.version
            )
        return self._rules

    def current(self) -> bool:
        """Returns whether this VM may serve by its state.

        False while it has no whole state, knows of a newer record or
        holds rules in a format that it cannot read.
        """
        reader = self.reader
        if not reader.ready or reader.folded < reader.newest:
            return False
        return self.publication.readable

    def submit(self, body: RulesRecord) -> Deferred[Folded]:
        """Writes a record; the result fires once it is read back.

        Args:
            body: What to write.
        """
        return self._writer.submit(body)

    def leave(self) -> Deferred[Folded]:
        """Takes this VM off the readers, at a graceful shutdown."""
        self._leaving = True
        return self.submit(ReaderLeft(self._session))

    async def step(self) -> None:
        """Joins the readers, reports what is in force, checkpoints."""
        if not self.current() or self._leaving or self._writer.pending:
            return
        readers = self.publication.readers()
        sessions = [reader.session for reader in readers]
        if self._session not in sessions:
            self._write(ReaderJoined(self._vm, self._newest_format))
            return
        self._report()
        rank = sessions.index(self._session)
        self._remove_missing(rank)
        if self._checkpoint_due(rank):
            self._write(self.publication.checkpoint())

    def _folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        body = record.body
        if isinstance(body, RulesCheckpoint):
            self._schedule.on_checkpoint(body.as_of, self._clock.seconds())
        if isinstance(body, RulesProposed) and self.current():
            self._report()

    def _report(self) -> None:
        version = self.rules.version
        if self._applied == version or self._leaving:
            return
        self._applied = version
        self._write(RulesApplied(self._vm, version, self._wall_ms()))

    def _checkpoint_due(self, rank: int) -> bool:
        return self._schedule.is_due(
            self._clock.seconds(),
            folded=self.reader.folded,
            first_retained=self.reader.first_retained,
            rank=rank,
        )

    def _remove_missing(self, rank: int) -> None:
        """Takes readers off whose VMs are gone; low ranks go first."""
        live = self._live_vms()
        if live is None or self._vm not in live:
            self._missing_since.clear()
            return
        now = self._clock.seconds()
        missing_since: dict[SessionId, float] = {}
        for reader in self.publication.readers():
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
            failure_logger("rules record not written")
        )
