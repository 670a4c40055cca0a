"""Splits an event stream into whole events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Event", "EventSplitter"]

_SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event with the blank line that ends it.

    Attributes:
        data: Its bytes.
        number: Its id; None if it has none or not a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Event]:
        """Takes bytes; yields the events that they complete."""
        self._buffer += data
        while True:
            end = self._end()
            if end is None:
                return
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            yield Event(event, _number(event))

    def _end(self) -> int | None:
        ends: list[int] = []
        for separator in _SEPARATORS:
            at = self._buffer.find(separator)
            if at >= 0:
                ends.append(at + len(separator))
        return min(ends, default=None)


def _number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
