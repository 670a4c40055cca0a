"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

STREAM_LIMIT = 1 << 22
"""Buffer size of the streams, in bytes."""


@dataclass
class Message:
    """A request, or a response as far as it was received.

    Attributes:
        start: The first line.
        headers: Header values by lower-case name; the last one counts.
        body: The body without chunk framing.
        whole: Whether the message was received completely.
        problem: What was wrong with it, or how it ended early.
    """

    start: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    problem: str = ""

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """The status code of a response; 0 without one."""
        parts = self.start.split(" ")
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


class FramingError(Exception):
    """Bytes that are no HTTP/1.1 message."""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads one chunk of a body; empty for the last one.

    Raises:
        FramingError: What stands there is no chunk.
    """
    line = await reader.readuntil(b"\r\n")
    size_text = line[:-2].split(b";")[0].strip()
    try:
        size = int(size_text, 16)
    except ValueError:
        raise FramingError(
            f"no chunk size: {line[:60].decode('latin-1')!r}"
        ) from None
    data = await reader.readexactly(size + 2)
    if data[size:] != b"\r\n":
        raise FramingError("no line end after a chunk")
    return data[:size]


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    on_data: Callable[[bytes], Awaitable[None]] | None = None,
) -> None:
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while True:
            data = await read_chunk(reader)
            if not data:
                message.whole = True
                return
            message.body += data
            if on_data is not None:
                await on_data(data)
    left = int(message.headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 65_536))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        message.body += data
        left -= len(data)
        if on_data is not None:
            await on_data(data)
    message.whole = True


def encode(
    start: str, headers: list[tuple[str, str]], body: bytes | None = b""
) -> bytes:
    """Returns a message; without a length if the body is None."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


Handler = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]
"""Answers a request; returns whether the connection stays open."""


class Server:
    """Serves requests one after the other on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=STREAM_LIMIT, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and drops all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if not await self._handler(request, reader, writer):
                    break
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            FramingError,
        ):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()


async def send(
    address: tuple[str, int],
    request: bytes,
    *,
    limit_s: float,
    on_data: Callable[[bytes], Awaitable[None]] | None = None,
) -> Message:
    """Sends a request on a new connection and reads the response.

    Args:
        address: Where to connect to.
        request: The encoded request.
        limit_s: Seconds after which the caller leaves.
        on_data: Called with each part of the body.
    """
    message = Message()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=STREAM_LIMIT
            )
            writer.write(request)
            await read_response(reader, message, on_data)
    except TimeoutError:
        message.problem = "the caller's time was over"
    except asyncio.IncompleteReadError:
        message.problem = "the connection was closed"
    except ConnectionError as error:
        message.problem = f"the connection was lost ({type(error).__name__})"
    except FramingError as error:
        message.problem = f"bytes that are no answer: {error}"
    finally:
        if writer is not None:
            writer.transport.abort()
    return message


async def read_response(
    reader: asyncio.StreamReader,
    message: Message,
    on_data: Callable[[bytes], Awaitable[None]] | None = None,
) -> None:
    """Reads a response into a message, as far as it comes."""
    while True:
        head = await read_head(reader)
        if head.status >= 200:
            break
    message.start, message.headers = head.start, head.headers
    await read_body(reader, message, on_data)
