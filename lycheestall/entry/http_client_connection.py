"""Connections to targets and to the store: one request at a time."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ..logs import get_logger
from .http_messages import AnswerHead, Header

__all__ = ["ResponseReceiver", "BreakReason", "HttpClientConnection"]

UNACKNOWLEDGED_MS = 1500
"""Milliseconds that sent bytes may stay unacknowledged; then the peer or
the way to it is taken as gone."""

KEEPALIVE_IDLE_S = 2
"""Seconds without a byte before the kernel asks whether the peer lives."""

KEEPALIVE_PROBES = 2
"""Unanswered questions, a second apart, that end a connection."""

_NO_BODY = (204, 304)


class BreakReason(Enum):
    """Why an answer did not come whole."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    OVERDUE = "overdue"


class ResponseReceiver(ABC):
    """Receives one answer."""

    @abstractmethod
    def response_started(self, head: AnswerHead) -> bool:
        """Takes the head; False skips this answer and waits for another."""

    @abstractmethod
    def response_body(self, data: bytes) -> None:
        """Takes a piece of the body."""

    @abstractmethod
    def response_ended(self) -> None:
        """Takes the end of a whole answer."""

    @abstractmethod
    def response_failed(self, reason: BreakReason) -> None:
        """Takes the end of the connection before the answer's end."""


class HttpClientConnection(Protocol):
    """A kept connection that carries one exchange at a time.

    Attributes:
        reusable: Whether another request may be sent.
        idle_since: When the last answer ended; set by the pool.
        idle_timeout_s: How long the peer keeps it idle, if it said so.
    """

    transport: Any

    def __init__(self) -> None:
        self.reusable = True
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.on_lost: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseReceiver | None = None
        self._headers: list[Header] = []
        self._head: AnswerHead | None = None
        self._head_done = False
        self._skipping = False
        self._bodiless = False
        self._lost = False

    @property
    def open(self) -> bool:
        """Whether the connection is up and may carry a request."""
        return self.reusable and not self._lost and self._sink is None

    def connectionMade(self) -> None:  # noqa: N802
        """Sets the socket up so that a silent peer is found out."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        handle = getattr(self.transport, "getHandle", None)
        if handle is None:
            return
        tcp = socket.IPPROTO_TCP
        options = handle()
        try:
            options.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
            options.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            options.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
            options.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        except OSError as error:
            # Without them only timeouts find a silent peer.
            get_logger().warning("socket options", error=str(error))

    def send(
        self, data: bytes, sink: ResponseReceiver, *, bodiless: bool = False
    ) -> None:
        """Sends a request; its answer goes to the sink.

        Args:
            data: The whole request.
            sink: Receives the answer.
            bodiless: Whether the answer has no body whatever it says.
        """
        self._sink = sink
        self._bodiless = bodiless
        self.transport.write(data)

    def abort(self) -> None:
        """Resets the connection; the sink hears nothing more."""
        self._sink = None
        self.reusable = False
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses bytes of the peer."""
        if self._sink is None:
            # Bytes that belong to no request.
            self.reusable = False
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break(BreakReason.MALFORMED)
        except httptools.HttpParserError:
            if self._sink is not None:
                self._break(BreakReason.MALFORMED)
            elif not self._lost:
                self.reusable = False
                self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Ends the answer in progress."""
        self._lost = True
        self.reusable = False
        if self.on_lost is not None:
            self.on_lost(self)
        sink = self._sink
        if sink is None:
            return
        clean = reason is not None and reason.check(ConnectionDone)
        ends_with_connection = (
            self._head is not None
            and not self._head.framed
            and not self._skipping
        )
        self._sink = None
        if clean and ends_with_connection:
            sink.response_ended()
            return
        sink.response_failed(
            BreakReason.CLOSED if clean else BreakReason.RESET
        )

    def on_message_begin(self) -> None:
        """Starts an answer, or finds one that nobody asked for."""
        self._headers = []
        self._head = None
        self._head_done = False
        self._skipping = False
        if self._sink is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hands the head to the sink."""
        self._head_done = True
        status = self._parser.get_status_code()
        if self._sink is None or status < 200:
            return
        names = {name.lower() for name, _ in self._headers}
        framed = (
            status in _NO_BODY
            or b"content-length" in names
            or b"transfer-encoding" in names
        )
        self._head = AnswerHead(
            status=status,
            headers=tuple(self._headers),
            framed=framed,
            keeps_alive=framed and self._parser.should_keep_alive(),
        )
        if not self._head.keeps_alive:
            self.reusable = False
        if not self._sink.response_started(self._head):
            self._skipping = True
            self.reusable = False
            return
        if self._bodiless:
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Hands a piece of the body to the sink."""
        if self._sink is not None and not self._skipping:
            self._sink.response_body(body)

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if self._skipping or self._head is None:
            return
        if self._sink is not None:
            self._complete()

    def _complete(self) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.response_ended()

    def _break(self, reason: BreakReason) -> None:
        sink, self._sink = self._sink, None
        self.reusable = False
        self.transport.abortConnection()
        if sink is not None:
            sink.response_failed(reason)
