"""A stand-in of the platform's metadata store, as its page describes it."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import struct
from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum

from .standin_http import Request, Server

ANSWER_S = 0.004
"""Time of an answer."""

MAX_PAGE = 500
"""Records of one page of a listing."""

MAX_PAGE_BYTES = 1_000_000
"""Bytes of the values of one page of a listing."""

REMEMBERED_APPENDS = 5


class Mode(Enum):
    """How the store answers calls.

    Attributes:
        UP: It serves them.
        BUSY: It answers 503, which means that nothing was done.
        RESET: It resets every channel.
    """

    UP = "up"
    BUSY = "busy"
    RESET = "reset"


@dataclass
class _Producer:
    epoch: int = -1
    sequence: int = -1
    responses: dict[int, bytes] = field(default_factory=dict)


@dataclass
class Partition:
    """The records of one partition of a topic.

    Attributes:
        records: Key and value of each record, by offset.
        newest: Offset of the newest record of each key.
        producers: What is known of each producer.
        sorted_keys: All keys, sorted when they were last listed.
        changed: Set at the next append.
    """

    records: list[tuple[bytes, bytes]] = field(default_factory=list)
    newest: dict[bytes, int] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)
    sorted_keys: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: bytes, value: bytes) -> int:
        """Appends a record; an empty value drops the key."""
        offset = len(self.records)
        self.records.append((key, value))
        self.newest[key] = offset
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """Keeps topics of keyed records and serves them over HTTP.

    Attributes:
        mode: How calls are answered.
        down_topics: Topics whose partitions alone answer 503.
    """

    def __init__(self) -> None:
        self.mode = Mode.UP
        self.down_topics: set[str] = set()
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._server = Server(self._handle)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition of a topic."""
        return self._partitions.setdefault((topic, part), Partition())

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._server.stop()

    def set_mode(self, mode: Mode) -> None:
        """Changes how calls are answered, also those that wait."""
        self.mode = mode
        if mode is Mode.RESET:
            self._server.reset_all()
        for partition in self._partitions.values():
            changed, partition.changed = partition.changed, asyncio.Event()
            changed.set()

    async def _handle(self, request: Request) -> None:
        await asyncio.sleep(ANSWER_S)
        topic = request.query.get("topic", "")
        if await self._refused(request, topic):
            return
        part = int(request.query.get("part", "0"))
        if request.path == "/api/log-append":
            await self._append(request, self.partition(topic, part))
        elif request.path == "/api/log-read":
            await self._read(request, topic, self.partition(topic, part))
        elif request.path == "/api/log-newest":
            await self._list(request, self.partition(topic, part))
        else:
            await request.channel.respond(404)

    async def _refused(self, request: Request, topic: str) -> bool:
        if self.mode is Mode.RESET:
            request.channel.abort()
            return True
        if self.mode is Mode.BUSY or topic in self.down_topics:
            await request.channel.respond(503)
            return True
        return False

    async def _append(self, request: Request, partition: Partition) -> None:
        query = request.query
        records = _decode(request.body)
        producer: _Producer | None = None
        sequence = int(query.get("sequence", "0"))
        if "producer" in query:
            producer = partition.producers.setdefault(
                query["producer"], _Producer()
            )
            epoch = int(query["epoch"])
            if epoch < producer.epoch:
                await _json(request, 409, {"why": "fenced"})
                return
            if epoch > producer.epoch:
                producer.epoch = epoch
                producer.sequence = sequence - 1
                producer.responses.clear()
            if sequence in producer.responses:
                body = producer.responses[sequence]
                await request.channel.respond(200, body=body)
                return
            if sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                answer = {"why": "seq", "expected": expected}
                await _json(request, 409, answer)
                return
        first = len(partition.records)
        for key, value in records:
            partition.put(key, value)
        answer = {"offset": first, "end": len(partition.records)}
        if producer is not None:
            producer.sequence = sequence
            producer.responses[sequence] = json.dumps(answer).encode()
            for old in sorted(producer.responses)[:-REMEMBERED_APPENDS]:
                del producer.responses[old]
        await _json(request, 200, answer)

    async def _read(
        self, request: Request, topic: str, partition: Partition
    ) -> None:
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while start >= len(partition.records) and loop.time() < until:
            try:
                async with asyncio.timeout(until - loop.time()):
                    await partition.changed.wait()
            except TimeoutError:
                break
            if await self._refused(request, topic):
                return
        body = struct.pack(">QQ", len(partition.records), 0)
        for key, value in partition.records[start : start + 5000]:
            content = bytes((len(key),)) + key + value
            body += struct.pack(">I", len(content)) + content
        await request.channel.respond(200, body=body)

    async def _list(self, request: Request, partition: Partition) -> None:
        after = request.query.get("after", "").encode()
        items: list[dict[str, object]] = []
        size = 0
        more = False
        if len(partition.sorted_keys) != len(partition.newest):
            partition.sorted_keys = sorted(partition.newest)
        keys = partition.sorted_keys
        for key in itertools.islice(keys, bisect_right(keys, after), None):
            offset = partition.newest[key]
            value = partition.records[offset][1]
            if not value:
                continue
            size += len(value)
            if len(items) >= MAX_PAGE or (items and size > MAX_PAGE_BYTES):
                more = True
                break
            items.append(
                {
                    "key": key.decode(),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        end = len(partition.records)
        answer = {"items": items, "has_more": more, "end": end}
        await _json(request, 200, answer)


def _decode(body: bytes) -> list[tuple[bytes, bytes]]:
    records: list[tuple[bytes, bytes]] = []
    while body:
        (size,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + size], body[4 + size :]
        end = 1 + content[0]
        records.append((content[1:end], content[end:]))
    return records


async def _json(request: Request, status: int, answer: object) -> None:
    body = json.dumps(answer).encode()
    headers = [("Content-Type", "application/json")]
    await request.channel.respond(status, headers, body)
