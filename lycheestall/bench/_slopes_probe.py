"""Measures processor time, bytes on the wire and resident bytes."""

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
    "Reading",
    "cpu_us",
    "resident_bytes",
]

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Reading:
    """What one size costs; None where the metric does not apply.

    Attributes:
        cpu_us: Processor time in microseconds.
        wire_bytes: Bytes sent and received.
        resident_bytes: Bytes that stay in memory.
    """

    cpu_us: float | None = None
    wire_bytes: float | None = None
    resident_bytes: float | None = None


def cpu_us(
    run: Callable[[], object], *, count: int = 1, repeats: int = REPEATS
) -> float:
    """Returns the least processor time of several runs, in microseconds.

    Args:
        run: What to measure.
        count: How many units one run does.
        repeats: How many runs.
    """
    best = float("inf")
    with _no_collections():
        for _ in range(repeats):
            start = time.process_time_ns()
            run()
            best = min(best, time.process_time_ns() - start)
    return best / 1_000 / count


def resident_bytes(build: Callable[[], object]) -> float:
    """Returns how many bytes what ``build`` returns keeps allocated.

    Args:
        build: Makes the state to measure.
    """
    with _no_collections():
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    del kept
    return float(after - before)


@contextmanager
def _no_collections() -> Iterator[None]:
    """Keeps the garbage collector from running in between."""
    enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


class CountingMesh(Mesh):
    """Encodes what is sent, as the real mesh does, and counts it."""

    def __init__(self) -> None:
        self.peers: frozenset[VmId] = frozenset()
        self.sent: list[tuple[VmId, MeshMessage]] = []
        self.frames: list[bytes] = []
        self.handler: MessageHandler | None = None

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Encodes and keeps a message."""
        self.frames.append(encode_message(message))
        self.sent.append((peer, message))
        return True

    def take(self) -> list[tuple[VmId, MeshMessage]]:
        """Returns what was sent since the last time."""
        sent, self.sent = self.sent, []
        self.frames.clear()
        return sent

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Connects with all of them at once."""
        self.peers = frozenset(address_by_vm)

    def connected(self) -> frozenset[VmId]:
        """Returns the peers."""
        return self.peers

    def on_message(self, handler: MessageHandler) -> None:
        """Keeps the handler."""
        self.handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Loses nobody."""


class MemoryLog(LogService):
    """A log in memory that answers at once.

    Attributes:
        entries: What was appended.
        appended_bytes: Payload bytes appended.
        appends: How many appends there were.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.appended_bytes = 0
        self.appends = 0
        self._waiting: list[Deferred[None]] = []

    def write(self, payloads: Sequence[bytes]) -> Offset:
        """Appends payloads and wakes the readers."""
        first = Offset(len(self.entries))
        for payload in payloads:
            self.entries.append(LogEntry(Offset(len(self.entries)), payload))
            self.appended_bytes += len(payload)
        self.appends += 1
        waiting, self._waiting = self._waiting, []
        for reader in waiting:
            reader.callback(None)
        return first

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends at once."""
        return Appended(self.write(payloads))

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads; an empty read waits for the next append."""
        if start >= len(self.entries) and wait_s > 0:
            woken: Deferred[None] = Deferred()
            self._waiting.append(woken)
            await woken
        found = tuple(self.entries[start : start + limit])
        return ReadBatch(found, Offset(0), Offset(len(self.entries)))
