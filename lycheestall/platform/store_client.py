"""The platform's store over HTTP."""

from __future__ import annotations

import base64
import struct
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import orjson
from twisted.internet.defer import Deferred

from ..entry.connection_pool import ConnectionPool
from ..entry.http_call import CallOutcome, CallResponse, call
from ..entry.http_messages import request_bytes
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
}

MIN_TIMEOUT_S = 0.4
"""Shortest timeout of a store call, beyond what the store was asked to
wait; a silent store is noticed after it."""

MAX_TIMEOUT_S = 0.9
"""Longest timeout of a store call."""

TIMEOUT_FACTOR = 6.0
"""Timeout as a multiple of the smoothed time of an answer."""

SMOOTHING = 0.2
"""Weight of the newest answer in the smoothed time."""

CONNECT_TIMEOUT_S = 0.5
"""Longest time for a connection to the store."""

IDLE_S = 30.0
"""Idle time of a connection to the store."""

_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class HttpStore(Store):
    """Calls the store of one region.

    Args:
        reactor: Opens connections and tells the time.
        host: The store's IP address.
        port: Its TCP port.
    """

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self._reactor = reactor
        self._host = f"{host}:{port}".encode()
        self._pool = ConnectionPool(
            reactor,
            host,
            port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_s=IDLE_S,
        )
        self._answer_s = 0.0

    def append(
        self, topic: Topic, writes: Sequence[KeyedWrite], fence: WriterFence
    ) -> Deferred[AppendOutcome]:
        """Appends records, all or nothing."""
        query = {
            "topic": _TOPIC_NAMES[topic],
            "part": 0,
            "producer": fence.writer,
            "epoch": fence.epoch,
            "sequence": fence.sequence,
        }
        body = b"".join(_frame(write) for write in writes)
        answer = self._call(b"POST", "/api/log-append", query, body)
        return answer.addCallback(_append_outcome)

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        query: dict[str, object] = {
            "topic": _TOPIC_NAMES[topic],
            "part": 0,
            "from": start,
        }
        if wait_s:
            query["wait_ms"] = int(wait_s * 1000)
        answer = self._call(b"GET", "/api/log-read", query, wait_s=wait_s)
        return answer.addCallback(_read_outcome, start)

    def newest(
        self, topic: Topic, *, after: str | None = None
    ) -> Deferred[NewestOutcome]:
        """Reads a page of the newest record of each key."""
        query: dict[str, object] = {"topic": _TOPIC_NAMES[topic], "part": 0}
        if after is not None:
            query["after"] = after
        answer = self._call(b"GET", "/api/log-newest", query)
        return answer.addCallback(_newest_outcome)

    def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        *,
        wait_s: float = 0.0,
    ) -> Deferred[CallOutcome]:
        url = f"{path}?{urlencode(query)}".encode()
        data = request_bytes(method, url, [(b"Host", self._host)], body)
        timeout_s = self._answer_s * TIMEOUT_FACTOR
        timeout_s = min(max(timeout_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
        started = self._reactor.seconds()
        outcome = call(
            self._reactor, self._pool, data, timeout_s=timeout_s + wait_s
        )
        if wait_s:
            return outcome
        return outcome.addCallback(self._timed, started)

    def _timed(self, outcome: CallOutcome, started: float) -> CallOutcome:
        if isinstance(outcome, CallResponse):
            took_s = self._reactor.seconds() - started
            self._answer_s += SMOOTHING * (took_s - self._answer_s)
        return outcome


def _frame(write: KeyedWrite) -> bytes:
    content = bytes((len(write.key),)) + write.key + (write.value or b"")
    return _LENGTH.pack(len(content)) + content


def _append_outcome(outcome: CallOutcome) -> AppendOutcome:
    if not isinstance(outcome, CallResponse):
        if outcome.sent:
            return AppendUnknown(outcome.error)
        return StoreFailed(outcome.error)
    if outcome.status == 200:
        offset = _number(outcome.body, "offset")
        if offset is None:
            return AppendUnknown("unreadable answer")
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
        return HistoryGone(Offset(_number(outcome.body, "first") or 0))
    if outcome.status == 404:
        return Records((), start)
    if outcome.status != 200:
        return StoreFailed(f"status {outcome.status}")
    return _records(outcome.body, start)


def _records(body: bytes, start: Offset) -> ReadOutcome:
    if len(body) < _HEADER.size:
        return StoreFailed("short answer")
    records: list[KeyedRecord] = []
    at = _HEADER.size
    offset = start
    while at + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + size]
        if len(content) < size:
            return StoreFailed("truncated record")
        at += size
        record = _record(offset, content)
        if record is not None:
            records.append(record)
        offset = Offset(offset + 1)
    return Records(tuple(records), offset)


def _record(offset: Offset, content: bytes) -> KeyedRecord | None:
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
        return _newest_page(orjson.loads(outcome.body))
    except (ValueError, KeyError, TypeError) as error:
        return StoreFailed(f"unreadable listing: {error}")


def _newest_page(document: dict[str, Any]) -> NewestPage:
    records: list[KeyedRecord] = []
    last_key: str | None = None
    for item in document["items"]:
        last_key = item["key"]
        value = base64.b64decode(item["value"])
        key = item["key"].encode("utf-8", "surrogateescape")
        records.append(KeyedRecord(Offset(item["offset"]), key, value or None))
    more_after = last_key if document["has_more"] else None
    return NewestPage(tuple(records), more_after, Offset(document["end"]))


def _number(body: bytes, name: str) -> int | None:
    try:
        number = orjson.loads(body)[name]
    except (ValueError, KeyError, TypeError):
        return None
    return number if isinstance(number, int) else None
