"""A stand-in of a runner: it registers itself and answers requests."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from .standin_http import Request, Server
from .standin_store import Mode, Store

HEARTBEAT_S = 1.2

STRIDE = 14
"""Tokens of one event of a stream."""


class Runner:
    """One runner of a service.

    Args:
        store: The platform's store, which it registers itself in.
        runner_id: Its id.
        service: Its service.
        record: Receives a line for each request that it begins to run.
        version: Version of its software.
        slots: Requests that it runs at once; more are rejected.
        event_s: Seconds between two events of a stream.
        work_s: Seconds that a plain request takes.

    Attributes:
        record: Receives a line for each thing that happens.
        runs: Id of each request that it began to run.
    """

    def __init__(
        self,
        store: Store,
        runner_id: str,
        service: str,
        record: Callable[[str], None],
        *,
        version: str = "v1",
        slots: int = 64,
        event_s: float = 0.1,
        work_s: float = 0.05,
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.version = version
        self.slots = slots
        self.event_s = event_s
        self.work_s = work_s
        self.runs: list[str] = []
        self._running = 0
        self._store = store
        self.record = record
        self._server = Server(self._serve)
        self._registering: asyncio.Task[None] | None = None
        self._born = 0
        self._up = False

    async def start(self) -> None:
        """Starts the runner, which registers itself."""
        await self._server.start()
        self._up = True
        self._born = int(time.time() * 1000)
        self._registering = asyncio.create_task(self._register())
        self.record(
            f"runner {self.runner_id} ({self.service} {self.version}) started"
        )

    async def crash(self) -> None:
        """Ends the runner without a word, and all requests with it."""
        self._up = False
        if self._registering is not None:
            self._registering.cancel()
        await self._server.stop()
        self.record(f"runner {self.runner_id} crashed")

    async def work(self, url: str) -> None:
        """Runs a plain request.

        Args:
            url: Its path and query.
        """
        await asyncio.sleep(self.work_s)

    async def stop(self) -> None:
        """Ends the runner at the end of the test."""
        self._up = False
        if self._registering is not None:
            self._registering.cancel()
        await self._server.stop()

    async def _register(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": f"127.0.0.1:{self._server.port}",
                "zone": "zone-a",
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": self._born,
            }
            if self._store.mode is Mode.UP:
                self._store.partition("keyed.servers").put(
                    self.runner_id.encode(), json.dumps(entry).encode()
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, request: Request) -> None:
        """Answers a request.

        Args:
            request: The request.
        """
        request_id = request.headers.get("x-request-id", "")
        channel = request.channel
        if request.path == "/health":
            headers = [("X-Instance-Id", self.runner_id)]
            await channel.respond(200, headers)
            return
        expected = request.headers.get("x-expect-instance", self.runner_id)
        echo = [("X-Request-Id", request_id)]
        if expected != self.runner_id:
            headers = [*echo, ("X-Instance-Id", self.runner_id)]
            await channel.respond(421, headers)
            return
        if self._running >= self.slots:
            await channel.respond(503, [*echo, ("X-Not-Executed", "1")])
            return
        self.runs.append(request_id)
        self.record(f"run {request_id} at {self.runner_id} {request.url}")
        self._running += 1
        try:
            headers = [*echo, ("X-Response-Seal", f"seal.{request_id}")]
            if "x-token-usage" in request.headers:
                await self._stream(request, headers)
            else:
                await self.work(request.url)
                await channel.respond(200, headers, request_id.encode() * 4)
        finally:
            self._running -= 1

    async def _serve(self, request: Request) -> None:
        await self.answer(request)

    async def _stream(
        self, request: Request, headers: list[tuple[str, str]]
    ) -> None:
        channel = request.channel
        most = int(request.headers["x-token-usage"].split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        stream_type = ("Content-Type", "text/event-stream")
        await channel.start([*headers, stream_type])
        for number in range(first, most // STRIDE + 1):
            await asyncio.sleep(self.event_s)
            if channel.closed or not self._up:
                raise ConnectionResetError
            text = f"id: {number}\ndata: {self.version} event {number}\n\n"
            await channel.chunk(text.encode())
        await channel.chunk(b"")
