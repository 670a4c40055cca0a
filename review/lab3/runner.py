"""A stand-in of a runner that registers itself in the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from .http1 import Message, Server, chunk, encode
from .store import Store

HEARTBEAT_S = 1.2


class Answer:
    """Writes a runner's answer to one request."""

    def __init__(self, request: Message, writer: asyncio.StreamWriter) -> None:
        self.request = request
        self._writer = writer
        self.open = True

    @property
    def _common(self) -> list[tuple[str, str]]:
        return [("X-Request-Id", self.request.headers["x-request-id"])]

    async def whole(self, status: int, body: bytes) -> None:
        """Sends a complete answer with its seal."""
        headers = [*self._common, ("X-Response-Seal", "s")]
        self._writer.write(encode(f"HTTP/1.1 {status} x", headers, body))
        await self._writer.drain()

    async def not_executed(self, status: int) -> None:
        """Says that the request was not run."""
        headers = [*self._common, ("X-Not-Executed", "1")]
        self._writer.write(encode(f"HTTP/1.1 {status} x", headers, b""))
        await self._writer.drain()

    async def begin_stream(self) -> None:
        """Sends the head of a stream of events."""
        headers = [
            *self._common,
            ("X-Response-Seal", "s"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        self._writer.write(encode("HTTP/1.1 200 OK", headers, None))
        await self._writer.drain()

    async def event(self, number: int, data: str) -> None:
        """Sends one event."""
        self._writer.write(chunk(f"id: {number}\ndata: {data}\n\n".encode()))
        await self._writer.drain()

    async def comment(self, text: str) -> None:
        """Sends a comment, which is no event."""
        self._writer.write(chunk(f": {text}\n\n".encode()))
        await self._writer.drain()

    async def end_stream(self) -> None:
        """Ends the stream."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()


Behaviour = Callable[[Answer], Awaitable[None]]


class Runner:
    """Runs requests as its behaviour says.

    Attributes:
        ran: IDs of the requests that it has begun to run, in order.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        behaviour: Behaviour,
        *,
        zone: str = "zone-a",
        slots: int = 8,
        version: str = "v1",
    ) -> None:
        self._store = store
        self._behaviour = behaviour
        self._server = Server(self._handle)
        self._beating: asyncio.Task[None] | None = None
        self._port = 0
        self._entry: dict[str, object] = {
            "service": service,
            "zone": zone,
            "version": version,
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": int(time.time() * 1000),
        }
        self.name = name
        self.ran: list[str] = []

    async def start(self, *, first_beat_s: float = 0.0) -> None:
        """Listens and registers.

        Args:
            first_beat_s: Seconds until it writes its entry for the first
                time.
        """
        await self._server.start(port=self._port)
        self._port = self._server.port
        self._entry["address"] = f"127.0.0.1:{self._port}"
        self._beating = asyncio.create_task(self._beat(first_beat_s))

    def restarted(self, behaviour: Behaviour, version: str) -> Runner:
        """Returns the next run of it: same id and address, later start."""
        again = Runner(
            self._store,
            self.name,
            str(self._entry["service"]),
            behaviour,
            zone=str(self._entry["zone"]),
            slots=int(str(self._entry["slots"])),
            version=version,
        )
        again._port = self._port
        return again

    async def stop(self) -> None:
        """Stops without a word, as in a crash."""
        if self._beating is not None:
            self._beating.cancel()
        await self._server.stop()

    async def _beat(self, first_beat_s: float) -> None:
        sequence = 0
        await asyncio.sleep(first_beat_s)
        while True:
            sequence += 1
            self._store.put(
                "keyed.servers",
                self.name,
                {**self._entry, "sequence": sequence},
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(
        self,
        request: Message,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.target == "/health":
            headers = [("X-Instance-Id", self.name)]
            writer.write(encode("HTTP/1.1 200 OK", headers, b""))
            return True
        answer = Answer(request, writer)
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            await answer.not_executed(421)
            return True
        self.ran.append(request.headers["x-request-id"])
        await self._behaviour(answer)
        return True
