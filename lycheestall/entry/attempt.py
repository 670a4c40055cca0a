"""Interface of an attempt to send a request to a target."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import Deferred

from .attempt_outcomes import AttemptOutcome
from .http_messages import Header, ResponseHead

__all__ = ["Attempt", "StreamSink"]


class StreamSink(ABC):
    """Receives the successful event streams of one or more attempts."""

    @abstractmethod
    def start_attempt(self, head: ResponseHead, headers: list[Header]) -> None:
        """Starts to receive the stream of an attempt.

        Args:
            head: Head of the target's response.
            headers: Its headers without the hop-by-hop ones.
        """

    @abstractmethod
    def feed(self, data: bytes) -> bool:
        """Receives a part of the stream; returns whether it may go on."""

    @property
    @abstractmethod
    def complete(self) -> bool:
        """Whether the stream may end now."""


class Attempt(ABC):
    """One attempt to send a request to one target.

    Attributes:
        new_connection: Whether no open connection was free.
        sent: Whether the target may have received the request.
        outcome: Fires with the outcome.
    """

    def __init__(self) -> None:
        self.new_connection = False
        self.sent = False
        self.outcome: Deferred[AttemptOutcome] = Deferred()

    @abstractmethod
    def start(self, build: Callable[[], bytes | None]) -> None:
        """Acquires a connection and sends the request.

        Args:
            build: Encodes what is sent; called just before that. None if the
                permit to send it has expired.
        """

    @abstractmethod
    def stop(self) -> None:
        """Cancels the attempt and closes its connection at once."""

    @abstractmethod
    def time_out(self) -> None:
        """Ends the attempt unless the response has started."""
