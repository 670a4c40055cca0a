"""HTTP/1.1 client connections that carry one request at a time."""

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
from .http_messages import (
    STATUSES,
    STATUSES_WITHOUT_BODY,
    Header,
    ResponseHead,
)

__all__ = [
    "CONNECTION_LOST",
    "BreakReason",
    "HttpClientConnection",
    "ResponseReceiver",
    "is_fragmented",
]

UNACKNOWLEDGED_MS = 1500
"""Milliseconds that sent data may remain unacknowledged before the kernel
closes the connection (``TCP_USER_TIMEOUT``)."""

KEEPALIVE_IDLE_S = 2
"""Seconds of idle time before the kernel sends TCP keepalive probes."""

KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes, one second apart, that end a connection."""

MAX_UNPRODUCTIVE_BYTES = 131_072
"""Bytes that a peer may send without any of the body that is waited for:
heads, trailers and responses to other requests."""

MAX_HEAD_BYTES = 65_536
"""Memory of the headers of one response."""

HEADER_BYTES = 128
"""Memory of a header besides its name and value."""

MAX_SMALL_PIECES = 4096
"""Pieces of a body that may be of any size."""

MIN_MEAN_PIECE_BYTES = 8
"""Mean size of the pieces of a body with more of them. Each costs as much time
as some hundred bytes, and an event of a stream is larger."""


class BreakReason(Enum):
    """Why a response is incomplete.

    Attributes:
        CLOSED: The peer closed the connection.
        RESET: The connection was reset or lost.
        MALFORMED: The data is not a valid HTTP response.
        OVERDUE: The response did not arrive in time.
        TOO_LARGE: More bytes arrived than any sound response has.
        LINK_LOST: This VM no longer reaches the peer.
    """

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    OVERDUE = "overdue"
    TOO_LARGE = "too large"
    LINK_LOST = "link lost"


CONNECTION_LOST = (BreakReason.CLOSED, BreakReason.RESET)
"""Reasons for which the peer may have crashed."""


class ResponseReceiver(ABC):
    """Callbacks for the parts of one response."""

    @abstractmethod
    def response_started(self, head: ResponseHead) -> bool:
        """Handles the head of a response.

        Returns:
            Whether to continue with this response; if False, it is skipped
            and the receiver waits for the next one.
        """

    @abstractmethod
    def response_body(self, data: bytes) -> None:
        """Handles a chunk of the body."""

    @abstractmethod
    def response_ended(self) -> None:
        """Handles the end of a complete response."""

    @abstractmethod
    def response_failed(self, reason: BreakReason) -> None:
        """Handles the end of the connection within the response."""


class HttpClientConnection(Protocol):
    """A persistent connection that carries one request at a time.

    Attributes:
        reusable: Whether another request may be sent.
        idle_since: When the last response ended; set by the pool.
        idle_timeout_s: Idle timeout announced by the peer, if any.
        on_lost: Called with the connection when it is closed.
        refused: Whether the peer has refused a request on it.
    """

    transport: Any

    def __init__(self) -> None:
        self.reusable = True
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.on_lost: Any = None
        self.refused = False
        self._parser = httptools.HttpResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._headers: list[Header] = []
        self._head: ResponseHead | None = None
        self._head_done = False
        self._skipping = False
        self._is_head_request = False
        self._lost = False
        self._unproductive_bytes = 0
        self._head_bytes = 0
        self._body_pieces = 0
        self._body_bytes = 0
        self._reading = True

    @property
    def open(self) -> bool:
        """Whether the connection can carry a request now."""
        return self.reusable and not self._lost and self._receiver is None

    def connectionMade(self) -> None:  # noqa: N802
        """Sets the socket options that detect an unresponsive peer."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        get_handle = getattr(self.transport, "getHandle", None)
        if get_handle is None:
            return
        tcp = socket.IPPROTO_TCP
        handle = get_handle()
        try:
            handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
            handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            handle.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
            handle.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        except OSError as error:
            # Without them, only timeouts detect an unresponsive peer.
            get_logger().warning(
                "cannot set TCP socket options", error=str(error)
            )

    def send(
        self,
        data: bytes,
        receiver: ResponseReceiver,
        *,
        is_head_request: bool = False,
    ) -> None:
        """Sends a request and passes its response to a receiver.

        Args:
            data: The serialized request.
            receiver: Receives the response.
            is_head_request: Whether the method is HEAD, so that the response
                has no body whatever its headers say.
        """
        self._receiver = receiver
        self._is_head_request = is_head_request
        self._unproductive_bytes = 0
        self.transport.write(data)

    def set_reading(self, reading: bool) -> None:
        """Reads from the connection, or stops reading."""
        if reading is self._reading or self._lost:
            return
        self._reading = reading
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def abort(self) -> None:
        """Resets the connection without further receiver callbacks."""
        self._receiver = None
        self.reusable = False
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received data."""
        if self._receiver is None:
            # The data belongs to no request.
            self.reusable = False
            self.transport.abortConnection()
            return
        self._unproductive_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(BreakReason.MALFORMED)
        except httptools.HttpParserError:
            if self._receiver is not None:
                self._fail(BreakReason.MALFORMED)
            elif not self._lost:
                self.reusable = False
                self.transport.abortConnection()
        if self._unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            self._fail(BreakReason.TOO_LARGE)

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Ends the response in progress."""
        self._lost = True
        self.reusable = False
        if self.on_lost is not None:
            self.on_lost(self)
        receiver = self._receiver
        if receiver is None:
            return
        clean = reason is not None and reason.check(ConnectionDone)
        ends_at_close = (
            self._head is not None
            and not self._head.framed
            and not self._skipping
        )
        self._receiver = None
        if clean and ends_at_close:
            receiver.response_ended()
            return
        receiver.response_failed(
            BreakReason.CLOSED if clean else BreakReason.RESET
        )

    def on_message_begin(self) -> None:
        """Starts a response; without a request it is unsolicited."""
        self._headers = []
        self._head_bytes = 0
        self._body_pieces = 0
        self._body_bytes = 0
        self._head = None
        self._head_done = False
        self._skipping = False
        if self._receiver is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; trailers are dropped."""
        if self._head_done or self._receiver is None:
            return
        self._head_bytes += len(name) + len(value) + HEADER_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(BreakReason.TOO_LARGE)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Passes the head to the receiver."""
        self._head_done = True
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self._fail(BreakReason.MALFORMED)
            return
        if self._receiver is None or status < 200:
            return
        names = {name.lower() for name, _ in self._headers}
        framed = (
            status in STATUSES_WITHOUT_BODY
            or b"content-length" in names
            or b"transfer-encoding" in names
        )
        self._head = ResponseHead(
            status=status,
            headers=tuple(self._headers),
            framed=framed,
            keep_alive=framed and self._parser.should_keep_alive(),
        )
        if not self._head.keep_alive:
            self.reusable = False
        if not self._receiver.response_started(self._head):
            self._skipping = True
            self.reusable = False
            return
        if self._is_head_request:
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Passes a chunk of the body to the receiver."""
        if self._receiver is None or self._skipping:
            return
        self._unproductive_bytes = 0
        self._body_pieces += 1
        self._body_bytes += len(body)
        if is_fragmented(
            self._body_pieces, self._body_bytes, MIN_MEAN_PIECE_BYTES
        ):
            self._fail(BreakReason.TOO_LARGE)
            return
        self._receiver.response_body(body)

    def on_message_complete(self) -> None:
        """Ends the response."""
        if self._skipping or self._head is None:
            return
        if self._receiver is not None:
            self._complete()

    def _complete(self) -> None:
        self.set_reading(True)
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.response_ended()

    def _fail(self, reason: BreakReason) -> None:
        receiver, self._receiver = self._receiver, None
        self.reusable = False
        self.transport.abortConnection()
        if receiver is not None:
            receiver.response_failed(reason)


def is_fragmented(pieces: int, size: int, min_mean_bytes: int) -> bool:
    """Returns whether a body comes in too many pieces for its size.

    Args:
        pieces: Pieces so far.
        size: Their bytes.
        min_mean_bytes: Mean size from ``MAX_SMALL_PIECES`` pieces on.
    """
    return pieces > MAX_SMALL_PIECES and size < pieces * min_mean_bytes
