"""A whole HTTP call over a kept connection, with a timeout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .connection_pool import ConnectionPool
from .http_client_connection import (
    BreakReason,
    HttpClientConnection,
    ResponseReceiver,
)
from .http_messages import AnswerHead

__all__ = ["CallResponse", "CallFailed", "CallOutcome", "call"]


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No whole answer; ``sent`` tells whether the request may be known."""

    error: str
    sent: bool


CallOutcome: TypeAlias = CallResponse | CallFailed


def call(
    reactor: Any, pool: ConnectionPool, data: bytes, *, timeout_s: float
) -> Deferred[CallOutcome]:
    """Sends a request and returns its whole answer.

    Args:
        reactor: Times the call.
        pool: Connections to the peer.
        data: The whole request.
        timeout_s: Longest time for the call.
    """
    return _Call(reactor, pool, data, timeout_s).outcome


class _Call(ResponseReceiver):
    """Collects one answer."""

    def __init__(
        self,
        reactor: Any,
        pool: ConnectionPool,
        data: bytes,
        timeout_s: float,
    ) -> None:
        self._pool = pool
        self._data = data
        self._head: AnswerHead | None = None
        self._body: list[bytes] = []
        self._connection: HttpClientConnection | None = None
        self._timer = reactor.callLater(timeout_s, self._timed_out)
        self.outcome: Deferred[CallOutcome] = Deferred(self._cancelled)
        self._connecting = pool.acquire()
        self._connecting.addCallbacks(self._connected, self._not_connected)

    def response_started(self, head: AnswerHead) -> bool:
        """Keeps the head."""
        self._head = head
        return True

    def response_body(self, data: bytes) -> None:
        """Keeps a piece."""
        self._body.append(data)

    def response_ended(self) -> None:
        """Hands out the answer."""
        connection, head = self._connection, self._head
        if connection is not None:
            self._pool.release(connection)
        if head is not None:
            self._end(CallResponse(head.status, b"".join(self._body)))

    def response_failed(self, reason: BreakReason) -> None:
        """Hands out the failure."""
        self._end(CallFailed(reason.value, sent=True))

    def _connected(self, connection: HttpClientConnection) -> None:
        self._connection = connection
        connection.send(self._data, self)

    def _not_connected(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._end(CallFailed(failure.getErrorMessage(), sent=False))

    def _timed_out(self) -> None:
        sent = self._drop()
        self._end(CallFailed("timeout", sent=sent))

    def _cancelled(self, _: Deferred[CallOutcome]) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._drop()

    def _drop(self) -> bool:
        if self._connection is None:
            self._connecting.cancel()
            return False
        self._connection.abort()
        return True

    def _end(self, outcome: CallOutcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)
