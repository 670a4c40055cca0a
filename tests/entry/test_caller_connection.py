"""What callers may send, and how long they may take."""

from __future__ import annotations

import pytest

from lycheestall.entry.members import Member, announcement
from lycheestall.entry.store import Topic
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import ZoneId
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import ServedRequest
from tests.entry.memory_store import Fault

LIMITS = {
    "max_header_bytes": 2000,
    "max_body_bytes": 1000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 2000,
}


def serve(request: ServedRequest) -> None:
    request.answer(200, b"whole")


@pytest.fixture
def limited(world: EntryVmHarness) -> EntryVmHarness:
    """A VM with tight limits and one target."""
    world.configure(ROUTES, limits=LIMITS)
    world.add_target("one", serve)
    world.start()
    return world


SMUGGLED = [
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


@pytest.mark.parametrize("text", SMUGGLED)
def test_ambiguous_requests_reach_no_target(
    limited: EntryVmHarness, text: str
) -> None:
    caller = limited.connect()
    caller.write(text.encode())
    limited.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 400
    targets = limited.reactor.target_by_address.values()
    assert not any(target.requests for target in targets)


def test_a_slow_head_gets_408(limited: EntryVmHarness) -> None:
    caller = limited.connect()
    caller.write(b"GET /maps/x HTTP/1.1\r\nHost: crew")
    limited.reactor.run(0.45)
    assert caller.protocol.data == b""
    limited.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 408
    assert caller.protocol.lost is not None


def test_a_large_head_gets_431(limited: EntryVmHarness) -> None:
    data = limited.ask("/maps/x", headers=f"X-Long: {'a' * 3000}\r\n")
    assert status_of(data) == 431


def test_a_large_body_gets_413(limited: EntryVmHarness) -> None:
    data = limited.ask("/orders/x", method="POST", body="a" * 1001)
    assert status_of(data) == 413


def test_a_large_chunked_body_gets_413(limited: EntryVmHarness) -> None:
    caller = limited.connect()
    caller.write(
        b"POST /orders/x HTTP/1.1\r\nHost: crew.example\r\n"
        b"X-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"800\r\n" + b"a" * 2048 + b"\r\n"
    )
    limited.reactor.run(0.1)
    assert status_of(caller.protocol.data) == 413


def test_an_idle_connection_is_closed(limited: EntryVmHarness) -> None:
    caller = limited.connect()
    limited.ask("/maps/x", caller=caller)
    limited.reactor.run(1.7)
    assert caller.protocol.lost is None
    limited.reactor.run(0.4)
    assert caller.protocol.lost is not None


def test_pipelined_requests_are_answered_in_order(
    limited: EntryVmHarness,
) -> None:
    caller = limited.connect()
    for number in range(3):
        caller.write(
            b"GET /maps/%d HTTP/1.1\r\nHost: crew.example\r\n"
            b"X-Request-Id: r%d\r\n\r\n" % (number, number)
        )
    limited.reactor.run(0.2)
    data = caller.protocol.data
    places = [data.index(b"X-Request-Id: r%d" % n) for n in range(3)]
    assert places == sorted(places)


def test_a_stopping_vm_answers_and_asks_callers_to_leave(
    limited: EntryVmHarness,
) -> None:
    caller = limited.connect()
    limited.ask("/maps/x", caller=caller)
    limited.vm.drain()
    assert not limited.vm.ready
    data = limited.ask("/maps/x", request_id="r2", caller=caller)
    assert data.count(b"HTTP/1.1 200") == 2
    assert b"Connection: close" in data
    assert caller.protocol.lost is not None


def test_a_vm_without_the_store_is_not_ready(limited: EntryVmHarness) -> None:
    for number in (2, 3):
        address = Address(f"10.0.0.{number}", 4)
        member = Member(HolderId(f"vm.{number}"), address, ZoneId("zone-a"))
        limited.log.put(Topic.LEDGER, announcement(member))
    limited.reactor.run(2.0)
    assert limited.vm.ready
    limited.store.fault = Fault.REFUSES
    limited.reactor.run(2.0)
    assert not limited.vm.ready
    limited.store.fault = Fault.NONE
    limited.reactor.run(1.0)
    assert limited.vm.ready
    assert limited.log.by_topic[Topic.LEDGER]
