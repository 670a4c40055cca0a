"""A store in memory, with the platform's rules and its failures."""

from __future__ import annotations

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
    """How the store treats a client."""

    NONE = "none"
    REFUSES = "refuses"
    LOSES_RESPONSES = "loses answers"
    LATE = "late"


@dataclass
class _Writer:
    epoch: int = -1
    sequence: int = 0
    answers: dict[int, Appended] = field(default_factory=dict)


class MemoryLog:
    """The topics; many clients share them."""

    def __init__(self) -> None:
        self.by_topic: dict[Topic, list[KeyedRecord]] = {
            topic: [] for topic in Topic
        }
        self.first_by_topic = dict.fromkeys(Topic, 0)
        self._writers: dict[str, _Writer] = {}

    def append(
        self, topic: Topic, writes: Sequence[KeyedWrite], fence: WriterFence
    ) -> AppendOutcome:
        """Appends as the platform does."""
        writer = self._writers.setdefault(fence.writer, _Writer())
        if fence.epoch < writer.epoch:
            return AppendConflict("fenced")
        if fence.epoch == writer.epoch:
            if fence.sequence in writer.answers:
                return writer.answers[fence.sequence]
            if fence.sequence != writer.sequence + 1:
                return AppendConflict("seq")
        else:
            writer.answers = {}
        writer.epoch = fence.epoch
        writer.sequence = fence.sequence
        answer = Appended(self.put(topic, *writes))
        writer.answers[fence.sequence] = answer
        return answer

    def put(self, topic: Topic, *writes: KeyedWrite) -> Offset:
        """Appends without a fence, as operators and targets do."""
        log = self.by_topic[topic]
        first = Offset(len(log))
        for write in writes:
            log.append(KeyedRecord(Offset(len(log)), write.key, write.value))
        return first

    def forget_history(self, topic: Topic) -> None:
        """Drops all records but the newest of each key."""
        self.first_by_topic[topic] = len(self.by_topic[topic])

    def newest(self, topic: Topic) -> list[KeyedRecord]:
        """Returns the newest record of each key that is there."""
        newest = {r.key: r for r in self.by_topic[topic]}
        return sorted(
            (r for r in newest.values() if r.value is not None),
            key=lambda r: r.key,
        )


class MemoryStore(Store):
    """One client's way to a log.

    Args:
        log: The topics.
        page: Records of one page of a listing.
    """

    def __init__(self, log: MemoryLog, *, page: int = 500) -> None:
        self.log = log
        self.fault = Fault.NONE
        self.refused_topics: set[Topic] = set()
        self.late: list[tuple[Topic, tuple[KeyedWrite, ...], WriterFence]] = []
        self.held: list[Deferred[None]] | None = None
        self.applies_before_hold = True
        self._page = page
        self.calls = 0

    def append(
        self, topic: Topic, writes: Sequence[KeyedWrite], fence: WriterFence
    ) -> Deferred[AppendOutcome]:
        """Appends records, all or nothing."""
        self.calls += 1
        if self._refuses(topic):
            return succeed(StoreFailed("refused"))
        if self.fault is Fault.LATE:
            self.late.append((topic, tuple(writes), fence))
            return succeed(AppendUnknown("no answer"))
        if self.held is not None and not self.applies_before_hold:
            return self._hold().addCallback(
                lambda _: self.log.append(topic, writes, fence)
            )
        outcome = self.log.append(topic, writes, fence)
        if self.fault is Fault.LOSES_RESPONSES:
            return succeed(AppendUnknown("no answer"))
        if self.held is None:
            return succeed(outcome)
        return self._hold().addCallback(lambda _: outcome)

    def _hold(self) -> Deferred[None]:
        later: Deferred[None] = Deferred(lambda _: None)
        assert self.held is not None
        self.held.append(later)
        return later

    def _refuses(self, topic: Topic) -> bool:
        return self.fault is Fault.REFUSES or topic in self.refused_topics

    def release_held(self) -> None:
        """Answers the appends that were held."""
        held, self.held = self.held or [], None
        for later in held:
            if not later.called:
                later.callback(None)

    def apply_delayed(self) -> None:
        """Carries out appends whose callers have given up."""
        late, self.late = self.late, []
        for topic, writes, fence in late:
            self.log.append(topic, writes, fence)

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        self.calls += 1
        if self._refuses(topic):
            return succeed(StoreFailed("refused"))
        first = self.log.first_by_topic[topic]
        if start < first:
            return succeed(HistoryGone(Offset(first)))
        log = self.log.by_topic[topic]
        return succeed(Records(tuple(log[start:]), Offset(len(log))))

    def newest(
        self, topic: Topic, *, after: str | None = None
    ) -> Deferred[NewestOutcome]:
        """Reads a page of the newest record of each key."""
        self.calls += 1
        if self._refuses(topic):
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
