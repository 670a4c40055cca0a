"""Bounds on what the connections of a port may use."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ConnectionBounds",
    "caller_bounds",
    "peer_bounds",
    "status_bounds",
]

BASE_BYTES = 56_000_000
"""Resident memory of a process without connections."""

MAX_SHARE = 0.75
"""Share of the process's memory for the process itself and the connections of
callers. The rest holds conversations and the messages of peers."""

MIN_CALLER_BYTES = 12_000_000
"""A request with the largest body fits into this memory."""

PEER_SHARE = 0.05
"""Share of the process's memory for the connections of peers."""

MIN_PEER_BYTES = 6_000_000
"""Memory for them, in bytes, where that share is less."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that are not for callers: the store, peers, listeners, idle
connections to targets, and connections that are being refused."""

MIN_DESCRIPTORS = 50
"""Descriptors for callers where a VM may open few."""

PEER_DESCRIPTORS = 64
"""Descriptors for peers where a VM may open few."""

STATUS_CONNECTIONS = 16
"""Connections to the readiness or the metrics endpoint at a time."""

STATUS_BYTES = 2_000_000
"""Memory in bytes for the connections to each of these endpoints."""


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Bounds on all connections of a port together.

    Attributes:
        memory_bytes: Memory that connections and their requests may use.
        descriptors: Descriptors that they may use; a request in progress
            uses a second one for the connection to its target.
    """

    memory_bytes: int
    descriptors: int


def caller_bounds(memory_mb: float, max_descriptors: int) -> ConnectionBounds:
    """Returns the bounds on the port for callers.

    Args:
        memory_mb: Memory of the VM's process, in MB.
        max_descriptors: Descriptors that the process may open.
    """
    available = int(memory_mb * MAX_SHARE * 1_000_000) - BASE_BYTES
    return ConnectionBounds(
        memory_bytes=max(MIN_CALLER_BYTES, available),
        descriptors=max(
            MIN_DESCRIPTORS, max_descriptors - RESERVED_DESCRIPTORS
        ),
    )


def peer_bounds(memory_mb: float, max_descriptors: int) -> ConnectionBounds:
    """Returns the bounds on the port for peers.

    Args:
        memory_mb: Memory of the VM's process, in MB.
        max_descriptors: Descriptors that the process may open.
    """
    share = int(memory_mb * PEER_SHARE * 1_000_000)
    return ConnectionBounds(
        memory_bytes=max(MIN_PEER_BYTES, share),
        descriptors=max(PEER_DESCRIPTORS, max_descriptors // 4),
    )


def status_bounds() -> ConnectionBounds:
    """Returns the bounds on the readiness and the metrics port, each."""
    return ConnectionBounds(
        memory_bytes=STATUS_BYTES, descriptors=2 * STATUS_CONNECTIONS
    )
