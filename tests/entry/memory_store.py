"""An in-memory store with the platform's semantics and injected faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from twisted.internet.defer import Deferred, succeed

from lycheestall.entry.store import (
    AppendConflict,
    Appended,
    AppendOutcome,
    AppendUnknown,
    HistoryGone,
    KeyedRecord,
    KeyedWrite,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    Records,
    Store,
    StoreFailed,
    Topic,
    WriterFence,
)
from lycheestall.ids import Offset


class Fault(Enum):
    """A fault that the store injects for one client.

    Attributes:
        REFUSES: All calls fail without effect.
        LOSES_RESPONSES: Appends take effect, but their outcome is unknown.
        DELAYS_APPENDS: The outcome of appends is unknown; they take effect
            at ``apply_delayed_appends``.
    """

    NONE = "none"
    REFUSES = "refuses"
    LOSES_RESPONSES = "loses responses"
    DELAYS_APPENDS = "late"


@dataclass
class _WriterState:
    epoch: int = -1
    sequence: int = 0
    outcomes: dict[int, Appended] = field(default_factory=dict)


class MemoryLog:
    """The topics of a store, shared by its clients."""

    def __init__(self) -> None:
        self.by_topic: dict[Topic, list[KeyedRecord]] = {
            topic: [] for topic in Topic
        }
        self.first_by_topic = dict.fromkeys(Topic, 0)
        self._writers: dict[str, _WriterState] = {}

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
    ) -> AppendOutcome:
        """Appends records and rejects outdated fencing tokens."""
        if fence is None:
            return Appended(self.put(topic, *writes))
        writer = self._writers.setdefault(fence.writer, _WriterState())
        if fence.epoch < writer.epoch:
            return AppendConflict("fenced")
        if fence.epoch == writer.epoch:
            if fence.sequence in writer.outcomes:
                return writer.outcomes[fence.sequence]
            if fence.sequence != writer.sequence + 1:
                return AppendConflict("seq")
        else:
            writer.outcomes = {}
        writer.epoch = fence.epoch
        writer.sequence = fence.sequence
        outcome = Appended(self.put(topic, *writes))
        writer.outcomes[fence.sequence] = outcome
        return outcome

    def put(self, topic: Topic, *writes: KeyedWrite) -> Offset:
        """Appends without a fencing token, as operators and targets do."""
        log = self.by_topic[topic]
        first = Offset(len(log))
        for write in writes:
            log.append(KeyedRecord(Offset(len(log)), write.key, write.value))
        return first

    def forget_history(self, topic: Topic) -> None:
        """Compacts a topic: only the newest record of each key remains."""
        self.first_by_topic[topic] = len(self.by_topic[topic])

    def newest(self, topic: Topic) -> list[KeyedRecord]:
        """Returns the newest record of each key that is not deleted."""
        newest = {r.key: r for r in self.by_topic[topic]}
        return sorted(
            (r for r in newest.values() if r.value is not None),
            key=lambda r: r.key,
        )


class MemoryStore(Store):
    """One client of a log.

    Args:
        log: The topics.
        page: Number of records per page of a listing.

    Attributes:
        log: The topics.
        fault: Fault of all calls of this client.
        refused_topics: Topics whose calls fail without effect.
        delayed_appends: Appends to carry out at ``apply_delayed_appends``.
        held_appends: If set, outcomes of appends are held until
            ``release_held_appends``.
        applies_before_hold: Whether held appends take effect at once or
            only when they are released.
        calls: Number of calls.
        calls_by_topic: Number of calls for each topic.
    """

    def __init__(self, log: MemoryLog, *, page: int = 500) -> None:
        self.log = log
        self.fault = Fault.NONE
        self.refused_topics: set[Topic] = set()
        self.delayed_appends: list[
            tuple[Topic, tuple[KeyedWrite, ...], WriterFence | None]
        ] = []
        self.held_appends: list[Deferred[None]] | None = None
        self.applies_before_hold = True
        self._page = page
        self.calls = 0
        self.calls_by_topic: Counter[Topic] = Counter()

    @property
    def turn_shards(self) -> int:
        """Number of shards of turns; the log keeps all in one list."""
        return 4

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[AppendOutcome]:
        """Appends records atomically."""
        self._count(topic)
        if self._is_refused(topic):
            return succeed(StoreFailed("refused"))
        if self.fault is Fault.DELAYS_APPENDS:
            self.delayed_appends.append((topic, tuple(writes), fence))
            return succeed(AppendUnknown("no reply"))
        if self.held_appends is not None and not self.applies_before_hold:
            return self._hold().addCallback(
                lambda _: self.log.append(topic, writes, fence)
            )
        outcome = self.log.append(topic, writes, fence)
        if self.fault is Fault.LOSES_RESPONSES:
            return succeed(AppendUnknown("no reply"))
        if self.held_appends is None:
            return succeed(outcome)
        return self._hold().addCallback(lambda _: outcome)

    def _count(self, topic: Topic) -> None:
        self.calls += 1
        self.calls_by_topic[topic] += 1

    def _hold(self) -> Deferred[None]:
        waiting: Deferred[None] = Deferred(lambda _: None)
        assert self.held_appends is not None
        self.held_appends.append(waiting)
        return waiting

    def _is_refused(self, topic: Topic) -> bool:
        return self.fault is Fault.REFUSES or topic in self.refused_topics

    def release_held_appends(self) -> None:
        """Returns the outcomes of the held appends."""
        held, self.held_appends = self.held_appends or [], None
        for waiting in held:
            if not waiting.called:
                waiting.callback(None)

    def apply_delayed_appends(self) -> None:
        """Carries out delayed appends after their callers timed out."""
        delayed, self.delayed_appends = self.delayed_appends, []
        for topic, writes, fence in delayed:
            self.log.append(topic, writes, fence)

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        self._count(topic)
        if self._is_refused(topic):
            return succeed(StoreFailed("refused"))
        first = self.log.first_by_topic[topic]
        if start < first:
            return succeed(HistoryGone(Offset(first)))
        log = self.log.by_topic[topic]
        return succeed(Records(tuple(log[start:]), Offset(len(log))))

    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[NewestOutcome]:
        """Lists the newest record of each key, one page per call."""
        self._count(topic)
        if self._is_refused(topic):
            return succeed(StoreFailed("refused"))
        records = [
            r
            for r in self.log.newest(topic)
            if after is None or r.key > after.encode()
        ]
        page = records[: self._page]
        more = page[-1].key.decode() if len(records) > len(page) else None
        end = Offset(len(self.log.by_topic[topic]))
        return succeed(NewestPage(tuple(page), more, end))
