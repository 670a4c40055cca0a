"""What attempts over this VM's own link and through a peer have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    PermitExpired,
    Stopped,
)
from .connection_pool import ConnectionPool
from .http_client_connection import (
    BreakReason,
    HttpClientConnection,
    ResponseReceiver,
)
from .http_messages import Header, ResponseHead

__all__ = ["Attempt", "StreamSink"]


class StreamSink(ABC):
    """Receives the successful event streams of one or more attempts."""

    @abstractmethod
    def start_attempt(self, head: ResponseHead, headers: list[Header]) -> bool:
        """Starts to receive the stream of an attempt.

        Args:
            head: Head of the target's response.
            headers: Its headers without the hop-by-hop ones.

        Returns:
            Whether the response can be the stream, or the rest of it.
        """

    @abstractmethod
    def feed(self, data: bytes) -> bool:
        """Receives a part of the stream; returns whether it may go on."""

    @property
    @abstractmethod
    def complete(self) -> bool:
        """Whether the stream may end now."""


class Attempt(ResponseReceiver):
    """One attempt to send a request to one target.

    Args:
        pool: Connections to the target, or to the peer that sends it.
        is_head_request: Whether the method is HEAD, so that the response
            has no body.

    Attributes:
        new_connection: Whether no open connection was free.
        sent: Whether the request was written to a connection.
        started: Whether the response has started.
        outcome: Fires with the outcome.
        hold: Notes how much of a response is held until it is complete;
            returns whether there is memory for it.
    """

    def __init__(
        self, pool: ConnectionPool, *, is_head_request: bool = False
    ) -> None:
        self._pool = pool
        self._is_head_request = is_head_request
        self._connection: HttpClientConnection | None = None
        self._connecting: Deferred[HttpClientConnection] | None = None
        self._build: Callable[[], bytes | None] | None = None
        self._ended = False
        self.new_connection = False
        self.sent = False
        self.started = False
        self.outcome: Deferred[AttemptOutcome] = Deferred()
        self.hold: Callable[[int], bool] = _hold_unbounded

    def start(self, build: Callable[[], bytes | None]) -> None:
        """Acquires a connection and sends the request.

        Args:
            build: Encodes what is sent; called just before that. None if the
                permit to send it has expired.
        """
        self._build = build
        self._connecting = self._pool.acquire()
        self.new_connection = not self._connecting.called
        self._connecting.addCallbacks(self._connected, self._not_connected)

    def stop(self) -> None:
        """Cancels the attempt and closes its connection at once."""
        if self._ended:
            return
        self._disconnect()
        self._end(Stopped(sent=self.sent))

    def set_flowing(self, flowing: bool) -> None:
        """Reads the response, or stops until the caller has caught up."""
        if self._connection is not None and not self._ended:
            self._connection.set_reading(flowing)

    def time_out(self) -> None:
        """Ends the attempt unless the response has started."""
        if self._ended or self.started:
            return
        self._disconnect()
        if self.sent:
            self._end(Broken(BreakReason.OVERDUE, response_started=False))
        else:
            self._end(self._connect_timed_out())

    @abstractmethod
    def _connect_timed_out(self) -> AttemptOutcome:
        """Returns the outcome if no connection was made in time."""

    @abstractmethod
    def _connect_failed(self, failure: Failure) -> AttemptOutcome:
        """Returns the outcome if no connection was made."""

    def _on_connected(self) -> None:
        """Called before the request is sent."""

    def _connected(self, connection: HttpClientConnection) -> None:
        self._on_connected()
        if self._ended or self._build is None:
            self._pool.release(connection)
            return
        data = self._build()
        if data is None:
            self._pool.release(connection)
            self._end(PermitExpired())
            return
        self._connection = connection
        self.sent = True
        connection.send(data, self, is_head_request=self._is_head_request)

    def _not_connected(self, failure: Failure) -> None:
        if failure.check(CancelledError):
            return
        self._end(self._connect_failed(failure))

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _break(self, reason: BreakReason) -> None:
        self._disconnect()
        self._end(Broken(reason, response_started=True))

    def _end(self, outcome: AttemptOutcome) -> None:
        if self._ended:
            return
        self._ended = True
        self.outcome.callback(outcome)


def _hold_unbounded(_: int) -> bool:
    return True
