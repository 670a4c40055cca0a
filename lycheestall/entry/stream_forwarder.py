"""Forwards the events of one answer, over all targets that give it."""

from __future__ import annotations

from ..clock import Clock
from .event_splitter import EventSplitter
from .exchange import Exchange
from .http_messages import AnswerHead, Header

__all__ = ["StreamForwarder"]


class StreamForwarder:
    """Passes whole events on as they arrive.

    The head goes out with the first event, so that a run that breaks
    before it can be repeated unseen. The head of the first target stays
    that of the whole answer.

    Args:
        exchange: The caller's end.
        resume_after: Id of the last event that the caller has.
        clock: Tells when the first event came.
    """

    def __init__(
        self, exchange: Exchange, *, resume_after: int | None, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self.first_event_at: float | None = None
        self._splitter = EventSplitter()
        self._head: AnswerHead | None = None
        self._headers: list[Header] = []
        self.last_event = resume_after
        self.events = 0

    @property
    def resumable(self) -> bool:
        """Whether a run may be resumed after an event that was sent."""
        return self.events > 0 and self.last_event is not None

    def begin_run(self, head: AnswerHead, headers: list[Header]) -> None:
        """Starts with a target's answer.

        Args:
            head: Its head.
            headers: What the caller gets of it.
        """
        self._splitter = EventSplitter()
        if not self._exchange.started:
            self._head = head
            self._headers = headers

    def feed(self, data: bytes) -> bool:
        """Forwards what is whole; False if the events are out of order."""
        out: list[bytes] = []
        in_order = True
        for event in self._splitter.feed(data):
            if event.number is not None:
                if (
                    self.last_event is not None
                    and event.number <= self.last_event
                ):
                    in_order = False
                    break
                self.last_event = event.number
            out.append(event.data)
            self.events += 1
        if out:
            if self.first_event_at is None:
                self.first_event_at = self._clock.seconds()
            self._start()
            self._exchange.write(b"".join(out))
        return in_order

    def end_run(self) -> bool:
        """Ends the answer; False if an event is still incomplete."""
        if self._splitter.partial:
            return False
        self._start()
        self._exchange.finish()
        return True

    def _start(self) -> None:
        if not self._exchange.started and self._head is not None:
            self._exchange.start(self._head.status, self._headers)
