"""HTTP requests and answers as values, and their bytes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

__all__ = [
    "AnswerHead",
    "Header",
    "Request",
    "answer_bytes",
    "answer_head_bytes",
    "chunk_bytes",
    "request_bytes",
]

Header = tuple[bytes, bytes]
"""A header's name, spelled as received, and its value."""


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        method: The method.
        url: Path and query, byte for byte.
        headers: In the order received.
        body: The body without its framing.
        keeps_alive: Whether the caller keeps the connection.
        received_at: When its last byte was read.
    """

    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    body: bytes
    keeps_alive: bool
    received_at: float

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.url.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes:
        status: The status code.
        headers: In the order received.
        framed: Whether the body's end is marked; otherwise it ends with
            the connection.
        keeps_alive: Whether the connection may be used again.
    """

    status: int
    headers: tuple[Header, ...]
    framed: bool
    keeps_alive: bool


def request_bytes(
    method: bytes, url: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Returns a request; its body is framed by its length.

    Args:
        method: The method.
        url: Path and query.
        headers: All headers but the length.
        body: The whole body.
    """
    lines = [method + b" " + url + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer_head_bytes(
    status: int, headers: Sequence[Header], *, close: bool
) -> bytes:
    """Returns an answer's head.

    Args:
        status: The status code.
        headers: All headers, framing included.
        close: Whether the connection ends after this answer.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _reason(status))]
    lines.extend(name + b": " + value for name, value in headers)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def answer_bytes(
    status: int, headers: Sequence[Header], body: bytes, *, close: bool
) -> bytes:
    """Returns a whole answer, framed by its length."""
    framed = [*headers, (b"Content-Length", b"%d" % len(body))]
    return answer_head_bytes(status, framed, close=close) + body


def chunk_bytes(data: bytes) -> bytes:
    """Returns a chunk; without data, the one that ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
