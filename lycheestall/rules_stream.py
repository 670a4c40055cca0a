"""A VM's hold on the rules stream: reads it, folds it, writes to it.

What an append did is learned by reading alone. Reading and writing are
those of the cell's stream, so a VM that the log does not answer gets
rules from its peers, and has no authority while it knows of newer ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from twisted.internet.defer import Deferred

from ._publication_state import decode_state, encode_state
from .cell_view import Folded
from .checkpoints import Checkpoint, CheckpointAssembler, CheckpointSchedule
from .clock import Clock
from .fold import Fold, Verdict
from .ids import Offset, SessionId, StreamName, VmId
from .log_reader import FoldedHandler, LogReader
from .log_writer import LogWriter
from .publication import Publication, Reader
from .records import (
    NO_OFFSET,
    ReaderJoined,
    ReaderLeft,
    Record,
    RulesApplied,
    RulesCheckpoint,
    RulesRecord,
)
from .rules_match import EMPTY_RULES, MatchedRules
from .rules_parser import RULES_FORMAT

__all__ = ["RulesCheckpoints", "RulesStream", "StreamHost"]

READER_GONE_S = 10.0


class StreamHost(Protocol):
    """Follows streams and writes to them."""

    def follow(
        self,
        stream: StreamName,
        fold: Fold,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        assembler: CheckpointAssembler | None = None,
    ) -> LogReader:
        """Returns a reader that folds the stream once the host starts."""

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Returns a writer to a followed stream."""


class RulesCheckpoints(CheckpointAssembler):
    """Finds the rules stream's own kind of checkpoint."""

    def add(self, offset: Offset, record: Record) -> Checkpoint | None:
        """Returns the state that a checkpoint record holds."""
        body = record.body
        if not isinstance(body, RulesCheckpoint):
            return None
        state = replace(decode_state(body.data), text=body.text)
        return Checkpoint(body.as_of, encode_state(state))


class RulesStream:
    """Follows the rules stream and keeps this VM listed as a reader.

    Call ``step`` at a steady interval; ``rules`` is the version in force.

    Args:
        host: Follows the stream.
        stream: The rules stream's name.
        session: This daemon's session.
        vm: This VM.
        members: Returns the VMs of the cell, to tell dead readers.
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        newest_format: The newest rule format this release reads.

    Attributes:
        publication: The folded state.
    """

    def __init__(
        self,
        *,
        host: StreamHost,
        stream: StreamName,
        session: SessionId,
        vm: VmId,
        members: Callable[[], frozenset[VmId]],
        clock: Clock,
        wall_ms: Callable[[], int],
        newest_format: int = RULES_FORMAT,
    ) -> None:
        self._session = session
        self._vm = vm
        self._members = members
        self._clock = clock
        self._wall_ms = wall_ms
        self._newest_format = newest_format
        self.publication = Publication(newest_format=newest_format)
        self._rules = EMPTY_RULES
        self._reader = host.follow(
            stream,
            self.publication,
            on_folded=self._folded,
            on_loaded=lambda: None,
            assembler=RulesCheckpoints(),
        )
        self._writer = host.open_writer(stream, session)
        self._schedule = CheckpointSchedule(rewrite_idle=True)
        self._leaving = False
        self._applied = NO_OFFSET
        self._gone_since_by_session: dict[SessionId, float] = {}

    @property
    def rules(self) -> MatchedRules:
        """Returns the version in force on this VM."""
        publication = self.publication
        if self._rules.version != publication.version:
            self._rules = MatchedRules(
                publication.file, version=publication.version
            )
        return self._rules

    @property
    def folded(self) -> Offset:
        """Returns the newest offset taken into the state."""
        return self._reader.folded

    def current(self) -> bool:
        """Returns whether this VM may serve by its state.

        False while its state is not whole, while it knows of a newer
        record, or when it cannot read the rules' format.
        """
        reader = self._reader
        known = reader.ready and reader.folded >= reader.newest
        return known and self.publication.readable

    def answering(self) -> bool:
        """Returns whether the log answers this VM."""
        return self._reader.ready and not self._reader.failing

    def submit(self, body: RulesRecord) -> Deferred[Folded]:
        """Writes a record; fires once it is read back.

        Cancelling drops the record if it has not been sent; a sent one
        may still take effect.

        Args:
            body: What to write.
        """
        return self._writer.submit(body)

    def sent(self, done: Deferred[Folded]) -> bool:
        """Returns whether a submitted record may be in the log.

        Args:
            done: What ``submit`` returned; not fired, not cancelled.
        """
        return self._writer.sent(done)

    def leave(self) -> Deferred[Folded]:
        """Takes this VM off the readers; ends its upkeep."""
        self._leaving = True
        return self._writer.submit(ReaderLeft(self._session))

    def step(self) -> None:
        """Keeps this VM's entry, and checkpoints, up to date."""
        if self._leaving or not self.current() or self._writer.pending:
            return
        readers = self.publication.readers()
        sessions = [reader.session for reader in readers]
        if self._session not in sessions:
            self._write(ReaderJoined(self._vm, self._newest_format))
            return
        if self._applied != self.publication.version:
            self._applied = self.rules.version
            at_ms = self._wall_ms()
            self._write(RulesApplied(self._vm, self._applied, at_ms))
        rank = sessions.index(self._session)
        if rank == 0:
            self._drop_gone(readers)
        due = self._schedule.due(
            self._clock.seconds(),
            folded=self.folded,
            first_retained=self._reader.first_retained,
            rank=rank,
        )
        if due and self.folded != NO_OFFSET:
            self._write(self.publication.checkpoint())

    def _folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if isinstance(record.body, RulesCheckpoint):
            self._schedule.seen(record.body.as_of, self._clock.seconds())

    def _drop_gone(self, readers: tuple[Reader, ...]) -> None:
        """Takes readers off whose VMs have long left the cell."""
        now = self._clock.seconds()
        members = self._members() | {self._vm}
        gone = {r.session for r in readers if r.vm not in members}
        since = self._gone_since_by_session
        for session in list(since):
            if session not in gone:
                del since[session]
        for session in gone:
            if now - since.setdefault(session, now) < READER_GONE_S:
                continue
            self._write(ReaderLeft(session))

    def _write(self, body: RulesRecord) -> None:
        self.submit(body).addErrback(lambda _: None)
