"""A stand-in of the platform's store: a log with one port for each machine.

Each machine has a port of its own, so that the store can turn some machines
away and serve the others.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from review.lab.wire import Message, encode_response, read_request

PAGE_ITEMS = 500
POLL_S = 0.02


@dataclass
class _Writer:
    epoch: int = -1
    sequence: int = 0
    answers: dict[int, tuple[int, int]] = field(default_factory=dict)


@dataclass
class _Partition:
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    writers: dict[str, _Writer] = field(default_factory=dict)

    def append(self, records: list[bytes]) -> tuple[int, int]:
        offset = len(self.records)
        self.records += records
        return offset, len(self.records)


class Store:
    """The store's topics and its calls over HTTP.

    Attributes:
        silent: Ports on which calls get no answer and have no effect.
        late_s: Seconds by which answers come late, by port.
        calls: Number of calls that were answered.
    """

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._servers: list[asyncio.Server] = []
        self.silent: set[int] = set()
        self.late_s: dict[int, float] = {}
        self.calls = 0

    async def listen(self) -> int:
        """Opens a port for one machine and returns it."""
        port = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, writer, port)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self._servers.append(server)
        return port

    def close(self) -> None:
        """Closes all ports."""
        for server in self._servers:
            server.close()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a keyed record, as the operator and the servers do."""
        content = bytes((len(key.encode()),)) + key.encode() + value
        return self._partition(topic, 0).append([content])[0]

    def newest(
        self, topic: str, part: int = 0
    ) -> dict[bytes, tuple[int, bytes]]:
        """Returns the offset and value of the newest record of each key."""
        newest: dict[bytes, tuple[int, bytes]] = {}
        records = self._partition(topic, part).records
        for offset, content in enumerate(records):
            key_end = 1 + content[0]
            key, value = content[1:key_end], content[key_end:]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if port in self.silent:
                    # Nothing was done, and the channel stays silent.
                    await reader.read()
                    return
                answer = await self._answer(request)
                if port in self.late_s:
                    await asyncio.sleep(self.late_s[port])
                if port in self.silent:
                    await reader.read()
                    return
                self.calls += 1
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        parts = urlsplit(request.start[1])
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        partition = self._partition(query["topic"], int(query["part"]))
        if parts.path == "/api/log-append":
            return self._append(partition, query, request.body)
        if parts.path == "/api/log-read":
            return await self._read(partition, query)
        if parts.path == "/api/log-newest":
            return self._newest(query)
        return encode_response(404, {})

    def _append(
        self, partition: _Partition, query: dict[str, str], body: bytes
    ) -> bytes:
        records: list[bytes] = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        if "producer" not in query:
            offset, end = partition.append(records)
            return _json(200, {"offset": offset, "end": end})
        writer = partition.writers.setdefault(query["producer"], _Writer())
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < writer.epoch:
            return _json(409, {"why": "fenced"})
        if epoch == writer.epoch and sequence in writer.answers:
            offset, end = writer.answers[sequence]
            return _json(200, {"offset": offset, "end": end})
        if epoch == writer.epoch and sequence != writer.sequence + 1:
            expected = writer.sequence + 1
            return _json(409, {"why": "seq", "sequence": expected})
        if epoch > writer.epoch:
            writer.answers = {}
        writer.epoch, writer.sequence = epoch, sequence
        offset, end = partition.append(records)
        writer.answers[sequence] = (offset, end)
        return _json(200, {"offset": offset, "end": end})

    async def _read(
        self, partition: _Partition, query: dict[str, str]
    ) -> bytes:
        start = int(query["from"])
        if start < partition.first:
            return _json(410, {"first": partition.first})
        deadline = asyncio.get_running_loop().time()
        deadline += int(query.get("wait_ms", "0")) / 1000
        while len(partition.records) <= start:
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(POLL_S)
        body = struct.pack(">QQ", len(partition.records), partition.first)
        for content in partition.records[start:]:
            body += struct.pack(">I", len(content)) + content
        return encode_response(200, {}, body)

    def _newest(self, query: dict[str, str]) -> bytes:
        topic, part = query["topic"], int(query["part"])
        partition = self._partition(topic, part)
        after = query.get("after", "").encode()
        found = sorted(
            (key, offset, value)
            for key, (offset, value) in self.newest(topic, part).items()
            if key > after
        )
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, offset, value in found[:PAGE_ITEMS]
        ]
        more = len(found) > PAGE_ITEMS
        end = len(partition.records)
        return _json(200, {"items": items, "has_more": more, "end": end})


def _json(status: int, document: object) -> bytes:
    headers = {"Content-Type": "application/json"}
    return encode_response(status, headers, json.dumps(document).encode())
