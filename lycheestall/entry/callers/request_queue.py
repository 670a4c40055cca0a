"""Complete requests of one connection that wait to be handled."""

from __future__ import annotations

from dataclasses import dataclass

from ..http_messages import Request

__all__ = ["QueuedRequest", "RequestQueue"]

MAX_PIPELINED = 8
"""Complete requests from which on no more is read."""

MAX_QUEUED_BYTES = 65_536
"""Their memory from which on no more is read."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A complete request.

    Attributes:
        request: The request.
        head_bytes: Memory of its head.
    """

    request: Request
    head_bytes: int

    @property
    def size(self) -> int:
        """Its memory in bytes."""
        return self.head_bytes + len(self.request.body)


class RequestQueue:
    """The requests in the order received.

    Attributes:
        size: Their memory in bytes.
    """

    __slots__ = ("_requests", "size")

    def __init__(self) -> None:
        # Empty most of the time: a list needs less memory than a deque.
        self._requests: list[QueuedRequest] = []
        self.size = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Whether no more is to be read."""
        return (
            len(self._requests) >= MAX_PIPELINED
            or self.size > MAX_QUEUED_BYTES
        )

    def append(self, queued: QueuedRequest) -> None:
        """Adds a request."""
        self._requests.append(queued)
        self.size += queued.size

    def pop(self) -> QueuedRequest:
        """Removes and returns the first request."""
        queued = self._requests.pop(0)
        self.size -= queued.size
        return queued

    def clear(self) -> None:
        """Drops all requests."""
        self._requests.clear()
        self.size = 0
