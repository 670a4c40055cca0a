"""Targets on loopback addresses that send bytes without end."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

PIECE = b"x" * 16_384
BATCH_BYTES = 65_536
"""Bytes that a target writes at once."""

MOST_BYTES = 40_000_000
"""Bytes after which a target stops, so that a test ends if nothing else ends
a response."""


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def patterns(request_id: bytes) -> dict[str, tuple[bytes, bytes]]:
    """Returns how the responses begin, and what follows without end."""
    echoed = b"X-Request-Id: " + request_id + b"\r\nX-Response-Seal: s\r\n"
    start = b"HTTP/1.1 200 OK\r\n"
    chunked = start + echoed + b"Transfer-Encoding: chunked\r\n\r\n"
    failed = b"HTTP/1.1 500 Failed\r\n" + echoed
    return {
        "status line": (b"HTTP/1.1 200 ", PIECE),
        "header": (start + b"X-Long: ", PIECE),
        "headers": (start, b"X-More: a\r\n"),
        "interim responses": (b"", b"HTTP/1.1 103 Early\r\n\r\n"),
        "other responses": (
            b"",
            start + b"X-Request-Id: other\r\nContent-Length: 1\r\n\r\nx",
        ),
        "chunk size": (chunked, b"0"),
        "trailers": (chunked + b"0\r\n", b"X-More: a\r\n"),
        "body": (
            start + echoed + b"Content-Length: 4000000000\r\n\r\n",
            PIECE,
        ),
        "body to the end of the connection": (start + echoed + b"\r\n", PIECE),
        "body of an error": (failed + b"\r\n", PIECE),
        "chunks": (chunked, chunk(PIECE)),
        "chunks of 20 bytes": (chunked, chunk(b"x" * 20)),
        "chunks of one byte": (chunked, chunk(b"x")),
        "event": (chunked + chunk(b"id: 1\ndata: "), chunk(PIECE)),
    }


class EndlessTarget:
    """Sends a pattern to each connection until it is closed.

    Args:
        pattern: Name of the pattern.
    """

    def __init__(self, pattern: str) -> None:
        self._pattern = pattern
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.responses = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.responses += 1
            for data in self._pieces(_request_id(head)):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _pieces(self, request_id: bytes) -> Iterator[bytes]:
        start, piece = patterns(request_id)[self._pattern]
        batch = piece * max(1, BATCH_BYTES // len(piece))
        yield start
        for _ in range(MOST_BYTES // len(batch)):
            yield batch


def _request_id(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""
