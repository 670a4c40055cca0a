"""Splits a server-sent event stream into events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EVENT_SEPARATORS", "EventSplitter", "ServerSentEvent"]

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
"""Line ends with which an event ends."""

_SEPARATOR = re.compile(b"|".join(map(re.escape, EVENT_SEPARATORS)))


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One complete event, including the blank line that ends it.

    Attributes:
        data: The encoded event.
        event_id: Its ID; None if it has none or a non-numeric one.
    """

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has comments alone, such as a heartbeat."""
        return all(
            line.startswith(b":") for line in self.data.splitlines() if line
        )

    @property
    def payload(self) -> bytes:
        """The values of its ``data`` fields, joined by line feeds."""
        values: list[bytes] = []
        for line in self.data.splitlines():
            name, _, value = line.partition(b":")
            if name == b"data":
                values.append(value.removeprefix(b" "))
        return b"\n".join(values)


class EventSplitter:
    """Buffers bytes until an event is complete.

    No byte is searched again as more arrive: a target may send a large event
    in very small pieces.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Adds bytes and yields the events that they complete."""
        self._buffer += data
        start = 0
        try:
            while True:
                end = self._event_end(start)
                if end is None:
                    return
                event = bytes(self._buffer[start:end])
                start = end
                yield ServerSentEvent(event, _event_id(event))
        finally:
            del self._buffer[:start]
            self._searched = len(self._buffer)

    def _event_end(self, start: int) -> int | None:
        # A separator may have begun in the bytes that were searched before.
        overlap = max(map(len, EVENT_SEPARATORS)) - 1
        search_from = max(start, self._searched - overlap)
        found = _SEPARATOR.search(self._buffer, search_from)
        return None if found is None else found.end()


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
