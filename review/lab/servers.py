"""A stand-in of a server that runs streams and plain requests."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from review.lab.store import Store
from review.lab.wire import Message, encode_response, read_request


@dataclass(frozen=True)
class Run:
    """One request that a server has begun to run.

    Attributes:
        request: Its ``X-Request-Id``.
        server: ID of the server.
        at: Time of the loop.
    """

    request: str
    server: str
    at: float


class Server:
    """One server; all of its requests run at once.

    Args:
        name: Its ID.
        service: Its service.
        store: The store that it is registered in.
        zone: Its zone.
        version: Version of its software.
        events: Events of a stream.
        gap_s: Seconds before each event, or before a plain answer.
        places: Requests that it takes at a time; None for any number.
        on_run: Called with each request that it runs.

    Attributes:
        runs: The requests that it has begun to run.
        extra_headers: Further headers of its answers.
        lose_each: One in so many answers is lost by a reset; None for
            no loss.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        *,
        zone: str,
        version: str = "v1",
        events: int = 20,
        gap_s: float = 0.005,
        places: int | None = None,
        on_run: Callable[[Run], None] = lambda _: None,
    ) -> None:
        self.name = name
        self.service = service
        self._store = store
        self._zone = zone
        self.version = version
        self.events = events
        self.gap_s = gap_s
        self._places = places
        self._running = 0
        self._on_run = on_run
        self.runs: list[Run] = []
        self.extra_headers: dict[str, str] = {}
        self.lose_each: int | None = None
        self._server: asyncio.Server | None = None
        self._address = ""

    async def start(self) -> None:
        """Listens, and registers in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"127.0.0.1:{port}"
        self.register("ready")

    def register(self, state: str, *, sequence: int = 1) -> None:
        """Writes its entry in the store."""
        entry = {
            "service": self.service,
            "address": self._address,
            "zone": self._zone,
            "version": self.version,
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": 1_700_000_000_000,
        }
        self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        if request.start[1] == "/health":
            writer.write(encode_response(200, {"X-Instance-Id": self.name}))
            return
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_response(421, {"X-Instance-Id": self.name}))
            return
        if self._places is not None and self._running >= self._places:
            headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(encode_response(503, headers))
            return
        self._running += 1
        try:
            await self._run(request, request_id, writer)
        finally:
            self._running -= 1

    async def _run(
        self, request: Message, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        run = Run(request_id, self.name, asyncio.get_running_loop().time())
        self.runs.append(run)
        self._on_run(run)
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Seal": f"seal-{request_id}",
            **self.extra_headers,
        }
        lost = self.lose_each and len(self.runs) % self.lose_each == 0
        if self.events and not lost:
            await self._stream(request, writer, headers)
            return
        await asyncio.sleep(self.gap_s)
        if lost:
            _reset(writer)
            raise ConnectionResetError("the answer is lost")
        body = f"{request_id} {self.name}".encode()
        writer.write(encode_response(200, headers, body))

    async def _stream(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\nevent: {self.version}\ndata: x\n\n"
            chunk = f"{len(event):x}\r\n{event}\r\n"
            writer.write(chunk.encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()
