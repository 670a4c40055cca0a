"""Limits on callers' requests, and how connections are closed."""

from __future__ import annotations

import pytest

from lycheestall.entry.membership import Member, join_record
from lycheestall.entry.store import Topic
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import ZoneId
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest
from tests.entry.memory_store import Fault

LIMITS = {
    "max_header_bytes": 2000,
    "max_body_bytes": 1000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 2000,
}


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


@pytest.fixture
def limited_harness(harness: EntryVmHarness) -> EntryVmHarness:
    """A VM with low limits and one target."""
    harness.configure(ROUTES, limits=LIMITS)
    harness.add_target("one", serve)
    harness.start()
    return harness


AMBIGUOUS_REQUESTS = [
    "POST /orders/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: r\r\n"
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /orders/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: r\r\n"
    "Content-Length: 4\r\nContent-Length: 6\r\n\r\nabcdef",
    "POST /orders/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: r\r\n"
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST /orders/x HTTP/1.1\r\nHost : crew.example\r\nX-Request-Id: r\r\n"
    "\r\n",
    "GET /maps/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: r\r\n"
    " folded: yes\r\n\r\n",
    "GET /maps/x HTTP/1.1\nHost: crew.example\nX-Request-Id: r\n\n",
    "GET /maps/x HTTP/1.1\r\nHost: crew.example\r\nHost: other.example\r\n"
    "X-Request-Id: r\r\n\r\n",
    "GET http://crew.example/maps/x HTTP/1.1\r\nHost: crew.example\r\n"
    "X-Request-Id: r\r\n\r\n",
    "GET /maps/x HTTP/1.1\r\nHost: crew.example\r\n\r\n",
]


@pytest.mark.parametrize("text", AMBIGUOUS_REQUESTS)
def test_ambiguous_requests_are_not_forwarded(
    limited_harness: EntryVmHarness, text: str
) -> None:
    caller = limited_harness.connect()
    caller.write(text.encode())
    limited_harness.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 400
    targets = limited_harness.reactor.target_by_address.values()
    assert not any(target.requests for target in targets)


def test_a_slow_head_gets_408(limited_harness: EntryVmHarness) -> None:
    caller = limited_harness.connect()
    caller.write(b"GET /maps/x HTTP/1.1\r\nHost: crew")
    limited_harness.reactor.run(0.45)
    assert caller.protocol.data == b""
    limited_harness.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 408
    assert caller.protocol.lost is not None


def test_a_large_head_gets_431(limited_harness: EntryVmHarness) -> None:
    data = limited_harness.send_request(
        "/maps/x", headers=f"X-Long: {'a' * 3000}\r\n"
    )
    assert status_of(data) == 431


def test_a_large_body_gets_413(limited_harness: EntryVmHarness) -> None:
    data = limited_harness.send_request(
        "/orders/x", method="POST", body="a" * 1001
    )
    assert status_of(data) == 413


def test_a_large_chunked_body_gets_413(
    limited_harness: EntryVmHarness,
) -> None:
    caller = limited_harness.connect()
    caller.write(
        b"POST /orders/x HTTP/1.1\r\nHost: crew.example\r\n"
        b"X-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"800\r\n" + b"a" * 2048 + b"\r\n"
    )
    limited_harness.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 413


def test_an_idle_connection_is_closed(limited_harness: EntryVmHarness) -> None:
    caller = limited_harness.connect()
    limited_harness.send_request("/maps/x", caller=caller)
    limited_harness.reactor.run(1.7)
    assert caller.protocol.lost is None
    limited_harness.reactor.run(0.4)
    assert caller.protocol.lost is not None


def test_pipelined_responses_keep_their_order(
    limited_harness: EntryVmHarness,
) -> None:
    caller = limited_harness.connect()
    for number in range(3):
        caller.write(
            b"GET /maps/%d HTTP/1.1\r\nHost: crew.example\r\n"
            b"X-Request-Id: r%d\r\n\r\n" % (number, number)
        )
    limited_harness.reactor.run(0.2)
    data = caller.protocol.data
    positions = [data.index(b"X-Request-Id: r%d" % n) for n in range(3)]
    assert positions == sorted(positions)


def test_a_draining_vm_responds_and_closes_connections(
    limited_harness: EntryVmHarness,
) -> None:
    caller = limited_harness.connect()
    limited_harness.send_request("/maps/x", caller=caller)
    limited_harness.vm.drain(ends_at=60.0)
    assert not limited_harness.vm.ready
    data = limited_harness.send_request(
        "/maps/x", request_id="r2", caller=caller
    )
    assert data.count(b"HTTP/1.1 200") == 2
    assert b"Connection: close" in data
    assert caller.protocol.lost is not None


def test_a_vm_without_the_store_is_not_ready(
    limited_harness: EntryVmHarness,
) -> None:
    for number in (2, 3):
        address = Address(f"10.0.0.{number}", 4)
        member = Member(HolderId(f"vm.{number}"), address, ZoneId("zone-a"))
        limited_harness.log.put(Topic.LEDGER, join_record(member))
    limited_harness.reactor.run(2.0)
    assert limited_harness.vm.ready
    limited_harness.store.fault = Fault.REFUSES
    limited_harness.reactor.run(2.0)
    assert not limited_harness.vm.ready
    limited_harness.store.fault = Fault.NONE
    limited_harness.reactor.run(1.0)
    assert limited_harness.vm.ready
    assert limited_harness.log.by_topic[Topic.LEDGER]
