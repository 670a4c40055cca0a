"""Targets that answer with a status that no HTTP response has."""

from __future__ import annotations

from typing import Any, cast

import pytest

from lycheestall.entry.attempt_messages import AttemptResult
from lycheestall.entry.attempt_outcomes import (
    AttemptOutcome,
    Broken,
    WholeAnswer,
)
from lycheestall.entry.http_client_connection import BreakReason
from lycheestall.entry.http_messages import ResponseHead
from lycheestall.entry.peer_messages import encode
from lycheestall.entry.relayed_attempt import (
    RELAYED_HEADER,
    RelayedAttempt,
    RelayedKind,
)
from lycheestall.platform.headers import PlatformHeaders
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import ReceivedRequest
from tests.entry.fleet import Fleet

AT_ONCE_S = 0.3
STATUSES = ["000", "099", "0", "20", "600", "999", "2000", "abc", "-01", ""]


@pytest.fixture(params=["direct", "relayed"])
def fleet(request: pytest.FixtureRequest) -> Fleet:
    """VMs of which the first reaches targets itself, or through a peer."""
    fleet = Fleet(vms=3)
    fleet.start()
    if request.param == "relayed":
        fleet.link_by_vm[0].cut(LinkFault.REFUSED)
        fleet.reactor.run(1.0)
    return fleet


def answer(request: ReceivedRequest, status: str) -> None:
    """Sends a sealed response with a status, and keeps the connection."""
    request.send(
        b"HTTP/1.1 "
        + status.encode()
        + b" Odd\r\nX-Request-Id: "
        + request.headers[b"x-request-id"]
        + b"\r\nX-Response-Seal: s\r\nContent-Length: 3\r\n\r\nodd"
    )


def add_faulty(fleet: Fleet, status: str, *, service: str = "app") -> Any:
    """Adds a target that answers all requests with a status."""
    target = fleet.add_target(
        "faulty", lambda request: answer(request, status), service=service
    )
    fleet.reactor.run(1.0)
    return target


# Guards against passing such a status on, and against waiting for the deadline
# when it is known that no answer comes.
@pytest.mark.parametrize("path", ["/orders/x", "/chat/x", "/plan/x"])
@pytest.mark.parametrize("status", STATUSES)
def test_an_invalid_status_is_no_answer(
    fleet: Fleet, status: str, path: str
) -> None:
    service = "app" if path.startswith("/orders") else "engines"
    add_faulty(fleet, status, service=service)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(AT_ONCE_S)
    assert b"odd" not in caller.data
    if path != "/plan/x":
        assert status_of(caller.data) == 502


# Guards against a safe request that waits for its deadline although another
# target could answer it.
@pytest.mark.parametrize("status", STATUSES)
def test_a_safe_request_goes_to_another_target_at_once(
    fleet: Fleet, status: str
) -> None:
    faulty = add_faulty(fleet, status)
    fleet.add_target("sound", lambda request: request.respond(200, b"whole"))
    fleet.reactor.run(1.0)
    for _ in range(12):
        caller = fleet.send("/maps/x", vm=0)
        fleet.reactor.run(AT_ONCE_S)
        assert status_of(caller.data) == 200
        assert caller.data.endswith(b"whole")
    assert faulty.requests


# Guards against an order that runs twice after an answer that is none.
def test_an_order_with_an_invalid_answer_runs_once(fleet: Fleet) -> None:
    one = add_faulty(fleet, "000")
    other = fleet.add_target("other", lambda request: answer(request, "000"))
    fleet.reactor.run(1.0)
    for number in range(8):
        fleet.send("/orders/x", vm=0, request_id=f"order-{number}")
        fleet.reactor.run(AT_ONCE_S)
    assert len(one.requests) + len(other.requests) == 8


# Guards against passing on what a peer of an earlier build took for an answer.
def test_an_invalid_status_of_an_earlier_build_is_no_answer() -> None:
    invalid = ResponseHead(700, (), framed=True, keep_alive=True)
    result = encode(AttemptResult(WholeAnswer(invalid, b"odd")))
    headers = ((RELAYED_HEADER, RelayedKind.RESULT.value),)
    attempt = RelayedAttempt(
        cast("Any", None),
        PlatformHeaders(),
        sink=None,
        on_response=lambda head, metadata: None,
    )
    outcomes: list[AttemptOutcome] = []
    attempt.outcome.addCallback(outcomes.append)
    attempt.response_started(
        ResponseHead(200, headers, framed=True, keep_alive=True)
    )
    attempt.response_body(result)
    attempt.response_ended()
    assert outcomes == [Broken(BreakReason.MALFORMED, response_started=True)]
