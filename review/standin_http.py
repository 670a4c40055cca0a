"""A small HTTP/1.1 server and client on asyncio streams, for stand-ins."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 65_536

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its channel."""


@dataclass
class Request:
    """A request as a server receives it.

    Attributes:
        method: The method.
        url: Path and query, as received.
        headers: Values by name in lower case.
        body: The whole body.
        channel: The channel that it came on.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    channel: Channel

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.url).path

    @property
    def query(self) -> dict[str, str]:
        """The query."""
        return dict(parse_qsl(urlsplit(self.url).query))


class Channel:
    """The server's end of one channel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def closed(self) -> bool:
        """Whether the peer has closed or reset the channel."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    async def respond(
        self,
        status: int,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        """Sends a whole response."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers or []]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def start(self, headers: list[tuple[str, str]]) -> None:
        """Sends the head of a chunked response."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    def abort(self) -> None:
        """Resets the channel."""
        channel_socket = self.writer.get_extra_info("socket")
        if channel_socket is not None and channel_socket.fileno() >= 0:
            channel_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
        self.writer.transport.abort()


Handler = Callable[[Request], Awaitable[None]]


class Server:
    """Serves requests on one loopback port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()
        self.port = 0

    async def start(self) -> None:
        """Listens, on the port that it had before if it had one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> None:
        """Resets all open channels."""
        for channel in list(self._channels):
            channel.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while True:
                request = await _read_request(reader, channel)
                await self._handler(request)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            OSError,
        ):
            pass
        finally:
            self._channels.discard(channel)
            writer.transport.abort()


@dataclass
class Answer:
    """What a client got for one request.

    Attributes:
        status: The status; 0 if the channel ended before an answer.
        headers: Values by name in lower case.
        body: The body, as far as it came.
        whole: Whether the answer was complete.
        events: Ids of the events of a stream that came whole.
        data: The data of each of them.
        took_s: Seconds from the sending to the end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    events: list[int] = field(default_factory=list)
    data: list[str] = field(default_factory=list)
    took_s: float = 0.0


async def ask(
    port: int,
    method: str,
    url: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    *,
    timeout_s: float = 4.0,
    answer: Answer | None = None,
) -> Answer:
    """Sends a request on a new channel and reads its answer.

    Args:
        port: The loopback port.
        method: The method.
        url: Path and query.
        headers: All headers but the length of the body.
        body: The body.
        timeout_s: When the client leaves.
        answer: Filled in as the answer arrives.
    """
    answer = answer or Answer()
    loop = asyncio.get_running_loop()
    begun = loop.time()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {url} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, answer)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
        answer.took_s = loop.time() - begun
    return answer


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(
    reader: asyncio.StreamReader, channel: Channel
) -> Request:
    first, headers = await _read_head(reader)
    method, url, _ = first.split(" ")
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length)
    return Request(method, url, headers, body, channel)


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    first, headers = await _read_head(reader)
    answer.status = int(first.split(" ")[1])
    answer.headers = headers
    if headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.whole = True
        return
    partial = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            answer.whole = True
            return
        answer.body += data[:-2]
        partial += data[:-2]
        while b"\n\n" in partial:
            event, partial = partial.split(b"\n\n", 1)
            _add_event(event.decode(), answer)


def _add_event(event: str, answer: Answer) -> None:
    fields = dict(
        line.split(": ", 1) for line in event.split("\n") if ": " in line
    )
    answer.events.append(int(fields.get("id", "0")))
    answer.data.append(fields.get("data", ""))
