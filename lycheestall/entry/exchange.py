"""One request of a caller and the writing end of its answer."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from .configuration import CallerLimits
from .http_messages import Header, Request, chunk_bytes

__all__ = ["PLAIN_TEXT", "AnswerChannel", "Exchange", "RequestHandler"]

PLAIN_TEXT: tuple[Header, ...] = ((b"Content-Type", b"text/plain"),)
"""Headers of the system's own answers."""


class AnswerChannel(ABC):
    """The connection that an answer is written to."""

    @abstractmethod
    def send_answer(
        self,
        exchange: Exchange,
        status: int,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Writes a whole answer and goes on with the next request."""

    @abstractmethod
    def send_head(
        self, exchange: Exchange, status: int, headers: Sequence[Header]
    ) -> None:
        """Writes the head of an answer in pieces."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Writes bytes of the answer in progress."""

    @abstractmethod
    def exchange_ended(self) -> None:
        """Goes on after an answer in pieces."""

    @abstractmethod
    def abort(self) -> None:
        """Resets the connection."""


class RequestHandler(ABC):
    """Answers requests."""

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Takes a request; its answer goes to the exchange."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Returns the bounds on callers in force."""

    @abstractmethod
    def closing(self) -> bool:
        """Returns whether connections end after their next answer."""


class Exchange:
    """One request and the writing end of its answer.

    Attributes:
        request: The request.
        ended: Whether the answer is complete or was broken off.
        status: The status sent; 0 before.
        on_gone: Called once when the caller leaves before the end.
    """

    def __init__(self, request: Request, channel: AnswerChannel) -> None:
        self.request = request
        self.ended = False
        self.status = 0
        self.on_gone: Callable[[], None] | None = None
        self._channel = channel

    @property
    def started(self) -> bool:
        """Whether any part of the answer was sent."""
        return self.status != 0

    def answer(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Sends a whole answer."""
        if self.ended:
            return
        self.status = status
        self.ended = True
        self._channel.send_answer(self, status, headers, body)

    def refuse(
        self, status: int, reason: str, *, retry_after_s: float | None = None
    ) -> None:
        """Sends an answer of the system's own.

        Args:
            status: The status code.
            reason: What the caller is told.
            retry_after_s: When trying again makes sense.
        """
        headers = list(PLAIN_TEXT)
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        self.answer(status, headers, reason.encode() + b"\n")

    def start(self, status: int, headers: Sequence[Header]) -> None:
        """Sends the head of an answer whose body follows in pieces."""
        if self.ended:
            return
        self.status = status
        self._channel.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if self.ended or not data:
            return
        self._channel.write(chunk_bytes(data))

    def finish(self) -> None:
        """Ends a body sent in pieces."""
        if self.ended:
            return
        self.ended = True
        self._channel.write(chunk_bytes(b""))
        self._channel.exchange_ended()

    def abort(self) -> None:
        """Breaks the answer off; it must not look complete."""
        if self.ended:
            return
        self.ended = True
        self._channel.abort()

    def caller_left(self) -> None:
        """Tells whoever answers that nobody listens any more."""
        if self.ended:
            return
        self.ended = True
        if self.on_gone is not None:
            self.on_gone()
