"""Tests of the platform adapter with a fake platform over loopback TCP."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from twisted.internet.defer import Deferred

from lycheestall.clock import sleep
from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.connection_pool import ConnectionPool
from lycheestall.entry.http_call import CallFailed, CallResponse, call
from lycheestall.entry.http_messages import encode_request
from lycheestall.entry.responses import Exchange, RequestHandler
from lycheestall.entry.store import (
    AppendConflict,
    Appended,
    HistoryGone,
    KeyedWrite,
    NewestPage,
    Records,
    StoreFailed,
    Topic,
    WriterFence,
)
from lycheestall.entry.vm_settings import Address, EntrySettings
from lycheestall.ids import Offset
from lycheestall.platform.settings_file import load_entry_settings
from lycheestall.platform.store_client import HttpStore
from tests.entry.entry_vm_harness import ENGINE, ROUTES
from tests.entry.fake_store_server import FakeStoreServer
from tests.entry.memory_store import MemoryLog

Run = Callable[[Coroutine[Any, Any, Any]], Any]

SETTINGS = """\
node_name=front-1
zone=zone-a
ip=127.0.0.1
listen.front=127.0.0.1:{front_port}
listen.ready=127.0.0.1:{ready_port}
internal_ports={first_internal_port},{last_internal_port}
platform.address=127.0.0.1:{store}
bounds.grace_s=5
heartbeat_ms=1200
unknown.field=ignored
"""


@pytest.fixture
def log() -> MemoryLog:
    """The topics of the fake store."""
    return MemoryLog()


@pytest.fixture
def store_port(log: MemoryLog, reactor: Any) -> Iterator[int]:
    """The port of a fake store server."""
    handler = FakeStoreServer(log, reactor)
    port = reactor.listenTCP(
        0, CallerFactory(handler, reactor), interface="127.0.0.1"
    )
    yield port.getHost().port
    port.stopListening()


def test_the_store_client_implements_the_platforms_protocol(
    reactor: Any, run: Run, store_port: int
) -> None:
    async def work() -> None:
        store = HttpStore(reactor, "127.0.0.1", store_port)
        writes = [KeyedWrite(b"k%d" % n, b"v%d" % n) for n in range(5)]
        fence = WriterFence("w", 1, 1)
        first = await store.append(Topic.LEDGER, writes, fence)
        repeated = await store.append(Topic.LEDGER, writes, fence)
        assert first == repeated == Appended(Offset(0))
        stale = await store.append(
            Topic.LEDGER, writes, WriterFence("w", 0, 2)
        )
        assert isinstance(stale, AppendConflict)
        dropped = await store.append(
            Topic.LEDGER, [KeyedWrite(b"k1", None)], WriterFence("w", 1, 2)
        )
        assert dropped == Appended(Offset(5))
        read = await store.read(Topic.LEDGER, Offset(4))
        assert isinstance(read, Records)
        assert [r.value for r in read.records] == [b"v4", None]
        assert read.end == 6
        assert await store.read(Topic.LEDGER, Offset(6)) == Records(
            (), Offset(6)
        )
        keys: list[bytes] = []
        after: str | None = None
        while True:
            page = await store.newest(Topic.LEDGER, after=after)
            assert isinstance(page, NewestPage)
            keys.extend(r.key for r in page.records)
            after = page.more_after
            if after is None:
                break
        assert keys == [b"k0", b"k2", b"k3", b"k4"]

    run(work())


# Guards against one odd key that makes every listing of its topic fail.
class NestedListing(RequestHandler):
    """A store whose listings are nested too deeply to be decoded."""

    def limits(self) -> CallerLimits:
        """Returns the default limits."""
        return CallerLimits()

    def should_close(self) -> bool:
        """Returns False."""
        return False

    def handle(self, exchange: Exchange) -> None:
        """Handles one call."""
        exchange.respond(200, [], b"[" * 200_000)


# Guards against a listing whose decoding ends what follows the topic.
def test_a_listing_that_cannot_be_decoded_is_a_failed_call(
    reactor: Any, run: Run
) -> None:
    async def work() -> None:
        port = reactor.listenTCP(
            0, CallerFactory(NestedListing(), reactor), interface="127.0.0.1"
        )
        store = HttpStore(reactor, "127.0.0.1", port.getHost().port)
        page = await store.newest(Topic.TARGETS)
        port.stopListening()
        assert isinstance(page, StoreFailed)

    run(work())


def test_a_listing_with_keys_that_are_not_text_can_be_read(
    reactor: Any, run: Run, store_port: int, log: MemoryLog
) -> None:
    keys = [b"a", b"b\0", b"b\xff", b"b\xff\xfe", b"c\r\n", b"d"]

    async def work() -> None:
        log.put(Topic.TARGETS, *[KeyedWrite(key, b"1") for key in keys])
        store = HttpStore(reactor, "127.0.0.1", store_port)
        listed: list[bytes] = []
        after: str | None = None
        while True:
            page = await store.newest(Topic.TARGETS, after=after)
            assert isinstance(page, NewestPage)
            listed.extend(record.key for record in page.records)
            after = page.more_after
            if after is None:
                break
        assert listed == keys

    run(work())


def test_reading_expired_records_is_reported(
    reactor: Any, run: Run, store_port: int, log: MemoryLog
) -> None:
    async def work() -> None:
        log.put(Topic.TARGETS, KeyedWrite(b"a", b"1"))
        log.forget_history(Topic.TARGETS)
        store = HttpStore(reactor, "127.0.0.1", store_port)
        gone = await store.read(Topic.TARGETS, Offset(0))
        assert gone == HistoryGone(Offset(1))

    run(work())


def test_all_problems_of_a_settings_file_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text("node_name=a\nlisten.front=nowhere\nbroken\n")
    problems = load_entry_settings(str(path))
    assert isinstance(problems, list)
    text = "\n".join(str(problem) for problem in problems)
    assert f"{path}:2: listen.front: found 'nowhere'" in text
    assert f"{path}:3" in text
    assert "platform.address" in text


def test_the_command_exits_with_2_on_invalid_settings(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text("node_name=a\n")
    done = subprocess.run(
        [sys.executable, "-m", "lycheestall", "entry", "--settings", path],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert "listen.front" in done.stderr


class _FakeTarget(RequestHandler):
    """A target that seals its responses."""

    def limits(self) -> CallerLimits:
        return CallerLimits()

    def should_close(self) -> bool:
        return False

    def handle(self, exchange: Exchange) -> None:
        names = {n.lower(): v for n, v in exchange.request.headers}
        exchange.respond(
            200,
            [
                (b"X-Request-Id", names[b"x-request-id"]),
                (b"X-Response-Seal", b"seal"),
            ],
            b"whole",
        )


def _free_ports(count: int) -> list[int]:
    """Returns the first ports of free pairs; a VM uses the next one too."""
    free: list[int] = []
    while len(free) < count:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
            free.append(port)
    return free


def test_the_process_serves_requests_and_shuts_down_gracefully(
    reactor: Any, run: Run, store_port: int, log: MemoryLog, tmp_path: Path
) -> None:
    target = reactor.listenTCP(
        0, CallerFactory(_FakeTarget(), reactor), interface="127.0.0.1"
    )
    document = {
        "version": 3,
        "routes": ROUTES,
        "services": [{"name": "app"}, {"name": "engines", "engine": ENGINE}],
    }
    log.put(Topic.CONFIGURATION, KeyedWrite(b"config", orjson.dumps(document)))
    registration = {
        "service": "app",
        "address": f"127.0.0.1:{target.getHost().port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
    log.put(Topic.TARGETS, KeyedWrite(b"one", orjson.dumps(registration)))
    front_port, ready_port, first_internal_port, last_internal_port = (
        _free_ports(4)
    )
    first_internal_port, last_internal_port = (
        min(first_internal_port, last_internal_port),
        max(first_internal_port, last_internal_port),
    )
    path = tmp_path / "node.conf"
    path.write_text(
        SETTINGS.format(
            front_port=front_port,
            ready_port=ready_port,
            first_internal_port=first_internal_port,
            last_internal_port=last_internal_port,
            store=store_port,
        )
    )
    loaded = load_entry_settings(str(path))
    assert isinstance(loaded, EntrySettings)
    assert loaded.store == Address("127.0.0.1", store_port)
    output = (tmp_path / "log").open("w")
    process = subprocess.Popen(
        [sys.executable, "-m", "lycheestall", "entry", "--settings", path],
        stdout=output,
        stderr=output,
    )

    async def wait_until_ready() -> None:
        pool = _pool(reactor, ready_port)
        for _ in range(200):
            response = await _get(reactor, pool, b"/api/ready")
            if isinstance(response, CallResponse) and response.status == 200:
                return
            await sleep(reactor, 0.05)
        raise AssertionError("not ready")

    async def serve_and_stop() -> None:
        await wait_until_ready()
        pool = _pool(reactor, front_port)
        response = await _get(reactor, pool, b"/maps/x")
        assert response == CallResponse(200, b"whole")
        metrics = await _get(
            reactor, _pool(reactor, first_internal_port), b"/metrics"
        )
        assert isinstance(metrics, CallResponse)
        assert b"lycheestall_requests_total" in metrics.body
        os.kill(process.pid, signal.SIGHUP)
        await sleep(reactor, 0.2)
        os.kill(process.pid, signal.SIGTERM)
        await sleep(reactor, 0.3)
        assert await _get(reactor, pool, b"/maps/x") == CallResponse(
            200, b"whole"
        )
        state = await _get(reactor, _pool(reactor, ready_port), b"/api/ready")
        assert isinstance(state, CallResponse)
        assert state.status == 503
        for _ in range(120):
            if process.poll() is not None:
                break
            await sleep(reactor, 0.05)
        assert process.poll() == 0

    try:
        run(serve_and_stop())
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        output.close()
        target.stopListening()
    lines = [
        orjson.loads(line)
        for line in (tmp_path / "log").read_text().splitlines()
    ]
    events = [line["event"] for line in lines]
    for event in (
        "started",
        "request ended",
        "settings reread",
        "stopping",
        "stopped",
    ):
        assert event in events
    assert any(key.startswith(b"m") for key in _ledger_keys(log))


def _ledger_keys(log: MemoryLog) -> list[bytes]:
    return [record.key for record in log.by_topic[Topic.LEDGER]]


def _pool(reactor: Any, port: int) -> ConnectionPool:
    return ConnectionPool(reactor, "127.0.0.1", port, connect_timeout_s=1.0)


def _get(
    reactor: Any, pool: ConnectionPool, url: bytes
) -> Deferred[CallResponse | CallFailed]:
    headers = [(b"Host", b"crew.example"), (b"X-Request-Id", b"r1")]
    data = encode_request(b"GET", url, headers, b"")
    return call(reactor, pool, data, timeout_s=2.0)
