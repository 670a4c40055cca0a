"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import orjson
from twisted.internet.defer import Deferred

from ..entry.connection_pool import ConnectionPool
from ..entry.http_call import CallOutcome, CallResponse, call
from ..entry.http_messages import encode_request
from ..entry.store import (
    AppendConflict,
    Appended,
    AppendOutcome,
    AppendUnknown,
    HistoryGone,
    KeyedRecord,
    KeyedWrite,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    Records,
    Store,
    StoreFailed,
    Topic,
    WriterFence,
)
from ..ids import Offset

__all__ = ["HttpStore"]

_TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.LEDGER: "keyed.lycheestall",
    Topic.TURNS: "keyed.lycheestall-turns",
    Topic.VERSIONS: "keyed.lycheestall-versions",
    # Only topics whose names begin with "keyed." are compacted.
    Topic.ORIGINS: "lycheestall-origins",
}

TURN_TOPICS = 4
"""Topics of the platform that hold the turns. A listing returns whole parts
of a topic, so more topics make the search for one turn cheaper."""

MIN_TIMEOUT_S = 0.4
"""Lower limit on the timeout of a store call, not counting the long-poll
wait; an unresponsive store is detected after it."""

MAX_TIMEOUT_S = 0.9
"""Upper limit on the timeout of a store call, not counting the long-poll
wait."""

TIMEOUT_FACTOR = 6.0
"""Timeout as a multiple of the smoothed latency."""

SMOOTHING = 0.2
"""Weight of the newest response in the smoothed latency."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection to the store."""

IDLE_S = 30.0
"""Idle time after which a connection to the store is not reused."""

_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class HttpStore(Store):
    """A client of the store of one region.

    Args:
        reactor: Opens connections and provides the time.
        host: IP address of the store.
        port: TCP port of the store.
        partitions: Number of partitions of each topic.
    """

    def __init__(
        self, reactor: Any, host: str, port: int, *, partitions: int = 1
    ) -> None:
        self._reactor = reactor
        self._partitions = partitions
        self._host = f"{host}:{port}".encode()
        self._pool = ConnectionPool(
            reactor,
            host,
            port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_s=IDLE_S,
        )
        self._smoothed_latency_s = 0.0

    @property
    def turn_shards(self) -> int:
        """Number of shards of the topic of turns."""
        return TURN_TOPICS * self._partitions

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[AppendOutcome]:
        """Appends records atomically."""
        query = self._place(topic, shard)
        if fence is not None:
            query["producer"] = fence.writer
            query["epoch"] = fence.epoch
            query["sequence"] = fence.sequence
        body = b"".join(_encode_write(write) for write in writes)
        outcome = self._call(b"POST", "/api/log-append", query, body)
        return outcome.addCallback(_append_outcome)

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        query = self._place(topic, 0)
        query["from"] = start
        if wait_s:
            query["wait_ms"] = int(wait_s * 1000)
        outcome = self._call(b"GET", "/api/log-read", query, wait_s=wait_s)
        return outcome.addCallback(_read_outcome, start)

    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[NewestOutcome]:
        """Lists the newest record of each key, one page per call."""
        query = self._place(topic, shard)
        if after is not None:
            query["after"] = after
        outcome = self._call(b"GET", "/api/log-newest", query)
        return outcome.addCallback(_newest_outcome)

    def _place(self, topic: Topic, shard: int) -> dict[str, object]:
        name = _TOPIC_NAMES[topic]
        if topic is not Topic.TURNS:
            return {"topic": name, "part": 0}
        number, partition = divmod(shard, self._partitions)
        return {"topic": f"{name}-{number}", "part": partition}

    def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        *,
        wait_s: float = 0.0,
    ) -> Deferred[CallOutcome]:
        parameters = urlencode(query, errors="surrogateescape")
        url = f"{path}?{parameters}".encode()
        data = encode_request(method, url, [(b"Host", self._host)], body)
        timeout_s = self._smoothed_latency_s * TIMEOUT_FACTOR
        timeout_s = min(max(timeout_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
        started_at = self._reactor.seconds()
        outcome = call(
            self._reactor, self._pool, data, timeout_s=timeout_s + wait_s
        )
        if wait_s:
            return outcome
        return outcome.addCallback(self._update_latency, started_at)

    def _update_latency(
        self, outcome: CallOutcome, started_at: float
    ) -> CallOutcome:
        if isinstance(outcome, CallResponse):
            took_s = self._reactor.seconds() - started_at
            self._smoothed_latency_s += SMOOTHING * (
                took_s - self._smoothed_latency_s
            )
        return outcome


def _encode_write(write: KeyedWrite) -> bytes:
    content = bytes((len(write.key),)) + write.key + (write.value or b"")
    return _LENGTH.pack(len(content)) + content


def _append_outcome(outcome: CallOutcome) -> AppendOutcome:
    if not isinstance(outcome, CallResponse):
        if outcome.sent:
            return AppendUnknown(outcome.error)
        return StoreFailed(outcome.error)
    if outcome.status == 200:
        offset = _integer_field(outcome.body, "offset")
        if offset is None:
            return AppendUnknown("response has no valid offset")
        return Appended(Offset(offset))
    if outcome.status in (409, 412):
        return AppendConflict(outcome.body[:200].decode("utf-8", "replace"))
    if outcome.status in (429, 503, 507):
        return StoreFailed(f"status {outcome.status}")
    return AppendUnknown(f"status {outcome.status}")


def _read_outcome(outcome: CallOutcome, start: Offset) -> ReadOutcome:
    if not isinstance(outcome, CallResponse):
        return StoreFailed(outcome.error)
    if outcome.status == 410:
        return HistoryGone(Offset(_integer_field(outcome.body, "first") or 0))
    if outcome.status == 404:
        return Records((), start)
    if outcome.status != 200:
        return StoreFailed(f"status {outcome.status}")
    return _decode_records(outcome.body, start)


def _decode_records(body: bytes, start: Offset) -> ReadOutcome:
    if len(body) < _HEADER.size:
        return StoreFailed("response is shorter than its header")
    records: list[KeyedRecord] = []
    position = _HEADER.size
    offset = start
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            return StoreFailed("response ends within a record")
        position += size
        record = _decode_record(offset, content)
        if record is not None:
            records.append(record)
        offset = Offset(offset + 1)
    return Records(tuple(records), offset)


def _decode_record(offset: Offset, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]]
    value = content[1 + content[0] :]
    return KeyedRecord(offset, key, value or None)


def _newest_outcome(outcome: CallOutcome) -> NewestOutcome:
    if not isinstance(outcome, CallResponse):
        return StoreFailed(outcome.error)
    if outcome.status == 404:
        return NewestPage((), None, Offset(0))
    if outcome.status != 200:
        return StoreFailed(f"status {outcome.status}")
    try:
        return _decode_page(_decode_listing(outcome.body))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return StoreFailed(f"invalid listing: {error}")


def _decode_listing(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except ValueError:
        # A key that isn't UTF-8 may come as lone surrogates or as its bytes,
        # which only this decoder takes.
        return json.loads(body.decode("utf-8", "surrogateescape"))


def _decode_page(document: dict[str, Any]) -> NewestPage:
    records: list[KeyedRecord] = []
    last_key: str | None = None
    for item in document["items"]:
        last_key = item["key"]
        value = base64.b64decode(item["value"])
        key = item["key"].encode("utf-8", "surrogateescape")
        records.append(KeyedRecord(Offset(item["offset"]), key, value or None))
    more_after = last_key if document["has_more"] else None
    return NewestPage(tuple(records), more_after, Offset(document["end"]))


def _integer_field(body: bytes, name: str) -> int | None:
    try:
        number = orjson.loads(body)[name]
    except (ValueError, KeyError, TypeError):
        return None
    return number if isinstance(number, int) else None
