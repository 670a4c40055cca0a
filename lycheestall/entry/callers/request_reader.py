"""Reads callers' requests from a connection, within their limits."""

from __future__ import annotations

from abc import ABC, abstractmethod

import httptools

from ...clock import Clock
from ..configuration import CallerLimits
from ..http_messages import Header, Request
from .refusals import LimitCause, Refusal

__all__ = ["RequestListener", "RequestReader"]

HEADER_LINE_BYTES = 224
"""Memory of a header besides its characters: a tuple, two byte strings and
the list entries that refer to them."""

BODY_GROWTH = 1.125
"""Memory of a body that grows, relative to its size."""

MAX_EMPTY_BYTES = 1024
"""Bytes that may come between two requests; they can only be empty lines."""

_SEPARATOR_BYTES = 4
"""Bytes of a header line besides its name and its value."""


class RequestListener(ABC):
    """Receives what a ``RequestReader`` has read."""

    @abstractmethod
    def next_limits(self) -> CallerLimits:
        """Returns the limits for the next request."""

    @abstractmethod
    def request_read(self, request: Request, *, head_bytes: int) -> None:
        """Receives a whole request.

        Args:
            request: The request.
            head_bytes: Memory of its head.
        """


class RequestReader:
    """Parses pipelined requests.

    Args:
        listener: Receives the requests.
        clock: Tells when they were received.

    Attributes:
        refusal: Why nothing more is read, if so.
        in_message: Whether a part of a request was read.
        head_done: Whether the head of that request was read.
        expects_continue: Whether the caller waits to be asked for its body.
        limits: The limits of that request.
        messages: Number of requests that were begun.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_head_size",
        "_headers",
        "_listener",
        "_parser",
        "_received",
        "_url",
        "expects_continue",
        "head_done",
        "in_message",
        "limits",
        "messages",
        "refusal",
    )

    def __init__(self, listener: RequestListener, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self.limits = listener.next_limits()
        self.refusal: Refusal | None = None
        self.in_message = False
        self.head_done = False
        self.expects_continue = False
        self.messages = 0
        self._url = b""
        self._headers: list[Header] = []
        self._head_size = 0
        # Bytes of this kind were received since the last progress: of the
        # head, of trailers and framing, or of empty lines.
        self._received = 0
        self._body: bytes | bytearray = b""

    @property
    def awaits_response(self) -> bool:
        """Whether the caller is to be refused, or asked for a body."""
        return self.refusal is not None or self.expects_continue

    @property
    def held_bytes(self) -> int:
        """Memory of the request that is being read."""
        if not self.in_message:
            return 0
        body = int(len(self._body) * BODY_GROWTH)
        return self._head_held_bytes + self._received + body

    def feed(self, data: bytes) -> None:
        """Parses received bytes unless the connection has been refused."""
        messages = self.messages
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is answered, as the last one.
            self._refuse_malformed("protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse_malformed(f"malformed request: {error}")
        if self.refusal is not None:
            return
        if self.in_message:
            self._check_sizes(begun=self.messages != messages)
        elif self.messages != messages:
            self._received = 0
        elif self._received > MAX_EMPTY_BYTES:
            self.refuse(
                Refusal(
                    400,
                    "too many bytes between two requests",
                    LimitCause.EMPTY_BYTES,
                )
            )

    def refuse(self, refusal: Refusal) -> None:
        """Ends reading; the first reason counts."""
        if self.refusal is not None:
            return
        self.refusal = refusal
        self._url = b""
        self._headers = []
        self._body = b""
        self._head_size = 0
        self._received = 0

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self.messages += 1
        self.in_message = True
        self.head_done = False
        self.expects_continue = False
        self._url = b""
        self._headers = []
        self._head_size = 0
        self._body = b""
        self.limits = self._listener.next_limits()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the URL."""
        self._url += url
        self._head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        if self.head_done or self.refusal is not None:
            return
        self._headers.append((name, value))
        self._head_size += len(name) + len(value) + _SEPARATOR_BYTES
        if self._head_size > self.limits.header_bytes:
            self._refuse_head()

    def on_headers_complete(self) -> None:
        """Validates the request head."""
        self.head_done = True
        self._received = 0
        if self.refusal is not None:
            return
        if self._head_size > self.limits.header_bytes:
            self._refuse_head()
            return
        waits = False
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"transfer-encoding" and value.lower() != b"chunked":
                self._refuse_malformed("unsupported transfer encoding")
            elif lower == b"expect" and value.lower() == b"100-continue":
                waits = self._supports_chunks
            elif lower == b"content-length" and self._exceeds_body_limit(
                value
            ):
                self._refuse_body()
        if not self._url.startswith(b"/"):
            self._refuse_malformed("only paths are supported")
        self.expects_continue = waits and self.refusal is None

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, up to the size limit."""
        self._received = 0
        self.expects_continue = False
        if self.refusal is not None:
            return
        if not self._body:
            self._body = body
        else:
            if isinstance(self._body, bytes):
                # A list of parts would need more memory than small parts.
                self._body = bytearray(self._body)
            self._body += body
        if len(self._body) > self.limits.body_bytes:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """Passes a whole request on."""
        self.in_message = False
        self.expects_continue = False
        if self.refusal is not None:
            return
        head_held_bytes = self._head_held_bytes
        headers, body = tuple(self._headers), bytes(self._body)
        self._headers = []
        self._body = b""
        self.head_done = False
        self._listener.request_read(
            Request(
                method=self._parser.get_method(),
                url=self._url,
                headers=headers,
                body=body,
                keep_alive=self._keeps_alive(),
                received_at=self._clock.seconds(),
                supports_chunks=self._supports_chunks,
            ),
            head_bytes=head_held_bytes,
        )

    @property
    def _supports_chunks(self) -> bool:
        return bool(self._parser.get_http_version() == "1.1")

    def _keeps_alive(self) -> bool:
        parser = self._parser
        if parser.should_upgrade():
            # What follows a request for another protocol can't be read.
            return False
        # Callers of HTTP/1.0 need to be told that a connection stays open.
        return self._supports_chunks and bool(parser.should_keep_alive())

    @property
    def _head_held_bytes(self) -> int:
        return self._head_size + len(self._headers) * HEADER_LINE_BYTES

    def _check_sizes(self, *, begun: bool) -> None:
        if not self.head_done:
            if begun:
                # What was read also holds the end of earlier requests.
                self._received = 0
            if self._received > self.limits.header_bytes:
                self._refuse_head()
        elif self._received > self.limits.header_bytes:
            self.refuse(
                Refusal(
                    431,
                    "trailers or chunk extensions too long",
                    LimitCause.FRAMING_BYTES,
                )
            )

    def _exceeds_body_limit(self, length: bytes) -> bool:
        return length.isdigit() and int(length) > self.limits.body_bytes

    def _refuse_head(self) -> None:
        self.refuse(
            Refusal(431, "request head too large", LimitCause.HEAD_BYTES)
        )

    def _refuse_body(self) -> None:
        self.refuse(
            Refusal(413, "request body too large", LimitCause.BODY_BYTES)
        )

    def _refuse_malformed(self, reason: str) -> None:
        self.refuse(Refusal(400, reason, LimitCause.MALFORMED))
