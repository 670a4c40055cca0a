"""Splits a server-sent event stream into events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EVENT_SEPARATORS", "EventSplitter", "ServerSentEvent"]

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
"""Line ends with which an event ends."""


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
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Adds bytes and yields the events that they complete."""
        self._buffer += data
        while True:
            end = self._event_end()
            if end is None:
                return
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            yield ServerSentEvent(event, _event_id(event))

    def _event_end(self) -> int | None:
        ends: list[int] = []
        for separator in EVENT_SEPARATORS:
            at = self._buffer.find(separator)
            if at >= 0:
                ends.append(at + len(separator))
        return min(ends, default=None)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
