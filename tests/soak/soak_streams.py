"""Streams in the soak: the events that callers got, over all attempts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from tests.soak.soak_targets import EVENTS

SOFTWARE_VERSIONS = ("v1", "v2")
"""Versions of the targets that serve side by side."""


@dataclass
class SoakStream:
    """A stream that a caller asks for, and takes up when it breaks.

    Attributes:
        request: ID of the request that began it.
        last_event: ID of the last event that the caller got; 0 for none.
        versions: Software versions of the targets whose events it got.
    """

    request: str
    last_event: int = 0
    versions: set[str] = field(default_factory=set)


class SoakStreams:
    """Checks the streams that callers get.

    Args:
        events: Number of events of each stream.

    Attributes:
        violations: Descriptions of violated guarantees.
        resumed: Number of requests that take up a stream, by status and by
            whether they brought the rest of it.
    """

    def __init__(self, *, events: int = EVENTS) -> None:
        self._events = events
        self.violations: list[str] = []
        self.resumed: Counter[str] = Counter()

    def resume_headers(self, stream: SoakStream) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a request that takes up a stream."""
        return [
            (b"Last-Event-Id", b"%d" % stream.last_event),
            (b"Resumes", stream.request.encode()),
        ]

    def received(
        self, stream: SoakStream, request: str, body: bytes, *, whole: bool
    ) -> int:
        """Checks what a request brought; returns its number of events.

        Args:
            stream: The stream.
            request: ID of the request; it stands in each event.
            body: What the caller received.
            whole: Whether the response ended properly.
        """
        lines = body.split(b"\n")
        numbers = [int(line[4:]) for line in lines if line[:4] == b"id: "]
        first = stream.last_event + 1
        if numbers != list(range(first, first + len(numbers))):
            self.violations.append(f"order: {request} got {numbers}")
        if numbers:
            stream.last_event = numbers[-1]
        if whole and stream.last_event != self._events:
            self.violations.append(f"end: {request} ended at {numbers}")
        if body.count(request.encode()) != body.count(b"data: "):
            self.violations.append(f"answer: {request} got another's")
        stream.versions.update(
            line[7:].decode() for line in lines if line[:7] == b"event: "
        )
        if len(stream.versions) > 1:
            self.violations.append(
                f"version: {stream.request} got events of "
                f"{sorted(stream.versions)}, the last ones in {request}"
            )
        return len(numbers)
