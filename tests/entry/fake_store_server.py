"""A fake HTTP server of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.responses import Exchange, RequestHandler
from lycheestall.entry.store import (
    AppendConflict,
    Appended,
    KeyedRecord,
    KeyedWrite,
    Topic,
    WriterFence,
)
from lycheestall.ids import Offset
from tests.entry.memory_store import MemoryLog

TOPICS = {
    "keyed.op": Topic.CONFIGURATION,
    "keyed.servers": Topic.TARGETS,
    "keyed.lycheestall": Topic.LEDGER,
    "keyed.lycheestall-versions": Topic.VERSIONS,
    "lycheestall-origins": Topic.ORIGINS,
}
TURNS_PREFIX = "keyed.lycheestall-turns-"


class FakeStoreServer(RequestHandler):
    """Serves a log with the store's HTTP protocol.

    Args:
        log: The topics.
        reactor: Schedules long polls.
        translate: Returns a target's registration as this server gives it
            out; as written by default.
    """

    def __init__(
        self,
        log: MemoryLog,
        reactor: Any,
        *,
        translate: Callable[[bytes], bytes] = lambda value: value,
    ) -> None:
        self.log = log
        self._reactor = reactor
        self._translate = translate

    def limits(self) -> CallerLimits:
        """Returns limits with a long idle timeout."""
        return CallerLimits(idle_timeout_s=60.0)

    def should_close(self) -> bool:
        """Returns False."""
        return False

    def handle(self, exchange: Exchange) -> None:
        """Handles one call."""
        parts = urlsplit(exchange.request.url.decode())
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, errors="surrogateescape"
            ).items()
        }
        topic = _topic(query["topic"])
        if parts.path == "/api/log-append":
            self._append(exchange, topic, query)
        elif parts.path == "/api/log-read":
            self._read(exchange, topic, query)
        elif parts.path == "/api/log-newest":
            self._newest(exchange, topic, query)
        else:
            exchange.send_error(404, "no such call")

    def _append(
        self, exchange: Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        fence: WriterFence | None = None
        if "producer" in query:
            fence = WriterFence(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
        outcome = self.log.append(
            topic, _decode_writes(exchange.request.body), fence
        )
        if isinstance(outcome, Appended):
            end = len(self.log.by_topic[topic])
            _respond_json(exchange, 200, {"offset": outcome.first, "end": end})
        elif isinstance(outcome, AppendConflict):
            _respond_json(exchange, 409, {"why": outcome.reason})

    def _read(
        self, exchange: Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        start = int(query["from"])
        first = self.log.first_by_topic[topic]
        if start < first:
            _respond_json(exchange, 410, {"first": first})
            return
        records = self._given_out(topic, self.log.by_topic[topic][start:])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if not records and wait_s > 0:
            query["wait_ms"] = str(int(wait_s * 1000) - 20)
            self._reactor.callLater(0.02, self._read, exchange, topic, query)
            return
        end = len(self.log.by_topic[topic])
        body = struct.pack(">QQ", end, first)
        body += b"".join(_encode_record(record) for record in records)
        exchange.respond(200, [], body)

    def _newest(
        self, exchange: Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        after = query.get("after", "").encode("utf-8", "surrogateescape")
        newest = [r for r in self.log.newest(topic) if r.key > after]
        records = self._given_out(topic, newest)
        items = [
            {
                "key": r.key.decode("utf-8", "surrogateescape"),
                "value": base64.b64encode(r.value or b"").decode(),
                "offset": r.offset,
            }
            for r in records[:2]
        ]
        end = Offset(len(self.log.by_topic[topic]))
        more = len(records) > 2
        _respond_json(
            exchange, 200, {"items": items, "has_more": more, "end": end}
        )

    def _given_out(
        self, topic: Topic, records: Sequence[KeyedRecord]
    ) -> list[KeyedRecord]:
        if topic is not Topic.TARGETS:
            return list(records)
        return [
            record
            if record.value is None
            else replace(record, value=self._translate(record.value))
            for record in records
        ]


def _topic(name: str) -> Topic:
    # All shards are one list: a listing by key finds the same records.
    if name.startswith(TURNS_PREFIX):
        return Topic.TURNS
    return TOPICS[name]


def _respond_json(exchange: Exchange, status: int, document: object) -> None:
    exchange.respond(
        status,
        [(b"Content-Type", b"application/json")],
        # Keys that aren't UTF-8 are written as lone surrogates.
        json.dumps(document).encode(),
    )


def _decode_writes(body: bytes) -> list[KeyedWrite]:
    writes: list[KeyedWrite] = []
    while body:
        (size,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + size], body[4 + size :]
        key_end = 1 + content[0]
        writes.append(
            KeyedWrite(content[1:key_end], content[key_end:] or None)
        )
    return writes


def _encode_record(record: KeyedRecord) -> bytes:
    content = bytes((len(record.key),)) + record.key + (record.value or b"")
    return struct.pack(">I", len(content)) + content
