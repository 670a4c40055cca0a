"""Measures processor time and memory; fakes of the mesh and the log."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from ..codec import encode_message
from ..ids import Offset, StreamName, VmId
from ..mesh import Mesh, MessageHandler, PeerLostHandler
from ..messages import MeshMessage
from ..platform_services import (
    Appended,
    AppendResult,
    LogEntry,
    LogService,
    ReadBatch,
    ReadResult,
)

__all__ = [
    "CountingMesh",
    "MemoryLog",
    "CostSample",
    "measure_cpu_us",
    "measure_resident_bytes",
]

REPEATS = 5


@dataclass(frozen=True, slots=True)
class CostSample:
    """Measured costs at one size; None where a metric does not apply.

    Attributes:
        cpu_us: Processor time in microseconds.
        wire_bytes: Bytes sent and received.
        resident_bytes: Bytes that stay allocated.
    """

    cpu_us: float | None = None
    wire_bytes: float | None = None
    resident_bytes: float | None = None


def measure_cpu_us(
    run: Callable[[], object], *, count: int = 1, repeats: int = REPEATS
) -> float:
    """Returns the minimum processor time of one unit, in microseconds.

    Args:
        run: The function to measure.
        count: Number of units processed by one run.
        repeats: Number of runs, of which the fastest counts.
    """
    best = float("inf")
    with _garbage_collection_disabled():
        for _ in range(repeats):
            start = time.process_time_ns()
            run()
            best = min(best, time.process_time_ns() - start)
    return best / 1_000 / count


def measure_resident_bytes(build: Callable[[], object]) -> float:
    """Returns the bytes that the result of ``build`` keeps allocated.

    Args:
        build: Returns the state to measure.
    """
    with _garbage_collection_disabled():
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        state = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    del state
    return float(after - before)


@contextmanager
def _garbage_collection_disabled() -> Iterator[None]:
    """Disables the garbage collector, so that it can't distort a result."""
    enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


class CountingMesh(Mesh):
    """A fake mesh that encodes and keeps the messages sent."""

    def __init__(self) -> None:
        self.peers: frozenset[VmId] = frozenset()
        self.sent: list[tuple[VmId, MeshMessage]] = []
        self.frames: list[bytes] = []
        self.handler: MessageHandler | None = None

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Encodes a message and keeps it with its frame."""
        self.frames.append(encode_message(message))
        self.sent.append((peer, message))
        return True

    def take_sent(self) -> list[tuple[VmId, MeshMessage]]:
        """Returns the messages sent since the last call."""
        sent, self.sent = self.sent, []
        self.frames.clear()
        return sent

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Marks all peers as connected."""
        self.peers = frozenset(address_by_vm)

    def connected(self) -> frozenset[VmId]:
        """Returns the peers."""
        return self.peers

    def on_message(self, handler: MessageHandler) -> None:
        """Keeps the handler."""
        self.handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Does nothing: no peer is ever lost."""


class MemoryLog(LogService):
    """An in-memory log service without delays.

    Attributes:
        entries: The appended entries.
        appended_bytes: Total payload bytes appended.
        appends: Number of appends.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.appended_bytes = 0
        self.appends = 0
        self._waiting_reads: list[Deferred[None]] = []

    def write(self, payloads: Sequence[bytes]) -> Offset:
        """Appends payloads and resumes the waiting reads."""
        first = Offset(len(self.entries))
        for payload in payloads:
            self.entries.append(LogEntry(Offset(len(self.entries)), payload))
            self.appended_bytes += len(payload)
        self.appends += 1
        waiting_reads, self._waiting_reads = self._waiting_reads, []
        for waiting_read in waiting_reads:
            waiting_read.callback(None)
        return first

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends immediately."""
        return Appended(self.write(payloads))

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads entries; a read at the end waits for the next append."""
        if start >= len(self.entries) and wait_s > 0:
            appended: Deferred[None] = Deferred()
            self._waiting_reads.append(appended)
            await appended
        entries = tuple(self.entries[start : start + limit])
        return ReadBatch(entries, Offset(0), Offset(len(self.entries)))
