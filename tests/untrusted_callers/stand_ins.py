"""The store's content and the target of the tests with untrusted callers."""

from __future__ import annotations

from typing import Any

import orjson

from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.responses import Exchange, RequestHandler
from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import ENGINE, ROUTES
from tests.entry.memory_store import MemoryLog

HELD_PATH = "/orders/held"
"""The target never answers requests to this path."""

LARGE_PATH = "/maps/large"
"""The target answers requests to this path with a large body."""

STREAM_PATH = "/plan/long"
"""The target answers requests to this path with a long stream."""

LARGE_BYTES = 1_000_000
STREAM_EVENTS = 400
EVENT_BYTES = 20_000
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}


class Target(RequestHandler):
    """Answers requests as their paths say."""

    def limits(self) -> CallerLimits:
        """Returns limits above those of the VM."""
        return CallerLimits(header_bytes=65_536, body_bytes=8_388_608)

    def should_close(self) -> bool:
        """Returns False."""
        return False

    def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        by_name = {n.lower(): v for n, v in exchange.request.headers}
        headers = [
            (b"X-Request-Id", by_name[b"x-request-id"]),
            (b"X-Response-Seal", b"seal"),
        ]
        path = exchange.request.path
        if path == HELD_PATH:
            return
        if path == LARGE_PATH:
            exchange.respond(200, headers, b"a" * LARGE_BYTES)
            return
        if path != STREAM_PATH:
            exchange.respond(200, headers, b"whole")
            return
        headers.append((b"Content-Type", b"text/event-stream"))
        exchange.start(200, headers)
        for number in range(1, STREAM_EVENTS + 1):
            data = b"a" * EVENT_BYTES
            exchange.write(b"id: %d\ndata: %s\n\n" % (number, data))
        exchange.finish()


def fill_store(log: MemoryLog, target_port: int) -> None:
    """Writes the configuration and the target's registrations."""
    document: dict[str, Any] = {
        "version": 3,
        "routes": ROUTES,
        "services": [{"name": "app"}, {"name": "engines", "engine": ENGINE}],
        "limits": LIMITS,
    }
    log.put(Topic.CONFIGURATION, KeyedWrite(b"config", orjson.dumps(document)))
    for service in ("app", "engines"):
        register_target(log, service, service, target_port)


def register_target(
    log: MemoryLog, name: str, service: str, port: int
) -> None:
    """Writes a target's registration."""
    registration = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 1000,
        "state": "ready",
        "born": 1,
    }
    write = KeyedWrite(name.encode(), orjson.dumps(registration))
    log.put(Topic.TARGETS, write)
