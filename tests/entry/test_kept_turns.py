"""Turns of conversations that the VM keeps, from request to response."""

from __future__ import annotations

import pytest

from lycheestall.entry.store import Topic
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import (
    FakeTarget,
    FakeTransport,
    ReceivedRequest,
)
from tests.entry.memory_store import Fault

EVENTS = 3


def send_piece(request: ReceivedRequest, number: int) -> None:
    data = b"id: %d\ndata: piece %d\n\n" % (number, number)
    request.send(b"%x\r\n%s\r\n" % (len(data), data))


def answer_whole(request: ReceivedRequest) -> None:
    request.start_stream()
    first = int(request.headers.get(b"last-event-id", b"0")) + 1
    for number in range(first, EVENTS + 1):
        send_piece(request, number)
    request.end_stream()


@pytest.fixture
def engine(harness: EntryVmHarness) -> FakeTarget:
    """The only engine of a VM that has started."""
    target = harness.add_target("engine", answer_whole, service="engines")
    harness.start()
    return target


def ask(
    harness: EntryVmHarness,
    request_id: str,
    body: str,
    *,
    previous: str | None = None,
    path: str = "/chat/x",
    headers: str = "",
    run_s: float = 0.3,
) -> bytes:
    if previous is not None:
        headers += f"X-Previous-Turn: {previous}\r\n"
    return harness.send_request(
        path,
        method="POST",
        body=body,
        headers="X-Program-Id: p1\r\n" + headers,
        request_id=request_id,
        run_s=run_s,
    )


ANSWER = b"piece 1\npiece 2\npiece 3\n"


def begin_turn(
    harness: EntryVmHarness, *, run_s: float = 0.1
) -> FakeTransport:
    """Sends a first turn and returns its caller, which stays connected."""
    caller = harness.connect()
    harness.send_request(
        "/chat/x",
        method="POST",
        body="one;",
        request_id="t1",
        caller=caller,
        run_s=run_s,
    )
    return caller


def test_a_turn_is_run_with_the_whole_conversation(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    ask(harness, "t1", "one;")
    ask(harness, "t2", "two;", previous="t1")
    data = ask(harness, "t3", "three;", previous="t2")
    assert status_of(data) == 200
    assert data.endswith(b"0\r\n\r\n")
    bodies = [request.body for request in engine.requests]
    assert bodies == [
        b"one;",
        b"one;" + ANSWER + b"two;",
        b"one;" + ANSWER + b"two;" + ANSWER + b"three;",
    ]
    assert engine.requests[2].headers[b"x-previous-turn"] == b"t2"


def test_a_turn_on_another_route_is_forwarded_as_it_is(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    ask(harness, "t1", "one;", previous="t0", path="/plan/x")
    assert engine.requests[0].body == b"one;"


def test_only_the_values_of_data_fields_are_kept(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    def answer(request: ReceivedRequest) -> None:
        request.start_stream()
        event = b"x-weights-version: 3\nid: 1\ndata:a\ndata:  b\n\n"
        request.send(b"%x\r\n%s\r\n" % (len(event), event))
        request.end_stream()

    engine.on_request = answer
    ask(harness, "t1", "one;")
    ask(harness, "t2", "two;", previous="t1")
    assert engine.requests[1].body == b"one;a\n b\ntwo;"


def test_a_stream_in_pieces_is_kept_whole(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    def answer(request: ReceivedRequest) -> None:
        request.start_stream()
        for byte in b"id: 1\ndata: piece 1\n\n":
            request.send(b"1\r\n%c\r\n" % byte)
        request.end_stream()

    engine.on_request = answer
    ask(harness, "t1", "one;")
    ask(harness, "t2", "two;", previous="t1")
    assert engine.requests[1].body == b"one;piece 1\ntwo;"


def test_a_resumed_stream_is_kept_whole(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    def break_once(request: ReceivedRequest) -> None:
        if b"last-event-id" in request.headers:
            answer_whole(request)
            return
        request.start_stream()
        send_piece(request, 1)
        request.send(b"9\r\nid: 2\ndat\r\n")
        request.reset()

    engine.on_request = break_once
    ask(harness, "t1", "one;", path="/resumed-chat/x")
    engine.on_request = answer_whole
    ask(harness, "t2", "two;", previous="t1", path="/resumed-chat/x")
    assert engine.requests[-1].body == b"one;" + ANSWER + b"two;"


def test_a_caller_that_resumes_gets_the_rest_of_a_turn_kept_whole(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    def stall(request: ReceivedRequest) -> None:
        request.start_stream()
        send_piece(request, 1)
        send_piece(request, 2)

    engine.on_request = stall
    ask(harness, "t0", "one;", path="/resumed-chat/x")
    engine.on_request = answer_whole
    data = ask(
        harness,
        "t1",
        "one;",
        path="/resumed-chat/x",
        headers="Last-Event-Id: 2\r\nResumes: t0\r\n",
    )
    assert b"piece 2" not in data
    assert b"piece 3" in data
    ask(harness, "t2", "two;", previous="t1", path="/resumed-chat/x")
    assert engine.requests[-1].body == b"one;" + ANSWER + b"two;"


def test_a_broken_stream_is_no_turn(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    def break_off(request: ReceivedRequest) -> None:
        request.start_stream()
        send_piece(request, 1)
        request.reset()

    engine.on_request = break_off
    data = ask(harness, "t1", "one;")
    assert not data.endswith(b"0\r\n\r\n")
    data = ask(harness, "t2", "two;", previous="t1")
    assert status_of(data) == 404
    assert len(engine.requests) == 1


def test_an_unknown_previous_turn_is_refused_and_not_run(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    assert status_of(ask(harness, "t1", "one;", previous="t0")) == 404
    harness.store.fault = Fault.REFUSES
    data = ask(harness, "t2", "two;", previous="t0")
    assert status_of(data) == 503
    assert b"Retry-After" in data
    assert not engine.requests


@pytest.mark.parametrize("previous", ["", "x" * 300])
def test_a_malformed_previous_turn_is_refused(
    harness: EntryVmHarness, engine: FakeTarget, previous: str
) -> None:
    assert status_of(ask(harness, "t1", "one;", previous=previous)) == 400
    assert not engine.requests


def test_a_conversation_over_the_body_limit_is_refused(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    harness.configure(ROUTES, limits={"max_body_bytes": 100})
    harness.reactor.run(2.5)
    assert status_of(ask(harness, "t1", "x" * 60)) == 200
    assert status_of(ask(harness, "t2", "y" * 60, previous="t1")) == 413
    assert len(engine.requests) == 1


def test_a_turn_too_large_for_a_record_is_refused(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    assert status_of(ask(harness, "t1", "x" * 250_000)) == 413
    assert not engine.requests


def test_a_response_ends_only_once_its_turn_is_recorded(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    harness.store.held_appends = []
    caller = begin_turn(harness)
    assert b"piece 3" in caller.protocol.data
    assert not caller.protocol.data.endswith(b"0\r\n\r\n")
    harness.store.release_held_appends()
    harness.reactor.run(0.05)
    assert caller.protocol.data.endswith(b"0\r\n\r\n")


def test_a_turn_that_cannot_be_made_durable_does_not_look_complete(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    harness.store.refused_topics = {Topic.TURNS}
    caller = begin_turn(harness, run_s=4.0)
    assert b"piece 3" in caller.protocol.data
    assert not caller.protocol.data.endswith(b"0\r\n\r\n")
    assert caller.protocol.lost is not None
    assert harness.vm.running == 0


def test_a_caller_that_leaves_ends_the_wait_for_a_record(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    harness.store.refused_topics = {Topic.TURNS}
    caller = begin_turn(harness)
    assert harness.vm.running == 1
    caller.abortConnection()
    harness.reactor.run(0.05)
    assert harness.vm.running == 0


def test_a_repeated_turn_continues_from_the_same_one(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    ask(harness, "t1", "one;")
    ask(harness, "t2", "two;", previous="t1")
    ask(harness, "t2-again", "two;", previous="t1")
    assert engine.requests[1].body == engine.requests[2].body
    ask(harness, "t3", "three;", previous="t2-again")
    body = engine.requests[3].body
    assert body == b"one;" + ANSWER + b"two;" + ANSWER + b"three;"
