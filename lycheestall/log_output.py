"""A log file that never blocks and never grows without bound."""

from __future__ import annotations

import os
from collections import deque

__all__ = ["BoundedOutput"]

MAX_PENDING_BYTES = 1_048_576
"""Bytes that may wait for a slow reader; newer lines are dropped beyond."""

WRITE_BYTES = 65_536
"""Bytes handed to the kernel at once."""


class BoundedOutput:
    """Buffers lines for a descriptor that is set not to block.

    Has the methods of a text file that loggers need. ``flush`` writes
    what the kernel takes and returns.

    Args:
        descriptor: An open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes text; drops it when too much is waiting."""
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return len(text)
        self._pending.append(data)
        self._pending_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Leaves the lines waiting; ``drain`` writes them."""

    def drain(self) -> None:
        """Writes waiting lines as far as that does not block."""
        while self._pending:
            data = b"".join(self._pending)[:WRITE_BYTES]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._drop(written)
            if written < len(data):
                return

    def _drop(self, size: int) -> None:
        self._pending_bytes -= size
        while size:
            first = self._pending.popleft()
            if len(first) > size:
                self._pending.appendleft(first[size:])
                return
            size -= len(first)
