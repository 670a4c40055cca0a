"""Requests of the soak's callers, and the configuration that serves them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import orjson

from lycheestall.entry.connection_pool import ConnectionPool
from lycheestall.entry.http_messages import Header, encode_request
from lycheestall.entry.store import KeyedWrite
from tests.entry.entry_vm_harness import ENGINE, ROUTES
from tests.soak.soak_vm import ReceivedAnswer

CONNECT_TIMEOUT_S = 1.0
PATIENCE_S = 4.0
"""Seconds after which a caller abandons a request."""


def configuration(
    version: int, tenants: Sequence[dict[str, Any]] = ()
) -> KeyedWrite:
    """Returns a configuration's entry in the store.

    Args:
        version: Its version.
        tenants: Its accounts, if any.
    """
    document = {
        "version": version,
        "routes": ROUTES,
        "services": [
            {"name": "app"},
            {"name": "engines", "engine": ENGINE},
        ],
    }
    if tenants:
        document["tenants"] = tenants
    return KeyedWrite(b"config", orjson.dumps(document))


async def send_request(
    reactor: Any,
    port: int,
    request: str,
    url: bytes,
    headers: Sequence[Header],
    *,
    body: bytes = b"{}",
    patience_s: float = PATIENCE_S,
) -> tuple[ReceivedAnswer, bool]:
    """Sends a request on a new connection.

    Args:
        reactor: Connects and times the request.
        port: Port of the VM.
        request: ID of the request.
        url: Its path.
        headers: Its headers, besides those that each request has.
        body: Its body.
        patience_s: Seconds after which the caller abandons it.

    Returns:
        What was received, and whether it is complete.

    Raises:
        ConnectError: The connection was not established.
    """
    pool = ConnectionPool(
        reactor, "127.0.0.1", port, connect_timeout_s=CONNECT_TIMEOUT_S
    )
    connection = await pool.acquire()
    received = ReceivedAnswer()
    own = [(b"Host", b"crew.example"), (b"X-Request-Id", request.encode())]
    connection.send(
        encode_request(b"POST", url, [*own, *headers], body), received
    )
    timer = reactor.callLater(patience_s, received.end, whole=False)
    whole = await received.done
    if timer.active():
        timer.cancel()
    connection.abort()
    return received, whole
