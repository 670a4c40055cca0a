"""Forwards a response's event stream across one or more attempts."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from .attempt import StreamSink
from .event_splitter import EventSplitter, ServerSentEvent
from .http_messages import Header, ResponseHead
from .responses import Exchange

__all__ = ["StreamForwarder"]

MAX_EVENT_BYTES = 262_144
"""Largest event."""

MAX_KEPT_BYTES = 1_048_576
"""Largest output of a turn that is collected to be kept."""


class StreamForwarder(StreamSink):
    """Forwards complete events as they arrive.

    The head is sent with the first event, so that an attempt that breaks
    before it can be repeated without the caller noticing. A resumed
    stream keeps the head that was sent first.

    Args:
        exchange: Receives the events.
        resume_after: ID of the last event that the caller received.
        clock: Tells when the first event arrived.
        on_first_event: Called before the first event is forwarded.
        keep_output: Whether to collect the events' data. Then the target has
            to send the whole stream, also to a caller that resumes one: what
            the caller has already received is only collected.

    Attributes:
        first_event_at: When the first event arrived, None before that.
        last_event_id: ID of the last event that was received, None if
            unknown.
        events_sent: Number of events sent to the caller.
    """

    def __init__(
        self,
        exchange: Exchange,
        *,
        resume_after: int | None,
        clock: Clock,
        on_first_event: Callable[[], None],
        keep_output: bool = False,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._on_first_event = on_first_event
        self.first_event_at: float | None = None
        self._splitter = EventSplitter()
        self._awaits_id = False
        self._head: ResponseHead | None = None
        self._framed = True
        self._headers: list[Header] = []
        self._output: list[bytes] | None = [] if keep_output else None
        self._output_bytes = 0
        self._skipped_until = resume_after if keep_output else None
        self.last_event_id = None if keep_output else resume_after
        self.events_sent = 0

    @property
    def resumable(self) -> bool:
        """Whether the stream can be resumed after the last event sent."""
        return self.events_sent > 0 and self.last_event_id is not None

    @property
    def output(self) -> bytes:
        """The data of all events, each followed by a line feed."""
        return b"".join(self._output or ())

    def start_attempt(self, head: ResponseHead, headers: list[Header]) -> bool:
        """Starts to forward the stream of an attempt.

        Args:
            head: Head of the target's response.
            headers: The headers of it that the caller receives.

        Returns:
            Whether the response can go on where the last one broke off; it
            has to be of the same media type.
        """
        self._splitter = EventSplitter()
        self._framed = head.framed
        self._awaits_id = self.last_event_id is not None
        if not self._exchange.started:
            self._head = head
            self._headers = headers
            return True
        return _media_type(headers) == _media_type(self._headers)

    def feed(self, data: bytes) -> bool:
        """Forwards complete events.

        Returns:
            False if the stream must not go on: its events are out of order,
            or larger than sound ones, or it does not show that it goes on
            where the last attempt broke off.
        """
        ready: list[bytes] = []
        sound = True
        for event in self._splitter.feed(data):
            if not self._continues(event):
                sound = False
                break
            if self._output is not None:
                self._keep_payload(event.payload + b"\n")
            if self._is_skipped(event):
                continue
            ready.append(event.data)
            self.events_sent += 1
        if ready:
            if self.first_event_at is None:
                self.first_event_at = self._clock.seconds()
                self._on_first_event()
            self._start_response()
            self._exchange.write(b"".join(ready))
        if self._output_bytes > MAX_KEPT_BYTES:
            return False
        return sound and self._splitter.partial_bytes <= MAX_EVENT_BYTES

    @property
    def complete(self) -> bool:
        """Whether the attempt's stream may end now, between two events.

        A stream that only ends with its connection has to have begun: every
        whole one has an event.
        """
        if self._splitter.partial_bytes:
            return False
        return self._framed or self._begun

    @property
    def _begun(self) -> bool:
        return self.events_sent > 0 or self.last_event_id is not None

    def finish(self) -> None:
        """Ends the response."""
        self._start_response()
        self._exchange.finish()

    def _continues(self, event: ServerSentEvent) -> bool:
        # Notes the event's ID if the event may follow the ones before.
        if event.event_id is None:
            return event.is_comment or not self._awaits_id
        last_id = self.last_event_id
        if last_id is not None and event.event_id <= last_id:
            return False
        self.last_event_id = event.event_id
        self._awaits_id = False
        return True

    def _keep_payload(self, payload: bytes) -> None:
        assert self._output is not None
        self._output.append(payload)
        self._output_bytes += len(payload)

    def _is_skipped(self, event: ServerSentEvent) -> bool:
        if self._skipped_until is None or event.event_id is None:
            return False
        return event.event_id <= self._skipped_until

    def _start_response(self) -> None:
        if not self._exchange.started and self._head is not None:
            self._exchange.start(self._head.status, self._headers)


def _media_type(headers: list[Header]) -> bytes:
    for name, value in headers:
        if name.lower() == b"content-type":
            return value.split(b";")[0].strip().lower()
    return b""
