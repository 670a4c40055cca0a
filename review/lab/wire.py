"""HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True)
class Message:
    """The head and body of a request or a response.

    Attributes:
        start: The words of the first line.
        headers: Values by lower-case name; the last one counts.
        body: The decoded body, as far as it was received.
        whole: Whether the body is complete.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request whose body has a length, or none."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        size = int(head.headers.get("content-length", "0"))
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(head.start, head.headers, body)


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Reads a response, also one that ends early."""
    head = await read_head(reader)
    if head is None:
        return None
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body, whole = await _read_chunks(reader)
    elif "content-length" in head.headers:
        size = int(head.headers["content-length"])
        body, whole = await _read_exactly(reader, size)
    else:
        body, whole = await _read_to_end(reader)
    return Message(head.start, head.headers, body, whole)


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a request with a length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def _read_exactly(
    reader: asyncio.StreamReader, size: int
) -> tuple[bytes, bool]:
    try:
        return await reader.readexactly(size), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except ConnectionError:
        return b"", False


async def _read_to_end(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    try:
        return await reader.read(), True
    except ConnectionError:
        return b"", False
