"""Server side of callers' HTTP/1.1 connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import httptools
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ...clock import Clock, Timer
from ..exchange import (
    PLAIN_TEXT_HEADERS,
    Exchange,
    RequestHandler,
    ResponseChannel,
)
from ..http_messages import (
    Header,
    Request,
    encode_response,
    encode_response_head,
)

__all__ = ["CallerConnection", "CallerFactory"]

MAX_PIPELINED = 8
"""Complete requests that may be queued on one connection."""

LINGER_S = 1.0
"""Seconds to keep reading after the last response; closing at once could
send a reset that discards the response before the caller reads it."""


class CallerConnection(Protocol, ResponseChannel):
    """Parses pipelined requests and handles them one at a time.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
        on_closed: Called with the connection once it is closed.
    """

    transport: Any

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        on_closed: Callable[[CallerConnection], None],
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._on_closed = on_closed
        self._limits = handler.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request] = deque()
        self._current: Exchange | None = None
        self._error: tuple[int, str] | None = None
        self._closing = False
        self._timer: Timer | None = None
        self._in_message = False
        self._head_done = False
        self._url = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._current is None and not self._in_message

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes."""
        if self._closing or self._error is not None:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            if self._error is None:
                self._reject(400, f"malformed request: {error}")
        if self._error is None and self._in_message:
            self._check_sizes()
        if self._error is None and self._in_message and self._head_done:
            self._set_timer(self._limits.idle_timeout_s, self._body_timeout)
        self._handle_next()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Drops queued requests and cancels the current one."""
        self._closing = True
        self._cancel_timer()
        self._queue.clear()
        current, self._current = self._current, None
        if current is not None:
            current.caller_disconnected()
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        self._in_message = True
        self._head_done = False
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._limits = self._handler.limits()
        self._set_timer(self._limits.header_timeout_s, self._head_timeout)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validates the request head."""
        self._head_done = True
        size = len(self._url)
        for name, value in self._headers:
            size += len(name) + len(value) + 4
        if size > self._limits.header_bytes:
            self._reject(431, "request head too large")
            return
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"transfer-encoding" and value.lower() != b"chunked":
                self._reject(400, "unsupported transfer encoding")
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif lower == b"content-length" and self._exceeds_body_limit(
                value
            ):
                self._reject(413, "request body too large")
        if not self._url.startswith(b"/"):
            self._reject(400, "only paths are supported")

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, up to the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes <= self._limits.body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        self._in_message = False
        self._cancel_timer()
        if self._error is not None or self._closing:
            return
        if self._body_bytes > self._limits.body_bytes:
            self._reject(413, "request body too large")
            return
        request = Request(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self._clock.seconds(),
        )
        self._body = []
        self._head_done = False
        self._head_bytes = 0
        self._queue.append(request)
        if len(self._queue) >= MAX_PIPELINED:
            self.transport.pauseProducing()

    def send_response(
        self,
        exchange: Exchange,
        status: int,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Writes a complete response and continues with the next request."""
        if self._closing:
            return
        close = self._should_close_after(exchange.request)
        self.transport.write(
            encode_response(status, headers, body, close=close)
        )
        self.exchange_ended(close=close)

    def send_head(
        self, exchange: Exchange, status: int, headers: Sequence[Header]
    ) -> None:
        """Writes the head of a chunked response."""
        if self._closing:
            return
        all_headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        close = not exchange.request.keep_alive
        self.transport.write(
            encode_response_head(status, all_headers, close=close)
        )

    def write(self, data: bytes) -> None:
        """Writes encoded bytes of the current response."""
        if not self._closing:
            self.transport.write(data)

    def exchange_ended(self, *, close: bool | None = None) -> None:
        """Continues with the next request, or closes the connection.

        Args:
            close: Whether the response announced ``Connection: close``;
                None if that depends on the request alone.
        """
        current, self._current = self._current, None
        if self._closing:
            return
        if close is None:
            close = current is None or not current.request.keep_alive
        if close:
            self._close()
            return
        if not self._queue and not self._in_message:
            self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)
        self._clock.callLater(0, self._handle_next)

    def abort(self) -> None:
        """Resets the connection."""
        self._current = None
        self._closing = True
        self._cancel_timer()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.idle and not self._closing:
            self._close()

    def _should_close_after(self, request: Request) -> bool:
        if not request.keep_alive:
            return True
        return self._handler.should_close() and not self._queue

    def _handle_next(self) -> None:
        if self._closing or self._current is not None:
            return
        if self._queue:
            request = self._queue.popleft()
            if len(self._queue) == MAX_PIPELINED - 1:
                self.transport.resumeProducing()
            self._current = Exchange(request, self)
            self._handler.handle(self._current)
            return
        if self._error is None:
            return
        status, reason = self._error
        body = reason.encode() + b"\n"
        self.transport.write(
            encode_response(status, PLAIN_TEXT_HEADERS, body, close=True)
        )
        self._close()

    def _exceeds_body_limit(self, length: bytes) -> bool:
        return length.isdigit() and int(length) > self._limits.body_bytes

    def _check_sizes(self) -> None:
        if not self._head_done:
            if self._head_bytes > self._limits.header_bytes:
                self._reject(431, "request head too large")
        elif self._body_bytes > self._limits.body_bytes:
            self._reject(413, "request body too large")

    def _reject(self, status: int, reason: str) -> None:
        if self._error is None:
            self._error = (status, reason)
        self._cancel_timer()

    def _head_timeout(self) -> None:
        self._timer = None
        self._reject(408, "request head took too long")
        self._handle_next()

    def _body_timeout(self) -> None:
        self._timer = None
        self._reject(408, "request body took too long")
        self._handle_next()

    def _idle_timeout(self) -> None:
        self._timer = None
        self.close_if_idle()

    def _close(self) -> None:
        self._closing = True
        self._cancel_timer()
        self.transport.loseConnection()
        self._set_timer(LINGER_S, self.transport.abortConnection)

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class CallerFactory(Factory):
    """Creates callers' connections and tracks the open ones.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
    """

    noisy = False

    def __init__(self, handler: RequestHandler, clock: Clock) -> None:
        self._handler = handler
        self._clock = clock
        self._open: set[CallerConnection] = set()

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Creates the protocol of a new connection."""
        connection = CallerConnection(
            self._handler, self._clock, self._open.discard
        )
        self._open.add(connection)
        return connection

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self._open):
            connection.close_if_idle()

    @property
    def connections(self) -> frozenset[CallerConnection]:
        """The open connections."""
        return frozenset(self._open)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not connection.idle for connection in self._open)
