"""HTTP/1.1 requests and responses, and their encoding as bytes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

__all__ = [
    "STATUSES",
    "STATUSES_WITHOUT_BODY",
    "ResponseHead",
    "Header",
    "Request",
    "encode_response",
    "encode_response_head",
    "encode_chunk",
    "encode_request",
]

STATUSES = range(100, 600)
"""Status codes of HTTP responses; RFC 9110, section 15."""

STATUSES_WITHOUT_BODY = frozenset((204, 304))
"""Status codes of responses that end with their head; RFC 9112, section 6.3.
"""

Header = tuple[bytes, bytes]
"""A header's name, with its case as received, and its value."""


@dataclass(frozen=True, slots=True)
class Request:
    """A completely received request.

    Attributes:
        method: The method.
        url: Path and query, unmodified.
        headers: In the order received; never shown, they may hold keys.
        body: The decoded body, without chunk framing.
        keep_alive: Whether the caller keeps the connection open.
        received_at: Time at which the last byte was read.
        supports_chunks: Whether the caller understands chunks and interim
            responses; callers of HTTP/1.0 don't.
    """

    method: bytes
    url: bytes
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes
    keep_alive: bool
    received_at: float
    supports_chunks: bool = True

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.url.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The status code.
        headers: In the order received.
        framed: Whether the headers delimit the body; otherwise the body
            ends when the connection closes.
        keep_alive: Whether the connection may be reused.
    """

    status: int
    headers: tuple[Header, ...]
    framed: bool
    keep_alive: bool


def encode_request(
    method: bytes, url: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encodes a request whose body is delimited by ``Content-Length``.

    Args:
        method: The method.
        url: Path and query.
        headers: All headers except ``Content-Length``.
        body: The complete body.
    """
    lines = [method + b" " + url + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(
    status: int, headers: Sequence[Header], *, close: bool
) -> bytes:
    """Encodes the status line and headers of a response.

    Args:
        status: The status code.
        headers: All headers, including those that delimit the body.
        close: Whether the connection is closed after this response.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))]
    lines.extend(name + b": " + value for name, value in headers)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(
    status: int, headers: Sequence[Header], body: bytes, *, close: bool
) -> bytes:
    """Encodes a response delimited by ``Content-Length``."""
    all_headers = [*headers, (b"Content-Length", b"%d" % len(body))]
    return encode_response_head(status, all_headers, close=close) + body


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk; empty data gives the last chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
