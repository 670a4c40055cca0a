"""Requests that come while a VM shuts down, and those still in progress."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest, RecordingCaller

GRACE_S = 7.0
"""Seconds from the signal until requests in progress are cut off."""

EACH_S = 0.3
EARLY_S = 3.0
"""Seconds after the signal up to which a request may be cut off whose target
still works on it near the end."""

SLOW_ROUTE = {
    "name": "slow",
    "host": "crew.example",
    "path_prefix": "/slow/",
    "kind": "unsafe",
    "timeout_ms": 6000,
    "service": "app",
    "max_attempts": 1,
}
KNOWN = 30
"""Requests that are served before the signal, so that their time is known."""


@dataclass
class Order:
    """A request and what became of it.

    Attributes:
        sent_s: Seconds after the signal at which it was sent.
        caller: Its caller's connection.
    """

    sent_s: float
    caller: RecordingCaller


@dataclass
class SlowTarget:
    """Answers requests after some time.

    Attributes:
        received: IDs of the requests that it has run.
    """

    harness: EntryVmHarness
    work_s: float
    received: set[str] = field(default_factory=set)

    def respond(self, request: ReceivedRequest) -> None:
        """Handles a request."""
        request_id = request.headers[b"x-request-id"].decode()
        self.received.add(request_id)
        self.harness.reactor.callLater(self.work_s, self._answer, request)

    def _answer(self, request: ReceivedRequest) -> None:
        if not request.disconnected:
            request.respond(200, b"whole")


def stop(
    harness: EntryVmHarness, *, path: str, kept: bool
) -> dict[str, Order]:
    """Sends requests at an even rate from the signal until the VM's end."""
    reactor = harness.reactor
    stopped_at = reactor.seconds()
    connections = [harness.connect() for _ in range(40)]
    harness.vm.drain(ends_at=stopped_at + GRACE_S)
    orders: dict[str, Order] = {}
    while reactor.seconds() - stopped_at < GRACE_S - EACH_S:
        number = len(orders)
        request_id = f"late-{number}"
        caller = connections.pop() if kept else harness.connect()
        harness.send_request(
            path,
            method="POST",
            request_id=request_id,
            run_s=0.0,
            caller=caller,
        )
        sent_s = reactor.seconds() - stopped_at
        orders[request_id] = Order(sent_s, caller.protocol)
        reactor.run(EACH_S)
    reactor.run(max(0.0, stopped_at + GRACE_S - reactor.seconds()))
    harness.vm.end_requests()
    reactor.run(0.1)
    return orders


# Guards against passing on, late in the grace period, orders that the end of
# the process cuts off; with times that are known and times that are not.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("work_s", [0.1, 0.3, 1.0, 3.0, 4.5, 5.5])
def test_late_orders_are_answered_or_refused_as_not_run(
    harness: EntryVmHarness, work_s: float, known: bool, kept: bool
) -> None:
    target = SlowTarget(harness, work_s)
    harness.configure([*ROUTES, SLOW_ROUTE])
    harness.add_target("one", target.respond, slots=100)
    harness.start()
    for number in range(KNOWN if known else 0):
        harness.send_request(
            "/slow/x", method="POST", request_id=f"r{number}", run_s=0.0
        )
    harness.reactor.run(work_s + 0.5)
    target.received.clear()
    orders = stop(harness, path="/slow/x", kept=kept)
    for request_id, order in orders.items():
        status = status_of(order.caller.data)
        if request_id not in target.received:
            assert status == 503
            assert b"Retry-After" in order.caller.data
            continue
        assert status == 200 or order.sent_s <= EARLY_S
    served = sum(status_of(o.caller.data) == 200 for o in orders.values())
    if known and work_s <= 1.0:
        assert served >= len(orders) / 2


# Guards against requests that are cut off at the end without a response.
def test_requests_in_progress_at_the_end_get_a_response(
    harness: EntryVmHarness,
) -> None:
    target = SlowTarget(harness, 30.0)
    harness.configure([*ROUTES, SLOW_ROUTE])
    harness.add_target("one", target.respond, slots=100)
    harness.start()
    callers = [harness.connect() for _ in range(4)]
    for number, caller in enumerate(callers):
        harness.send_request(
            "/slow/x", method="POST", request_id=f"r{number}", caller=caller
        )
    assert harness.vm.running == 4
    harness.vm.drain(ends_at=harness.reactor.seconds() + 0.5)
    harness.reactor.run(0.5)
    assert harness.vm.end_requests() == 4
    harness.reactor.run(0.1)
    assert harness.vm.running == 0
    for caller in callers:
        assert status_of(caller.protocol.data) == 502
