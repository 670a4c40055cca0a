"""Callers' connections: whole requests in, answers in order out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import httptools
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ..clock import Clock, Timer
from .exchange import PLAIN_TEXT, AnswerChannel, Exchange, RequestHandler
from .http_messages import (
    Header,
    Request,
    answer_bytes,
    answer_head_bytes,
)

__all__ = ["CallerConnection", "CallerFactory"]

MAX_PIPELINED = 8
"""Whole requests of one connection that wait for their turn."""

LINGER_S = 1.0
"""Seconds to read on after a last answer, so that no reset overtakes it."""


class CallerConnection(Protocol, AnswerChannel):
    """Parses requests and answers them one after the other.

    Args:
        handler: Answers the requests.
        clock: Times the limits.
        closed: Called with the connection when it has ended.
    """

    transport: Any

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        closed: Callable[[CallerConnection], None],
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._closed = closed
        self._limits = handler.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[Request] = deque()
        self._current: Exchange | None = None
        self._refusal: tuple[int, str] | None = None
        self._closing = False
        self._timer: Timer | None = None
        self._mid_message = False
        self._head_done = False
        self._url = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._current is None and not self._mid_message

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses bytes of the caller."""
        if self._closing or self._refusal is not None:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            if self._refusal is None:
                self._reject(400, f"malformed request: {error}")
        if self._refusal is None and self._mid_message:
            self._check_sizes()
        if self._refusal is None and self._mid_message and self._head_done:
            self._set_timer(self._limits.idle_timeout_s, self._body_timeout)
        self._answer_next()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Gives up the request in progress."""
        self._closing = True
        self._clear_timer()
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None:
            current.caller_left()
        self._closed(self)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._mid_message = True
        self._head_done = False
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._limits = self._handler.limits()
        self._set_timer(self._limits.header_timeout_s, self._head_timeout)

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks the head."""
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
            elif lower == b"content-length" and self._too_long(value):
                self._reject(413, "request body too large")
        if not self._url.startswith(b"/"):
            self._reject(400, "only paths are supported")

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes <= self._limits.body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a whole request."""
        self._mid_message = False
        self._clear_timer()
        if self._refusal is not None or self._closing:
            return
        if self._body_bytes > self._limits.body_bytes:
            self._reject(413, "request body too large")
            return
        request = Request(
            method=self._parser.get_method(),
            url=self._url,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            keeps_alive=self._parser.should_keep_alive(),
            received_at=self._clock.seconds(),
        )
        self._body = []
        self._head_done = False
        self._head_bytes = 0
        self._waiting.append(request)
        if len(self._waiting) >= MAX_PIPELINED:
            self.transport.pauseProducing()

    def send_answer(
        self,
        exchange: Exchange,
        status: int,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Writes a whole answer and goes on with the next request."""
        if self._closing:
            return
        close = self._closes_after(exchange.request)
        self.transport.write(answer_bytes(status, headers, body, close=close))
        self.exchange_ended(close=close)

    def send_head(
        self, exchange: Exchange, status: int, headers: Sequence[Header]
    ) -> None:
        """Writes the head of an answer in pieces."""
        if self._closing:
            return
        framed = [*headers, (b"Transfer-Encoding", b"chunked")]
        close = not exchange.request.keeps_alive
        self.transport.write(answer_head_bytes(status, framed, close=close))

    def write(self, data: bytes) -> None:
        """Writes bytes of the answer in progress."""
        if not self._closing:
            self.transport.write(data)

    def exchange_ended(self, *, close: bool | None = None) -> None:
        """Goes on after an answer.

        Args:
            close: Whether the caller was told that the connection ends;
                None if that depends on the request alone.
        """
        current, self._current = self._current, None
        if self._closing:
            return
        if close is None:
            close = current is None or not current.request.keeps_alive
        if close:
            self._end()
            return
        if not self._waiting and not self._mid_message:
            self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)
        self._clock.callLater(0, self._answer_next)

    def abort(self) -> None:
        """Resets the connection."""
        self._current = None
        self._closing = True
        self._clear_timer()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Ends the connection unless a request is in progress."""
        if self.idle and not self._closing:
            self._end()

    def _closes_after(self, request: Request) -> bool:
        if not request.keeps_alive:
            return True
        return self._handler.closing() and not self._waiting

    def _answer_next(self) -> None:
        if self._closing or self._current is not None:
            return
        if self._waiting:
            request = self._waiting.popleft()
            if len(self._waiting) == MAX_PIPELINED - 1:
                self.transport.resumeProducing()
            self._current = Exchange(request, self)
            self._handler.handle(self._current)
            return
        if self._refusal is None:
            return
        status, reason = self._refusal
        body = reason.encode() + b"\n"
        self.transport.write(
            answer_bytes(status, PLAIN_TEXT, body, close=True)
        )
        self._end()

    def _too_long(self, length: bytes) -> bool:
        return length.isdigit() and int(length) > self._limits.body_bytes

    def _check_sizes(self) -> None:
        if not self._head_done:
            if self._head_bytes > self._limits.header_bytes:
                self._reject(431, "request head too large")
        elif self._body_bytes > self._limits.body_bytes:
            self._reject(413, "request body too large")

    def _reject(self, status: int, reason: str) -> None:
        if self._refusal is None:
            self._refusal = (status, reason)
        self._clear_timer()

    def _head_timeout(self) -> None:
        self._timer = None
        self._reject(408, "request head took too long")
        self._answer_next()

    def _body_timeout(self) -> None:
        self._timer = None
        self._reject(408, "request body took too long")
        self._answer_next()

    def _idle_timeout(self) -> None:
        self._timer = None
        self.close_if_idle()

    def _end(self) -> None:
        self._closing = True
        self._clear_timer()
        self.transport.loseConnection()
        self._set_timer(LINGER_S, self.transport.abortConnection)

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._clock.callLater(delay_s, call)

    def _clear_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class CallerFactory(Factory):
    """Makes callers' connections and knows the open ones.

    Args:
        handler: Answers the requests.
        clock: Times the limits.
    """

    noisy = False

    def __init__(self, handler: RequestHandler, clock: Clock) -> None:
        self._handler = handler
        self._clock = clock
        self._open: set[CallerConnection] = set()

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        connection = CallerConnection(
            self._handler, self._clock, self._open.discard
        )
        self._open.add(connection)
        return connection

    def close_idle(self) -> None:
        """Ends the connections on which nothing is under way."""
        for connection in list(self._open):
            connection.close_if_idle()

    @property
    def busy(self) -> int:
        """Connections with a request in progress."""
        return sum(not connection.idle for connection in self._open)
