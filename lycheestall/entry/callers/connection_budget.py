"""Decides which connections of a port may use memory and descriptors."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, TypeVar

from .bounds import ConnectionBounds

__all__ = [
    "CONNECTION_BYTES",
    "ConnectionBudget",
    "Decision",
    "STALL_S",
    "Standing",
    "Usage",
]

CONNECTION_BYTES = 4096
"""Memory of a connection without a request: its protocol, its transport, its
parser and its timer."""

SMALL_BYTES = 65_536
"""Memory up to which a connection may use the part that is reserved for small
requests."""

LARGE_SHARE = 0.75
"""Share of the memory for requests that large ones may use, so that callers
with ordinary requests are served beside them."""

CONNECTIONS_SHARE = 0.85
"""Share of the memory for connections without requests."""

STALL_S = 1.0
"""Seconds without progress after which a connection counts as stalled."""

PROGRESS_BYTES = 4096
"""Bytes in ``STALL_S`` seconds that count as progress."""

REFUSED_DESCRIPTORS = 50
"""Descriptors above the bound for connections that get only a refusal."""

Owner = TypeVar("Owner")


class Standing(IntEnum):
    """What a connection does; a lower value gives way first.

    Attributes:
        CLOSING: It is being closed.
        UNUSED: It has never sent a whole request and sends none.
        UNPROVEN: It sends its first request.
        IDLE: It has sent whole requests and sends none now.
        READING: It has sent whole requests and sends another one.
        UNREAD: Its caller has yet to read a response.
        RUNNING: It has a request in progress.
    """

    CLOSING = 0
    UNUSED = 1
    UNPROVEN = 2
    IDLE = 3
    READING = 4
    UNREAD = 5
    RUNNING = 6


# Searched in this order for what to evict for memory.
_HOLDS_MEMORY = (Standing.UNPROVEN, Standing.READING, Standing.UNREAD)
# Closed for descriptors, or for the memory of connections, in this order.
_MAY_BE_CLOSED = (Standing.CLOSING, Standing.UNUSED, Standing.IDLE)


@dataclass(slots=True, eq=False)
class Usage(Generic[Owner]):
    """What one connection uses.

    Attributes:
        owner: The connection.
        size: Memory in bytes, ``CONNECTION_BYTES`` included.
        standing: What it does.
        progress_at: When it last made progress.
        pending_bytes: Bytes since then.
        counted: Whether the connection still counts.
    """

    owner: Owner
    size: int
    standing: Standing
    progress_at: float
    pending_bytes: int = 0
    counted: bool = True


@dataclass(frozen=True, slots=True)
class Decision(Generic[Owner]):
    """Whether a connection may use more.

    Attributes:
        granted: Whether it may.
        evicted: Connections that have to be closed in either case.
    """

    granted: bool
    evicted: tuple[Owner, ...] = ()


_GRANTED: Decision[object] = Decision(granted=True)


class ConnectionBudget(Generic[Owner]):
    """Counts the memory and descriptors of all connections of a port.

    Where either is short, connections give way in the order of ``Standing``,
    among equals those that made no progress for the longest time. A
    connection that makes progress gives way only to one of higher standing,
    so that of many large uploads some complete. Requests in progress never
    give way: what doesn't fit beside them is refused.

    Args:
        bounds: The bounds on all connections together.
    """

    def __init__(self, bounds: ConnectionBounds) -> None:
        self._bounds = bounds
        self._by_standing: dict[Standing, OrderedDict[Usage[Owner], None]] = {
            standing: OrderedDict() for standing in Standing
        }
        self.used_bytes = 0
        self.connections = 0

    @property
    def descriptors(self) -> int:
        """Descriptors of the connections and of those to targets."""
        return self.connections + len(self._by_standing[Standing.RUNNING])

    def connect(
        self, owner: Owner, now: float
    ) -> tuple[Usage[Owner], Decision[Owner]]:
        """Adds a connection.

        Args:
            owner: The connection.
            now: The current time.

        Returns:
            What it uses, and whether it may stay open.
        """
        usage = Usage(owner, CONNECTION_BYTES, Standing.UNUSED, now)
        self.connections += 1
        self.used_bytes += CONNECTION_BYTES
        evicted: list[Owner] = []
        while self._over_bounds():
            victim = self._first(_MAY_BE_CLOSED)
            if victim is None:
                break
            self._evict(victim, evicted)
        self._by_standing[Standing.UNUSED][usage] = None
        # One that can't be served gets a refusal, unless there are many.
        refusable = self._bounds.descriptors + REFUSED_DESCRIPTORS
        granted = (
            self.descriptors <= refusable
            and self.used_bytes <= self._bounds.memory_bytes
        )
        if granted and not evicted:
            return usage, _GRANTED  # type: ignore[return-value]
        return usage, Decision(granted, tuple(evicted))

    def disconnect(self, usage: Usage[Owner]) -> None:
        """Removes a connection."""
        if not usage.counted:
            return
        usage.counted = False
        del self._by_standing[usage.standing][usage]
        self.connections -= 1
        self.used_bytes -= usage.size

    def resize(
        self, usage: Usage[Owner], size: int, now: float
    ) -> Decision[Owner]:
        """Changes how much memory a connection uses.

        Args:
            usage: What it used before.
            size: Its new memory in bytes, without that of the connection.
            now: The current time.
        """
        size += CONNECTION_BYTES
        grows_by = size - usage.size
        if grows_by == 0 or not usage.counted:
            return _GRANTED  # type: ignore[return-value]
        if grows_by < 0 or self._fits(grows_by, size):
            self.used_bytes += grows_by
            usage.size = size
            return _GRANTED  # type: ignore[return-value]
        evicted: list[Owner] = []
        while not self._fits(grows_by, size):
            victim = self._next_to_give_way(usage, now)
            if victim is None:
                return Decision(granted=False, evicted=tuple(evicted))
            # It still counts as a connection until it is closed.
            self.used_bytes -= victim.size - CONNECTION_BYTES
            victim.size = CONNECTION_BYTES
            self.change(victim, Standing.CLOSING, now)
            evicted.append(victim.owner)
        self.used_bytes += grows_by
        usage.size = size
        return Decision(granted=True, evicted=tuple(evicted))

    def change(
        self, usage: Usage[Owner], standing: Standing, now: float
    ) -> None:
        """Changes what a connection does."""
        if not usage.counted:
            return
        del self._by_standing[usage.standing][usage]
        usage.standing = standing
        usage.progress_at = now
        usage.pending_bytes = 0
        self._by_standing[standing][usage] = None

    def progressed(
        self, usage: Usage[Owner], received: int, now: float
    ) -> None:
        """Counts bytes that a connection has received."""
        usage.pending_bytes += received
        if usage.pending_bytes < PROGRESS_BYTES or not usage.counted:
            return
        usage.pending_bytes = 0
        usage.progress_at = now
        self._by_standing[usage.standing].move_to_end(usage)

    def start_request(
        self, usage: Usage[Owner], now: float
    ) -> Decision[Owner]:
        """Makes room for the descriptor of a request in progress."""
        evicted: list[Owner] = []
        if usage.standing is not Standing.RUNNING:
            self.change(usage, Standing.RUNNING, now)
        while self.descriptors > self._bounds.descriptors:
            victim = self._first(_MAY_BE_CLOSED)
            if victim is None:
                return Decision(granted=False, evicted=tuple(evicted))
            self._evict(victim, evicted)
        if not evicted:
            return _GRANTED  # type: ignore[return-value]
        return Decision(granted=True, evicted=tuple(evicted))

    def _over_bounds(self) -> bool:
        return (
            self.descriptors > self._bounds.descriptors
            or self.used_bytes > self._bounds.memory_bytes
            or self.connections * CONNECTION_BYTES
            > self._bounds.memory_bytes * CONNECTIONS_SHARE
        )

    def _fits(self, grows_by: int, size: int) -> bool:
        idle_bytes = self.connections * CONNECTION_BYTES
        available = self._bounds.memory_bytes - idle_bytes
        if size > SMALL_BYTES:
            available = int(available * LARGE_SHARE)
        return self.used_bytes - idle_bytes + grows_by <= available

    def _first(
        self,
        standings: tuple[Standing, ...],
        besides: Usage[Owner] | None = None,
    ) -> Usage[Owner] | None:
        for standing in standings:
            for usage in self._by_standing[standing]:
                if usage is not besides:
                    return usage
        return None

    def _next_to_give_way(
        self, usage: Usage[Owner], now: float
    ) -> Usage[Owner] | None:
        for standing in _HOLDS_MEMORY:
            victim = self._first((standing,), besides=usage)
            if victim is None:
                continue
            # Unread responses give way only if stalled, also to requests in
            # progress.
            stalled = now - victim.progress_at >= STALL_S
            if stalled or standing < min(usage.standing, Standing.UNREAD):
                return victim
        return None

    def _evict(self, victim: Usage[Owner], evicted: list[Owner]) -> None:
        self.disconnect(victim)
        evicted.append(victim.owner)
