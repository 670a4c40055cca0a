"""The platform's log in virtual time, and what goes wrong with it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from lycheestall.ids import Offset, StreamName
from lycheestall.platform_services import (
    Appended,
    AppendResult,
    AppendUnknown,
    LogEntry,
    LogService,
    ReadBatch,
    ReadFailed,
    ReadResult,
    ReadStartExpired,
)
from tests.fake_world import FOREVER, NodeClock, World
from tests.fault_window import FaultWindow, amount_at, fault_window


@dataclass
class _Stream:
    entries: list[LogEntry] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    first: int = 0
    end: int = 0
    waiters: list[Callable[[], None]] = field(default_factory=list)


class FakeLog(LogService):
    """The log service; ``client`` gives each node its own access.

    Attributes:
        appends: How many appends took effect, by stream.
        payload_count: How many records took effect, by stream.
        reads: How many reads were sent, by stream.
    """

    def __init__(
        self,
        world: World,
        *,
        latency_s: float = 0.002,
        timeout_s: float = 1.0,
        retention_s: float = FOREVER,
    ) -> None:
        self.world = world
        self.latency_s = latency_s
        self.timeout_s = timeout_s
        self.retention_s = retention_s
        self.appends: dict[str, int] = {}
        self.payload_count: dict[str, int] = {}
        self.reads: dict[str, int] = {}
        self._streams: dict[str, _Stream] = {}
        self._outages: list[FaultWindow] = []
        self._slow: list[FaultWindow] = []
        self._lost_answers: list[FaultWindow] = []
        self._late_repeats: list[FaultWindow] = []
        self._own: FakeLogClient | None = None

    def client(self, name: str) -> FakeLogClient:
        """Returns the access of a node's present life."""
        return FakeLogClient(self, self.world.clock_by_node[name])

    def outage(
        self,
        start: float,
        end: float = FOREVER,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """No request works in the stretch, for all nodes or for some."""
        self._outages.append(fault_window(start, end, nodes))

    def slow(
        self,
        start: float,
        end: float,
        extra_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Each request takes longer in the stretch."""
        self._slow.append(fault_window(start, end, nodes, extra_s))

    def lose_answers(
        self,
        start: float,
        end: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Appends take effect but their answers never come."""
        self._lost_answers.append(fault_window(start, end, nodes))

    def repeat_late(
        self,
        start: float,
        end: float,
        delay_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Appends take effect, and once more after a delay."""
        self._late_repeats.append(fault_window(start, end, nodes, delay_s))

    def retain_from(self, stream: str, first: int) -> None:
        """Drops the entries before an offset."""
        kept = self._stream(stream)
        drop = max(0, min(first, kept.end) - kept.first)
        del kept.entries[:drop]
        del kept.times[:drop]
        kept.first += drop

    def entries(self, stream: str) -> list[LogEntry]:
        """Returns what a stream still holds."""
        return list(self._stream(stream).entries)

    def end(self, stream: str) -> int:
        """Returns the offset of the next append."""
        return self._stream(stream).end

    def write(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends at once, as an operator beside the system would."""
        kept = self._stream(stream)
        first = kept.end
        for payload in payloads:
            kept.entries.append(LogEntry(Offset(kept.end), payload))
            kept.times.append(self.world.now)
            kept.end += 1
        self.appends[stream] = self.appends.get(stream, 0) + 1
        count = self.payload_count.get(stream, 0) + len(payloads)
        self.payload_count[stream] = count
        waiters, kept.waiters = kept.waiters, []
        for wake in waiters:
            self.world.later(0.0, wake)
        return first

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends without a node's faults."""
        return Appended(Offset(self.write(stream, payloads)))

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads at once, without a node's faults."""
        return self.batch(stream, start, limit)

    def batch(self, stream: str, start: int, limit: int) -> ReadResult:
        """Returns what a read finds right now."""
        kept = self._stream(stream)
        self._expire(stream)
        if start < kept.first:
            return ReadStartExpired(Offset(kept.first), Offset(kept.end))
        index = start - kept.first
        entries = tuple(kept.entries[index : index + limit])
        return ReadBatch(entries, Offset(kept.first), Offset(kept.end))

    def wait(self, stream: str, wake: Callable[[], None]) -> None:
        """Calls ``wake`` at the next append."""
        self._stream(stream).waiters.append(wake)

    def down(self, node: str) -> bool:
        """Returns whether the log does not answer a node."""
        return amount_at(self._outages, self.world.now, node) is not None

    def extra_s(self, node: str) -> float:
        """Returns how much longer a request takes."""
        return amount_at(self._slow, self.world.now, node) or 0.0

    def loses_answer(self, node: str) -> bool:
        """Returns whether an append's answer gets lost."""
        return amount_at(self._lost_answers, self.world.now, node) is not None

    def repeat_delay_s(self, node: str) -> float | None:
        """Returns after how long an append takes effect again."""
        return amount_at(self._late_repeats, self.world.now, node)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: str) -> None:
        kept = self._stream(stream)
        oldest = self.world.now - self.retention_s
        first = kept.first
        for time in kept.times:
            if time >= oldest:
                break
            first += 1
        self.retain_from(stream, first)


class FakeLogClient(LogService):
    """One node's access to the log, with that node's faults."""

    def __init__(self, log: FakeLog, clock: NodeClock) -> None:
        self._log = log
        self._clock = clock

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends after the way there, answers after the way back."""
        log, world, node = self._log, self._log.world, self._clock.name
        extra_s = log.extra_s(node)
        done: Deferred[AppendResult] = Deferred()
        copied = tuple(payloads)

        def answer(result: AppendResult, delay: float) -> None:
            world.later(delay, lambda: done.callback(result), self._clock)

        def arrive() -> None:
            if log.down(node):
                answer(AppendUnknown("timeout"), log.timeout_s)
                return
            first = log.write(stream, copied)
            repeat = log.repeat_delay_s(node)
            if repeat is not None:
                world.later(repeat, lambda: log.write(stream, copied))
            if log.loses_answer(node):
                answer(AppendUnknown("answer lost"), log.timeout_s)
                return
            answer(Appended(Offset(first)), log.latency_s)

        world.later(log.latency_s + extra_s, arrive)
        return await done

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads, waiting for a first entry if asked to."""
        self._log.reads[stream] = self._log.reads.get(stream, 0) + 1
        log, world, node = self._log, self._log.world, self._clock.name
        extra_s = log.extra_s(node)
        done: Deferred[ReadResult] = Deferred()
        end = world.now + wait_s
        answered = False

        def answer(result: ReadResult, delay: float) -> None:
            nonlocal answered
            answered = True
            world.later(delay, lambda: done.callback(result), self._clock)

        def look() -> None:
            if answered:
                return
            if log.down(node):
                answer(ReadFailed("timeout"), log.timeout_s)
                return
            result = log.batch(stream, start, limit)
            empty = isinstance(result, ReadBatch) and not result.entries
            if empty and world.now < end:
                log.wait(stream, look)
                return
            answer(result, log.latency_s)

        world.later(log.latency_s + extra_s, look)
        if wait_s > 0:
            world.at(end, look)
        return await done
