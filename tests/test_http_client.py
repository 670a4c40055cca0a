"""Tests of ``may_send``, which the HTTP client calls before sending."""

from __future__ import annotations

from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import (
    MemoryReactorClock,
    StringTransportWithDisconnection,
)
from twisted.web.client import HTTPConnectionPool

from lycheestall._http_client import HttpClient, NotSent


def sent_bytes(may_send: bool) -> tuple[bytes, list[object], bool]:
    """Sends a POST request.

    Returns:
        The bytes written, the results and whether the connection was
        dropped.
    """
    reactor = MemoryReactorClock()
    pool = HTTPConnectionPool(reactor, persistent=False)
    client = HttpClient(reactor, pool)
    results: list[object] = []
    done = ensureDeferred(
        client.open(
            "POST",
            "http://127.0.0.1:8000/orders",
            body=b'{"poles":3}',
            new_connection=True,
            may_send=lambda: may_send,
        )
    )
    done.addBoth(results.append)
    factory = reactor.tcpClients[0][2]
    protocol = factory.buildProtocol(None)
    transport = StringTransportWithDisconnection()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return transport.value(), results, not transport.connected


def test_allowed_request_is_sent_whole() -> None:
    written, results, aborted = sent_bytes(may_send=True)
    assert written.endswith(b'\r\n\r\n{"poles":3}')
    assert results == []
    assert not aborted


def test_stopped_request_sends_no_body_and_drops_the_connection() -> None:
    written, results, aborted = sent_bytes(may_send=False)
    assert b"poles" not in written
    assert results == [NotSent("stopped right before sending")]
    assert aborted
