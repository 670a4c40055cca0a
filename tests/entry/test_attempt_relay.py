"""What a VM does with attempts that peers ask it to send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from lycheestall.entry.attempt_messages import (
    AskLinks,
    AttemptResult,
    LinkReport,
    SendAttempt,
)
from lycheestall.entry.attempt_outcomes import (
    AttemptOutcome,
    Broken,
    PermitExpired,
    Stopped,
    Unreachable,
    WholeAnswer,
)
from lycheestall.entry.attempt_relay import MAX_RELAYED
from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.http_client_connection import BreakReason
from lycheestall.entry.peer_messages import decode, encode
from lycheestall.entry.peer_rpc import PeerEndpoint
from lycheestall.entry.token_ledger import HolderId
from lycheestall.ids import TargetId
from lycheestall.logs import get_logger
from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import (
    FakeTarget,
    FakeTransport,
    ReceivedRequest,
)

ASKING_VM = HolderId("other.1")
ATTEMPT = SendAttempt(
    holder=ASKING_VM,
    request_id=b"r1",
    target=TargetId("app"),
    started_ms=1,
    method=b"POST",
    url=b"/orders/1",
    headers=((b"X-Request-Id", b"r1"), (b"X-Deadline-Ms", b"5000")),
    body=b"poles",
    fingerprint="f",
    is_stream=False,
    may_repeat=False,
    remaining_s=2.0,
    send_within_s=float("inf"),
)

Ask = Callable[[SendAttempt], FakeTransport]


def serve(request: ReceivedRequest) -> None:
    """Responds at once."""
    request.respond(200, b"whole")


def ignore(request: ReceivedRequest) -> None:
    """Never responds."""


@pytest.fixture
def target(harness: EntryVmHarness) -> FakeTarget:
    """A target that the VM reaches."""
    target = harness.add_target("app", serve)
    harness.start()
    return target


@pytest.fixture
def ask(harness: EntryVmHarness) -> Ask:
    """Sends an attempt to the VM's endpoint for peers."""
    endpoint = CallerFactory(
        PeerEndpoint(harness.vm, get_logger()), harness.reactor
    )

    def send(attempt: SendAttempt) -> FakeTransport:
        connection = harness.reactor.open_connection(
            endpoint.buildProtocol(None)
        )
        body = encode(attempt)
        head = b"POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: %d\r\n\r\n"
        connection.write(head % len(body) + body)
        harness.reactor.run(0.05)
        return connection

    return send


def outcome_of(connection: FakeTransport) -> AttemptOutcome:
    """Returns the outcome that a VM has replied with."""
    head, _, body = connection.protocol.data.partition(b"\r\n\r\n")
    assert b"lycheestall-relayed: result" in head
    result = decode(body)
    assert isinstance(result, AttemptResult)
    return result.outcome


def test_an_attempt_is_sent_as_it_was_asked_for(
    target: FakeTarget, ask: Ask
) -> None:
    outcome = outcome_of(ask(ATTEMPT))
    assert isinstance(outcome, WholeAnswer)
    assert outcome.body == b"whole"
    (request,) = target.requests
    assert (request.method, request.url) == (b"POST", b"/orders/1")
    assert request.body == b"poles"


# Guards against a target that works on for longer than the caller waits,
# whatever the clocks of the VMs say.
def test_the_deadline_shrinks_on_the_way(target: FakeTarget, ask: Ask) -> None:
    ask(replace(ATTEMPT, remaining_s=1.0))
    (request,) = target.requests
    assert 900 < int(request.headers[b"x-deadline-ms"]) < 1000


# Guards against sending on a permit that has run out on the way.
def test_nothing_is_sent_after_its_permit(
    target: FakeTarget, ask: Ask
) -> None:
    connection = ask(replace(ATTEMPT, send_within_s=0.0005))
    assert outcome_of(connection) == PermitExpired()
    assert not target.requests


@pytest.mark.parametrize(
    "attempt",
    [
        replace(ATTEMPT, target=TargetId("unknown")),
        replace(ATTEMPT, started_ms=2),
    ],
)
def test_an_attempt_for_another_process_is_not_sent(
    target: FakeTarget, ask: Ask, attempt: SendAttempt
) -> None:
    outcome = outcome_of(ask(attempt))
    assert isinstance(outcome, Unreachable)
    assert not outcome.target_lost
    assert not target.requests


def test_a_vm_that_shuts_down_carries_nothing(
    harness: EntryVmHarness, target: FakeTarget, ask: Ask
) -> None:
    harness.vm.drain(ends_at=60.0)
    assert isinstance(outcome_of(ask(ATTEMPT)), Unreachable)
    report = harness.vm.handle_message(AskLinks(ASKING_VM))
    assert isinstance(report, LinkReport)
    assert not report.accepts
    assert not target.requests


# Guards against a VM that carries so much that its own callers suffer.
def test_a_vm_carries_a_bounded_number_of_attempts(
    harness: EntryVmHarness, target: FakeTarget, ask: Ask
) -> None:
    target.on_request = ignore
    for number in range(MAX_RELAYED):
        ask(replace(ATTEMPT, request_id=b"r%d" % number, remaining_s=60.0))
    assert harness.vm.running == MAX_RELAYED
    assert isinstance(outcome_of(ask(ATTEMPT)), Unreachable)
    assert len(target.requests) == MAX_RELAYED


# Guards against attempts that go round among VMs without links: the peers of
# this VM fail the test if they are asked for anything.
def test_a_vm_without_a_link_passes_nothing_on(
    harness: EntryVmHarness, target: FakeTarget, ask: Ask
) -> None:
    harness.reactor.target_by_address.clear()
    for number in range(3):
        outcome = outcome_of(ask(replace(ATTEMPT, request_id=b"%d" % number)))
        assert isinstance(outcome, Unreachable)
    assert not target.requests


# Guards against targets that work on after the caller has left.
def test_an_attempt_ends_when_the_asking_vm_leaves(
    target: FakeTarget, ask: Ask, harness: EntryVmHarness
) -> None:
    target.on_request = ignore
    connection = ask(ATTEMPT)
    connection.abortConnection()
    harness.reactor.run(0.01)
    assert target.requests[0].disconnected
    assert harness.vm.running == 0


def test_an_attempt_ends_at_its_deadline(
    target: FakeTarget, ask: Ask, harness: EntryVmHarness
) -> None:
    target.on_request = ignore
    connection = ask(replace(ATTEMPT, remaining_s=0.2))
    harness.reactor.run(0.2)
    assert outcome_of(connection) == Stopped(sent=True)
    assert target.requests[0].disconnected


def test_a_reset_answer_is_reported_as_such(
    target: FakeTarget, ask: Ask
) -> None:
    target.on_request = lambda request: request.reset()
    assert outcome_of(ask(ATTEMPT)) == Broken(
        BreakReason.RESET, response_started=False
    )


# Guards against a broken stream that looks complete to the asking VM.
def test_a_broken_stream_is_broken_off(
    target: FakeTarget, ask: Ask, harness: EntryVmHarness
) -> None:
    def break_off(request: ReceivedRequest) -> None:
        request.start_stream()
        request.send_event(1)
        harness.reactor.callLater(0.01, request.reset)

    target.on_request = break_off
    connection = ask(replace(ATTEMPT, is_stream=True))
    data = connection.protocol.data
    assert b"lycheestall-relayed: stream" in data
    assert b"id: 1\n" in data
    assert not data.endswith(b"0\r\n\r\n")
    assert connection.protocol.lost is not None
