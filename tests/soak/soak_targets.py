"""Targets of the soak test, which count the requests that they run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

import orjson

from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.configuration import CallerLimits
from lycheestall.entry.http_messages import Header, Request
from lycheestall.entry.responses import Exchange, RequestHandler
from lycheestall.entry.store import KeyedWrite
from tests.soak.loopback_proxy import LoopbackProxy

EVENTS = 5
TOKENS_PER_EVENT = 10
EVENT_INTERVAL_S = 0.03
"""Seconds between two events of a stream."""

NOT_EXECUTED = (b"X-Not-Executed", b"1")

ENDLESS_PIECE = b"x" * 65_536
ENDLESS_INTERVAL_S = 0.005
"""Seconds between two pieces of a body without end."""


class TargetFault(Enum):
    """What a target in trouble does with the requests that it has run.

    Attributes:
        LOSES_ANSWERS: It resets the connection.
        INVALID_STATUS: It answers with a status that is none.
        ENDLESS_BODY: It sends a body without end.
    """

    LOSES_ANSWERS = "loses answers"
    INVALID_STATUS = "invalid status"
    ENDLESS_BODY = "endless body"


class SoakTarget(RequestHandler):
    """An application or engine behind a proxy.

    Args:
        name: Its ID.
        service: Its service.
        reactor: Listens and times answers.
        run_counts: Number of runs by request ID, over all targets.
        received: Bodies by request ID, over all targets.
        software_version: Version of its software, named in its events.
        limit_per_s: The limit that it names in its responses; None for none.
        events: Number of events of each stream.
        event_interval_s: Seconds between two events of a stream.
        on_run: Called with each request that is run.

    Attributes:
        received_at: When it received its requests.
        fault: What is wrong with it; None if nothing is.
        full_for_new: Whether it refuses requests that resume no stream.
        registered: Whether it has an entry in the store.
    """

    def __init__(
        self,
        name: str,
        service: str,
        reactor: Any,
        run_counts: Counter[str],
        received: dict[str, bytes],
        *,
        software_version: str,
        limit_per_s: float | None = None,
        events: int = EVENTS,
        event_interval_s: float = EVENT_INTERVAL_S,
        on_run: Callable[[Request], None] = lambda _: None,
    ) -> None:
        self._on_run = on_run
        self.name = name
        self.service = service
        self.software_version = software_version
        self._reactor = reactor
        self._run_counts = run_counts
        self._received = received
        self._events = events
        self._event_interval_s = event_interval_s
        self.limit_per_s = limit_per_s
        self.fault: TargetFault | None = None
        self.full_for_new = False
        self.registered = True
        self.received_at: list[float] = []
        factory = CallerFactory(self, reactor)
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.proxy = LoopbackProxy(reactor, self._port.getHost().port)

    def registration(self) -> KeyedWrite:
        """Returns its entry in the store."""
        document = {
            "service": self.service,
            "address": f"127.0.0.1:{self.proxy.port}",
            "zone": "zone-a",
            "version": self.software_version,
            "slots": 8,
            "state": "ready",
            "born": 1,
        }
        return KeyedWrite(self.name.encode(), orjson.dumps(document))

    def limits(self) -> CallerLimits:
        """Returns the default limits."""
        return CallerLimits()

    def should_close(self) -> bool:
        """Returns False."""
        return False

    def handle(self, exchange: Exchange) -> None:
        """Runs a request."""
        headers = {n.lower(): v for n, v in exchange.request.headers}
        request_id = headers[b"x-request-id"]
        self.received_at.append(self._reactor.seconds())
        if self.full_for_new and b"last-event-id" not in headers:
            refusal = [(b"X-Request-Id", request_id), NOT_EXECUTED]
            exchange.respond(503, refusal, b"full\n")
            return
        self._run_counts[request_id.decode()] += 1
        self._on_run(exchange.request)
        self._received[request_id.decode()] = exchange.request.body
        common_headers = [
            (b"X-Request-Id", request_id),
            (b"X-Response-Seal", b"seal"),
        ]
        if self.limit_per_s is not None:
            limit = b"%.1f" % self.limit_per_s
            common_headers.append((b"Server-Limit", limit))
        if self.fault is not None:
            self._answer_faultily(exchange, common_headers)
            return
        if self.service == "app":
            self._reactor.callLater(
                0.02, exchange.respond, 200, common_headers, request_id * 20
            )
            return
        exchange.start(
            200, [*common_headers, (b"Content-Type", b"text/event-stream")]
        )
        first = int(headers.get(b"last-event-id", b"0")) + 1
        self._send_event(exchange, request_id, first)

    def _answer_faultily(
        self, exchange: Exchange, headers: list[Header]
    ) -> None:
        if self.fault is TargetFault.LOSES_ANSWERS:
            exchange.abort()
        elif self.fault is TargetFault.INVALID_STATUS:
            exchange.respond(0, headers, b"invalid")
        else:
            exchange.start(200, headers)
            self._send_endlessly(exchange)

    def _send_endlessly(self, exchange: Exchange) -> None:
        if exchange.ended:
            return
        if self.fault is None:
            exchange.abort()
            return
        exchange.write(ENDLESS_PIECE)
        self._reactor.callLater(
            ENDLESS_INTERVAL_S, self._send_endlessly, exchange
        )

    def stop(self) -> None:
        """Stops listening."""
        self.proxy.stop()
        self._port.stopListening()

    def _send_event(
        self, exchange: Exchange, request_id: bytes, number: int
    ) -> None:
        if number > self._events:
            exchange.finish()
            return
        version = self.software_version.encode()
        exchange.write(
            b"id: %d\nevent: %s\ndata: %s\n\n" % (number, version, request_id)
        )
        self._reactor.callLater(
            self._event_interval_s,
            self._send_event,
            exchange,
            request_id,
            number + 1,
        )
