"""Callers that wait until they are asked for the body of a request."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness
from tests.entry.fake_network import FakeTransport, ReceivedRequest
from tests.responses.conftest import EVENTS, read_responses

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LIMITS = {
    "max_body_bytes": 100,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 1000,
}


def announce(
    caller: FakeTransport, *, version: str = "1.1", length: int = 5
) -> None:
    """Sends the head of an order whose body waits to be asked for."""
    caller.write(
        f"POST /orders/x HTTP/{version}\r\nHost: crew.example\r\n"
        f"X-Request-Id: r2\r\nExpect: 100-continue\r\n"
        f"Content-Length: {length}\r\n\r\n".encode()
    )


def test_a_caller_is_asked_for_a_body(vm: EntryVmHarness) -> None:
    caller = vm.connect()
    announce(caller)
    vm.reactor.run(0.1)
    assert caller.protocol.data == CONTINUE
    caller.write(b"poles")
    vm.reactor.run(0.1)
    (order,) = read_responses(caller.protocol.data, ["POST"])
    assert order.interim == [100]
    assert order.body == b"whole"


# Guards against an interim response inside the answer to an earlier request,
# and before it, where it belongs to that request.
@pytest.mark.parametrize("path", ["/plan/x", "/chat/x", "/maps/x"])
def test_a_caller_is_asked_after_earlier_answers(
    vm: EntryVmHarness, path: str
) -> None:
    caller = vm.connect()
    vm.send_request(path, method="POST", run_s=0, caller=caller)
    announce(caller)
    vm.reactor.run(0.2)
    first, asked = read_responses(caller.protocol.data + b"", ["POST", "POST"])
    assert first.interim == []
    assert first.body == b"whole" or first.body.count(b"data") == EVENTS
    assert (asked.status, asked.interim) == (0, [100])
    caller.write(b"poles")
    vm.reactor.run(0.1)
    _, order = read_responses(caller.protocol.data, ["POST", "POST"])
    assert order.body == b"whole"


# Guards against a 408 for a body that the VM has not asked for yet.
def test_the_time_for_a_body_begins_when_it_is_asked_for() -> None:
    vm = EntryVmHarness()
    vm.configure(ROUTES, limits=LIMITS)
    streams: list[ReceivedRequest] = []
    vm.add_target("engine", streams.append, service="engines")
    vm.start()
    caller = vm.connect()
    vm.send_request("/plan/x", method="POST", run_s=0, caller=caller)
    announce(caller)
    vm.reactor.run(2.0)
    assert caller.protocol.data == b""
    streams[0].start_stream()
    streams[0].send_event(1)
    streams[0].end_stream()
    vm.reactor.run(0.5)
    assert caller.protocol.data.endswith(CONTINUE)
    vm.reactor.run(1.0)
    _, refused = read_responses(
        caller.protocol.data, ["POST", "POST"], closed=True
    )
    assert refused.status == 408


# Guards against asking for a body that is refused, and against an interim
# response to a caller of HTTP/1.0, which knows none.
def test_a_body_that_is_refused_is_not_asked_for() -> None:
    vm = EntryVmHarness()
    vm.configure(ROUTES, limits=LIMITS)
    vm.start()
    caller = vm.connect()
    announce(caller, length=101)
    vm.reactor.run(0.1)
    (refused,) = read_responses(caller.protocol.data, ["POST"], closed=True)
    assert (refused.status, refused.interim) == (413, [])


def test_a_caller_of_http_1_0_is_not_asked(vm: EntryVmHarness) -> None:
    caller = vm.connect()
    announce(caller, version="1.0")
    vm.reactor.run(0.1)
    assert caller.protocol.data == b""
    caller.write(b"poles")
    vm.reactor.run(0.1)
    (order,) = read_responses(caller.protocol.data, ["POST"], closed=True)
    assert order.body == b"whole"
