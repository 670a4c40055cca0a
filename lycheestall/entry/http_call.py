"""An HTTP request with a buffered response and a timeout."""

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
from .http_messages import ResponseHead

__all__ = ["CallFailed", "CallOutcome", "CallResponse", "call"]


MAX_EXTENSIONS = 200
"""Chunks of a body that extend the timeout; large bodies come in many."""


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No complete response was received.

    Attributes:
        error: What went wrong.
        sent: Whether the peer may have received the request.
    """

    error: str
    sent: bool


CallOutcome: TypeAlias = CallResponse | CallFailed


def call(
    reactor: Any, pool: ConnectionPool, data: bytes, *, timeout_s: float
) -> Deferred[CallOutcome]:
    """Sends a request and returns its complete response.

    Args:
        reactor: Schedules the timeout.
        pool: Connections to the peer.
        data: The serialized request.
        timeout_s: Timeout of the call, including the connection, and then
            of each chunk of the body.
    """
    return _Call(reactor, pool, data, timeout_s).outcome


class _Call(ResponseReceiver):
    """Buffers one response."""

    def __init__(
        self,
        reactor: Any,
        pool: ConnectionPool,
        data: bytes,
        timeout_s: float,
    ) -> None:
        self._pool = pool
        self._data = data
        self._head: ResponseHead | None = None
        self._body_chunks: list[bytes] = []
        self._connection: HttpClientConnection | None = None
        self._timeout_s = timeout_s
        self._extensions = MAX_EXTENSIONS
        self._timer = reactor.callLater(timeout_s, self._timed_out)
        self.outcome: Deferred[CallOutcome] = Deferred(self._cancelled)
        self._connecting = pool.acquire()
        self._connecting.addCallbacks(self._connected, self._connect_failed)

    def response_started(self, head: ResponseHead) -> bool:
        """Stores the head."""
        self._head = head
        return True

    def response_body(self, data: bytes) -> None:
        """Buffers a chunk of the body; a body that arrives is no timeout."""
        self._body_chunks.append(data)
        if self._extensions and self._timer.active():
            self._extensions -= 1
            self._timer.reset(self._timeout_s)

    def response_ended(self) -> None:
        """Returns the response to the caller of ``call``."""
        connection, head = self._connection, self._head
        if connection is not None:
            self._pool.release(connection)
        if head is not None:
            self._finish(
                CallResponse(head.status, b"".join(self._body_chunks))
            )

    def response_failed(self, reason: BreakReason) -> None:
        """Returns the failure to the caller of ``call``."""
        self._finish(CallFailed(reason.value, sent=True))

    def _connected(self, connection: HttpClientConnection) -> None:
        self._connection = connection
        connection.send(self._data, self)

    def _connect_failed(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._finish(CallFailed(failure.getErrorMessage(), sent=False))

    def _timed_out(self) -> None:
        sent = self._abort()
        self._finish(CallFailed("timeout", sent=sent))

    def _cancelled(self, _: Deferred[CallOutcome]) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._abort()

    def _abort(self) -> bool:
        if self._connection is None:
            self._connecting.cancel()
            return False
        self._connection.abort()
        return True

    def _finish(self, outcome: CallOutcome) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)
