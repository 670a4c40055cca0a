"""A stand-in of the platform's store: a log with keyed topics."""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from .http1 import Message, Server, encode

LATENCY_S = 0.004
"""Time of an answer, as on the sheets."""

MAX_READ_BYTES = 1_024 * 1_024
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
POLL_S = 0.01


@dataclass
class Producer:
    """What a partition knows of one producer."""

    epoch: int = -1
    sequence: int = 0
    answers: dict[int, bytes] = field(default_factory=dict)


@dataclass
class Partition:
    """One partition of a topic.

    Attributes:
        records: The contents of all records, from offset 0.
        newest: Offset of the newest record by key.
        keys: The keys, sorted.
    """

    records: list[bytes] = field(default_factory=list)
    newest: dict[bytes, int] = field(default_factory=dict)
    keys: list[bytes] = field(default_factory=list)
    producers: dict[str, Producer] = field(default_factory=dict)

    def append(self, content: bytes) -> None:
        """Adds a record of a keyed topic."""
        key = content[1 : 1 + content[0]]
        has_value = len(content) > 1 + content[0]
        known = key in self.newest
        if has_value:
            self.newest[key] = len(self.records)
            if not known:
                bisect.insort(self.keys, key)
        elif known:
            del self.newest[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
        self.records.append(content)


class Store:
    """Serves the calls of the platform's page that the system makes.

    Attributes:
        port: Where it listens.
        calls: Number of calls by path.
    """

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._server = Server(self._handle)
        self.calls: dict[str, int] = {}

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._server.port

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._server.stop()

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition; it is created on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, document: object | None) -> None:
        """Writes a record as the operator or a runner does."""
        name = key.encode()
        value = b"" if document is None else json.dumps(document).encode()
        self.partition(topic).append(bytes((len(name),)) + name + value)

    async def _handle(
        self,
        request: Message,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        parts = urlsplit(request.target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, errors="surrogateescape"
            ).items()
        }
        self.calls[parts.path] = self.calls.get(parts.path, 0) + 1
        await asyncio.sleep(LATENCY_S)
        partition = self.partition(query["topic"], int(query["part"]))
        if parts.path == "/api/log-append":
            status, body = _append(partition, query, request.body)
        elif parts.path == "/api/log-read":
            status, body = await _read(partition, query)
        elif parts.path == "/api/log-newest":
            status, body = 200, _newest(partition, query)
        else:
            status, body = 404, b"{}"
        writer.write(encode(f"HTTP/1.1 {status} x", [], body))
        await writer.drain()
        return True


def _append(
    partition: Partition, query: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    first = len(partition.records)
    if "as_of" in query and int(query["as_of"]) != first:
        return 412, json.dumps({"end": first}).encode()
    producer: Producer | None = None
    sequence = 0
    if "producer" in query:
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        producer = partition.producers.setdefault(
            query["producer"], Producer()
        )
        if epoch < producer.epoch:
            return 409, b'{"why":"fenced"}'
        if epoch == producer.epoch:
            if sequence in producer.answers:
                return 200, producer.answers[sequence]
            if sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                text = {"why": "seq", "expected": expected}
                return 409, json.dumps(text).encode()
        else:
            producer.answers.clear()
        producer.epoch, producer.sequence = epoch, sequence
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        position += 4
        partition.append(body[position : position + size])
        position += size
    answer = {"offset": first, "end": len(partition.records)}
    encoded = json.dumps(answer).encode()
    if producer is not None:
        producer.answers[sequence] = encoded
        for old in sorted(producer.answers)[:-5]:
            del producer.answers[old]
    return 200, encoded


async def _read(
    partition: Partition, query: dict[str, str]
) -> tuple[int, bytes]:
    start = int(query["from"])
    left_s = int(query.get("wait_ms", "0")) / 1000
    while len(partition.records) <= start and left_s > 0:
        await asyncio.sleep(POLL_S)
        left_s -= POLL_S
    body = bytearray(struct.pack(">QQ", len(partition.records), 0))
    for content in partition.records[start:]:
        body += struct.pack(">I", len(content)) + content
        if len(body) > MAX_READ_BYTES:
            break
    return 200, bytes(body)


def _newest(partition: Partition, query: dict[str, str]) -> bytes:
    after = query.get("after", "").encode("utf-8", "surrogateescape")
    position = bisect.bisect_right(partition.keys, after) if after else 0
    items: list[dict[str, object]] = []
    size = 0
    for key in partition.keys[position : position + MAX_PAGE_ITEMS]:
        offset = partition.newest[key]
        value = partition.records[offset][1 + len(key) :]
        items.append(
            {
                "key": key.decode("utf-8", "surrogateescape"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
        )
        size += len(key) + len(value)
        if size > MAX_PAGE_BYTES:
            break
    document = {
        "items": items,
        "has_more": position + len(items) < len(partition.keys),
        "end": len(partition.records),
    }
    return json.dumps(document).encode()
