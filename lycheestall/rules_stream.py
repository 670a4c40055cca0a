"""A VM's hold on the rules stream: reads it, folds it, writes to it.

What an append did is learned by reading alone. A record whose append
went unanswered is appended again under the same sequence until it is
read back; the fold ignores the second copy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred, DeferredLock

from ._checkpoint_policy import CheckpointPolicy
from ._pending_records import PendingRecords
from .cell_view import Folded
from .clock import Clock
from .codec import (
    CodecError,
    UnreadableRecord,
    decode_record,
)
from .ids import Offset, SessionId, StreamName, VmId
from .platform import LogEntry, LogService, ReadBatch, ReadGone
from .publication import Publication, StaleStateError
from .records import (
    NO_OFFSET,
    ReaderJoined,
    Record,
    RulesApplied,
    RulesCheckpoint,
    RulesRecord,
)
from .rules_match import EMPTY_RULES, MatchedRules
from .rules_parser import RULES_FORMAT

__all__ = ["RulesStream"]

READ_LIMIT = 500
KEPT_ENTRIES = 1_000


class RulesStream:
    """Follows the rules stream and keeps this VM listed as a reader.

    Call ``step`` at a steady interval; ``rules`` is the version in force.

    Args:
        log: The platform's log service.
        stream: The rules stream's name.
        session: This daemon's session.
        vm: This VM.
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        newest_format: The newest rule format this release reads.

    Attributes:
        publication: The folded state.
        fresh_at: When the log last showed that nothing newer exists, on
            the clock; None before it has.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: StreamName,
        session: SessionId,
        vm: VmId,
        clock: Clock,
        wall_ms: Callable[[], int],
        newest_format: int = RULES_FORMAT,
    ) -> None:
        self._log = log
        self._stream = stream
        self._session = session
        self._vm = vm
        self._clock = clock
        self._wall_ms = wall_ms
        self._newest_format = newest_format
        self.publication = Publication(newest_format=newest_format)
        self.fresh_at: float | None = None
        self._rules = EMPTY_RULES
        self._heard = NO_OFFSET
        self._pending = PendingRecords(session)
        self._kept: deque[LogEntry] = deque(maxlen=KEPT_ENTRIES)
        self._lock = DeferredLock()
        self._leaving = False
        self._applied = NO_OFFSET
        self._checkpoints = CheckpointPolicy(clock.seconds())

    @property
    def rules(self) -> MatchedRules:
        """Returns the version in force on this VM."""
        if self._rules.version != self.publication.version:
            publication = self.publication
            self._rules = MatchedRules(
                publication.file, version=publication.version
            )
        return self._rules

    @property
    def newest(self) -> Offset:
        """Returns the newest offset known to exist."""
        return max(self._heard, self.publication.as_of)

    @property
    def folded(self) -> Offset:
        """Returns the newest offset taken into the state."""
        return self.publication.as_of

    def current(self) -> bool:
        """Returns whether this VM may serve by its state.

        False while it has read nothing, knows of a newer record or holds
        rules in a format that it cannot read.
        """
        known = self.fresh_at is not None and self.folded >= self._heard
        return known and self.publication.readable

    def hear(self, newest: Offset) -> None:
        """Notes an offset that a peer knows of.

        Args:
            newest: The highest offset the peer has heard of.
        """
        self._heard = max(self._heard, newest)

    def tail(self, start: Offset) -> tuple[LogEntry, ...]:
        """Returns consecutive entries from ``start``, none if not kept.

        Args:
            start: The first offset wanted.
        """
        if not self._kept or start < self._kept[0].offset:
            return ()
        return tuple(entry for entry in self._kept if entry.offset >= start)

    def take(self, entries: Sequence[LogEntry]) -> None:
        """Folds consecutive entries, from the log or a peer.

        Args:
            entries: Entries in offset order; known ones are passed over
                and a gap ends the reading.
        """
        for entry in entries:
            if entry.offset <= self.folded:
                continue
            if entry.offset != self.folded + 1:
                self.hear(entry.offset)
                return
            self._fold(entry)

    def submit(self, body: RulesRecord) -> Deferred[Folded]:
        """Writes a record with the next steps; fires once read back.

        Cancelling drops the record if it has not been sent; a sent one
        may still take effect.

        Args:
            body: What to write.
        """
        return self._pending.add(body)

    def sent(self, done: Deferred[Folded]) -> bool:
        """Returns whether a submitted record may be in the log.

        Args:
            done: What ``submit`` returned; not fired, not cancelled.
        """
        return self._pending.sent(done)

    def leave(self) -> None:
        """Stops the upkeep of this VM's entry among the readers."""
        self._leaving = True

    async def step(self) -> bool:
        """Reads what is new, keeps the entry up, writes what waits.

        Returns:
            Whether the log answered.
        """
        await self._lock.acquire()
        try:
            return await self._step()
        finally:
            self._lock.release()

    async def _step(self) -> bool:
        if not await self._read():
            return False
        self._upkeep()
        if not self._pending:
            return True
        await self._log.append(self._stream, self._pending.send())
        return await self._read()

    async def _read(self) -> bool:
        """Reads to the stream's end; False when the log does not answer."""
        while True:
            start = Offset(self.folded + 1)
            asked_at = self._clock.seconds()
            found = await self._log.read(self._stream, start, limit=READ_LIMIT)
            if isinstance(found, ReadGone):
                if not await self._read_checkpoint(found.first_retained):
                    return False
                continue
            if not isinstance(found, ReadBatch):
                return False
            self.take(found.entries)
            self.hear(Offset(found.end - 1))
            if self.folded >= found.end - 1:
                self.fresh_at = asked_at
                return True
            if not found.entries:
                return False

    async def _read_checkpoint(self, start: Offset) -> bool:
        """Adopts a retained checkpoint that the tail can continue."""
        first = start
        while True:
            found = await self._log.read(self._stream, start, limit=READ_LIMIT)
            if not isinstance(found, ReadBatch) or not found.entries:
                return False
            for entry in found.entries:
                if self._adopt(entry, first):
                    return True
            start = Offset(found.entries[-1].offset + 1)

    def _adopt(self, entry: LogEntry, first: Offset) -> bool:
        record = _decode(entry)
        if not isinstance(record, Record):
            return False
        if not isinstance(record.body, RulesCheckpoint):
            return False
        if record.body.as_of < first - 1:
            return False
        try:
            self.publication.adopt(record.body)
        except StaleStateError:
            return False
        self._kept.clear()
        return True

    def _fold(self, entry: LogEntry) -> None:
        self._kept.append(entry)
        record = _decode(entry)
        if not isinstance(record, Record):
            unreadable = isinstance(record, UnreadableRecord)
            self.publication.skip(entry.offset, unreadable=unreadable)
            return
        verdict = self.publication.apply(entry.offset, record)
        if isinstance(record.body, RulesCheckpoint):
            self._checkpoints.seen(entry.offset, self._clock.seconds())
        if record.writer == self._session:
            self._pending.settle(entry.offset, record.sequence, verdict)

    def _upkeep(self) -> None:
        if self._leaving or self._pending or not self.publication.readable:
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
        if self._checkpoints.due(self.folded, rank, self._clock.seconds()):
            self._write(self.publication.checkpoint())

    def _write(self, body: RulesRecord) -> None:
        self.submit(body).addErrback(lambda _: None)


def _decode(entry: LogEntry) -> Record | UnreadableRecord | None:
    try:
        return decode_record(entry.payload)
    except CodecError:
        return None
