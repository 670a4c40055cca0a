"""Log output through a bounded buffer, without blocking."""

from __future__ import annotations

import os
from collections import deque

__all__ = ["BoundedOutput"]

MAX_PENDING_BYTES = 1_048_576
"""Size limit of the buffer; when it is full, new lines are dropped."""

MAX_WRITE_BYTES = 65_536
"""Size limit of a single write."""


class BoundedOutput:
    """Buffers log lines for a file descriptor in non-blocking mode.

    Has the methods of a text file that loggers need.

    Args:
        descriptor: An open file descriptor.

    Attributes:
        dropped_lines: Number of lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Adds text to the buffer; drops it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return len(text)
        self._pending.append(data)
        self._pending_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Does nothing: ``drain`` writes the buffered lines."""

    def drain(self) -> None:
        """Writes buffered lines until a write would block."""
        while self._pending:
            data = b"".join(self._pending)[:MAX_WRITE_BYTES]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._remove_written(written)
            if written < len(data):
                return

    def _remove_written(self, size: int) -> None:
        self._pending_bytes -= size
        while size:
            first = self._pending.popleft()
            if len(first) > size:
                self._pending.appendleft(first[size:])
                return
            size -= len(first)
