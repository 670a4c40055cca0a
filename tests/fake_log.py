"""A fake of the platform's log in virtual time, with injected faults."""

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
from tests.fault_window import FaultWindow, amount_at, fault_window
from tests.simulation import FOREVER, NodeClock, Simulation


@dataclass
class _Stream:
    entries: list[LogEntry] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    first: int = 0
    end: int = 0
    waiters: list[Callable[[], None]] = field(default_factory=list)


class FakeLog(LogService):
    """The log service; ``client`` returns a node's client.

    The faults only affect requests of these clients, not calls of the
    log's own methods.

    Attributes:
        appends: Number of appends that took effect, by stream.
        payload_count: Number of records that were appended, by stream.
        reads: Number of reads that clients sent, by stream.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        latency_s: float = 0.002,
        timeout_s: float = 1.0,
        retention_s: float = FOREVER,
    ) -> None:
        self.simulation = simulation
        self.latency_s = latency_s
        self.timeout_s = timeout_s
        self.retention_s = retention_s
        self.appends: dict[str, int] = {}
        self.payload_count: dict[str, int] = {}
        self.reads: dict[str, int] = {}
        self._streams: dict[str, _Stream] = {}
        self._outages: list[FaultWindow] = []
        self._slow: list[FaultWindow] = []
        self._lost_responses: list[FaultWindow] = []
        self._late_duplicates: list[FaultWindow] = []

    def client(self, name: str) -> FakeLogClient:
        """Returns a client for a node's current incarnation."""
        return FakeLogClient(self, self.simulation.clock_by_node[name])

    def outage(
        self,
        start: float,
        end: float = FOREVER,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Makes requests of all or some nodes fail in a period."""
        self._outages.append(fault_window(start, end, nodes))

    def slow(
        self,
        start: float,
        end: float,
        extra_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Adds latency to each request in a period."""
        self._slow.append(fault_window(start, end, nodes, extra_s))

    def lose_responses(
        self,
        start: float,
        end: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Makes appends take effect but time out in a period."""
        self._lost_responses.append(fault_window(start, end, nodes))

    def duplicate_late(
        self,
        start: float,
        end: float,
        delay_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Makes appends take effect a second time after a delay."""
        self._late_duplicates.append(fault_window(start, end, nodes, delay_s))

    def retain_from(self, stream: str, first: int) -> None:
        """Drops the entries before an offset, as retention does."""
        stored = self._stream(stream)
        drop = max(0, min(first, stored.end) - stored.first)
        del stored.entries[:drop]
        del stored.times[:drop]
        stored.first += drop

    def entries(self, stream: str) -> list[LogEntry]:
        """Returns the retained entries of a stream."""
        return list(self._stream(stream).entries)

    def end(self, stream: str) -> int:
        """Returns the offset of the next append."""
        return self._stream(stream).end

    def write(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends immediately, like a writer outside the system."""
        stored = self._stream(stream)
        first = stored.end
        for payload in payloads:
            stored.entries.append(LogEntry(Offset(stored.end), payload))
            stored.times.append(self.simulation.now)
            stored.end += 1
        self.appends[stream] = self.appends.get(stream, 0) + 1
        count = self.payload_count.get(stream, 0) + len(payloads)
        self.payload_count[stream] = count
        waiters, stored.waiters = stored.waiters, []
        for wake in waiters:
            self.simulation.later(0.0, wake)
        return first

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends immediately and without faults."""
        return Appended(Offset(self.write(stream, payloads)))

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads immediately and without faults; does not wait."""
        return self.batch(stream, start, limit)

    def batch(self, stream: str, start: int, limit: int) -> ReadResult:
        """Returns the result of a read at the current time."""
        stored = self._stream(stream)
        self._expire(stream)
        if start < stored.first:
            return ReadStartExpired(Offset(stored.first), Offset(stored.end))
        index = start - stored.first
        entries = tuple(stored.entries[index : index + limit])
        return ReadBatch(entries, Offset(stored.first), Offset(stored.end))

    def wait(self, stream: str, wake: Callable[[], None]) -> None:
        """Calls ``wake`` after the next append."""
        self._stream(stream).waiters.append(wake)

    def down(self, node: str) -> bool:
        """Returns whether the log is unreachable for a node."""
        return amount_at(self._outages, self.simulation.now, node) is not None

    def extra_s(self, node: str) -> float:
        """Returns the added latency of a node's requests."""
        return amount_at(self._slow, self.simulation.now, node) or 0.0

    def loses_response(self, node: str) -> bool:
        """Returns whether the responses to a node's appends are lost."""
        return (
            amount_at(self._lost_responses, self.simulation.now, node)
            is not None
        )

    def duplicate_delay_s(self, node: str) -> float | None:
        """Returns the delay of a node's duplicate appends, or None."""
        return amount_at(self._late_duplicates, self.simulation.now, node)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: str) -> None:
        stored = self._stream(stream)
        oldest = self.simulation.now - self.retention_s
        first = stored.first
        for time in stored.times:
            if time >= oldest:
                break
            first += 1
        self.retain_from(stream, first)


class FakeLogClient(LogService):
    """One node's client of the log, subject to that node's faults."""

    def __init__(self, log: FakeLog, clock: NodeClock) -> None:
        self._log = log
        self._clock = clock

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends after the request latency, then responds."""
        log, simulation, node = (
            self._log,
            self._log.simulation,
            self._clock.name,
        )
        extra_s = log.extra_s(node)
        done: Deferred[AppendResult] = Deferred()
        copied = tuple(payloads)

        def respond(result: AppendResult, delay: float) -> None:
            simulation.later(delay, lambda: done.callback(result), self._clock)

        def arrive() -> None:
            if log.down(node):
                respond(AppendUnknown("timeout"), log.timeout_s)
                return
            first = log.write(stream, copied)
            duplicate_delay_s = log.duplicate_delay_s(node)
            if duplicate_delay_s is not None:
                simulation.later(
                    duplicate_delay_s, lambda: log.write(stream, copied)
                )
            if log.loses_response(node):
                respond(AppendUnknown("response lost"), log.timeout_s)
                return
            respond(Appended(Offset(first)), log.latency_s)

        simulation.later(log.latency_s + extra_s, arrive)
        return await done

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads; waits up to ``wait_s`` for a first entry."""
        self._log.reads[stream] = self._log.reads.get(stream, 0) + 1
        log, simulation, node = (
            self._log,
            self._log.simulation,
            self._clock.name,
        )
        extra_s = log.extra_s(node)
        done: Deferred[ReadResult] = Deferred()
        end = simulation.now + wait_s
        responded = False

        def respond(result: ReadResult, delay: float) -> None:
            nonlocal responded
            responded = True
            simulation.later(delay, lambda: done.callback(result), self._clock)

        def try_read() -> None:
            if responded:
                return
            if log.down(node):
                respond(ReadFailed("timeout"), log.timeout_s)
                return
            result = log.batch(stream, start, limit)
            empty = isinstance(result, ReadBatch) and not result.entries
            if empty and simulation.now < end:
                log.wait(stream, try_read)
                return
            respond(result, log.latency_s)

        simulation.later(log.latency_s + extra_s, try_read)
        if wait_s > 0:
            simulation.at(end, try_read)
        return await done
