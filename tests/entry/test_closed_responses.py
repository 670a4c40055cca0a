"""Responses without length or chunks, which end with their connection."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.entry.crashing_targets import CrashingTargets
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import (
    FakeTarget,
    ReceivedRequest,
    RecordingCaller,
)
from tests.entry.fleet import Fleet

LAST_EVENT = 3
LAST_CHUNK = b"0\r\n\r\n"
PART_OF_AN_EVENT = b"id: 3\ndata: pie"

STREAM_PATHS = ("/plan/x", "/chat/x", "/resumed-chat/x")
RESUMABLE_PATHS = ("/plan/x", "/resumed-chat/x")

End = Callable[[ReceivedRequest], None]


@pytest.fixture(params=["direct", "relayed"])
def fleet(request: pytest.FixtureRequest) -> Fleet:
    """VMs of which the first reaches targets itself, or through a peer."""
    fleet = Fleet(vms=3)
    fleet.start()
    if request.param == "relayed":
        fleet.link_by_vm[0].cut(LinkFault.REFUSED)
    return fleet


def close(request: ReceivedRequest) -> None:
    request.close()


def reset(request: ReceivedRequest) -> None:
    request.reset()


def start(request: ReceivedRequest) -> None:
    """Sends a head that doesn't say where the body ends."""
    request.send(
        b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
        + request.headers[b"x-request-id"]
        + b"\r\n\r\n"
    )


def send_events(request: ReceivedRequest, first: int, last: int) -> None:
    for number in range(first, last + 1):
        request.send(b"id: %d\ndata: piece %d\n\n" % (number, number))


def send_rest(request: ReceivedRequest) -> None:
    """Sends a stream from where it is to go on, and closes."""
    first = int(request.headers.get(b"last-event-id", b"0")) + 1
    start(request)
    send_events(request, first, LAST_EVENT)
    request.close()


def add_engine(fleet: Fleet, *responses: End) -> FakeTarget:
    """Adds an engine; its last response is given to all later requests."""
    remaining = list(responses)

    def respond(request: ReceivedRequest) -> None:
        response = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        response(request)

    target = fleet.add_target("engine", respond, service="engines")
    fleet.reactor.run(1.0)
    return target


def ask(fleet: Fleet, path: str, *, headers: str = "") -> RecordingCaller:
    caller = fleet.send(path, vm=0, headers=headers)
    fleet.reactor.run(1.0)
    return caller


def broken_off_in_an_event(end: End) -> End:
    def respond(request: ReceivedRequest) -> None:
        start(request)
        send_events(request, 1, 2)
        request.send(PART_OF_AN_EVENT)
        end(request)

    return respond


def broken_off_between_events(end: End) -> End:
    def respond(request: ReceivedRequest) -> None:
        start(request)
        send_events(request, 1, 2)
        end(request)

    return respond


def broken_off_before_events(end: End) -> End:
    def respond(request: ReceivedRequest) -> None:
        start(request)
        end(request)

    return respond


BROKEN_OFF = {
    "closed in an event": broken_off_in_an_event(close),
    "reset in an event": broken_off_in_an_event(reset),
    "reset between events": broken_off_between_events(reset),
    "reset before events": broken_off_before_events(reset),
    "closed before events": broken_off_before_events(close),
}


def event_ids(data: bytes) -> list[int]:
    return [int(line[4:]) for line in data.split(b"\n") if line[:4] == b"id: "]


def is_complete(caller: RecordingCaller) -> bool:
    return caller.data.endswith(LAST_CHUNK)


# Guards against a stream without an event that looks complete to its caller.
@pytest.mark.parametrize("path", STREAM_PATHS)
def test_no_stream_is_whole_before_its_first_event(
    fleet: Fleet, path: str
) -> None:
    add_engine(fleet, broken_off_before_events(close))
    caller = ask(fleet, path)
    assert status_of(caller.data) != 200


@pytest.mark.parametrize("path", STREAM_PATHS)
def test_a_stream_closed_after_its_last_event_is_whole(
    fleet: Fleet, path: str
) -> None:
    engine = add_engine(fleet, send_rest)
    caller = ask(fleet, path)
    assert status_of(caller.data) == 200
    assert b"transfer-encoding: chunked" in caller.data.lower()
    assert event_ids(caller.data) == [1, 2, 3]
    assert is_complete(caller)
    assert len(engine.requests) == 1


@pytest.mark.parametrize("path", RESUMABLE_PATHS)
@pytest.mark.parametrize("broken", BROKEN_OFF.values(), ids=BROKEN_OFF)
def test_a_stream_that_is_broken_off_goes_on(
    fleet: Fleet, broken: End, path: str
) -> None:
    engine = add_engine(fleet, broken, send_rest)
    caller = ask(fleet, path)
    assert event_ids(caller.data) == [1, 2, 3]
    assert is_complete(caller)
    assert len(engine.requests) == 2


@pytest.mark.parametrize("broken", BROKEN_OFF.values(), ids=BROKEN_OFF)
def test_a_stream_that_cannot_go_on_does_not_look_complete(
    fleet: Fleet, broken: End
) -> None:
    engine = add_engine(fleet, broken)
    caller = ask(fleet, "/chat/x")
    assert len(engine.requests) == 1
    if status_of(caller.data) != 502:
        assert not is_complete(caller)
        assert caller.lost is not None


@pytest.mark.parametrize("broken", BROKEN_OFF.values(), ids=BROKEN_OFF)
def test_a_stream_that_is_broken_off_is_no_turn(
    fleet: Fleet, broken: End
) -> None:
    add_engine(fleet, broken)
    fleet.send("/chat/x", vm=0, request_id="t1")
    fleet.reactor.run(1.0)
    caller = ask(fleet, "/chat/x", headers="X-Previous-Turn: t1\r\n")
    assert status_of(caller.data) == 404


def test_a_stream_closed_after_its_last_event_is_a_turn(fleet: Fleet) -> None:
    engine = add_engine(fleet, send_rest)
    fleet.send("/chat/x", vm=0, request_id="t1")
    fleet.reactor.run(1.0)
    caller = ask(fleet, "/chat/x", headers="X-Previous-Turn: t1\r\n")
    assert status_of(caller.data) == 200
    assert engine.requests[-1].body == b"piece 1\npiece 2\npiece 3\n"


def test_a_resumed_stream_without_further_events_is_whole(
    fleet: Fleet,
) -> None:
    def break_off_at_the_end(request: ReceivedRequest) -> None:
        start(request)
        send_events(request, 1, LAST_EVENT)
        request.reset()

    engine = add_engine(fleet, break_off_at_the_end, send_rest)
    caller = ask(fleet, "/plan/x")
    assert event_ids(caller.data) == [1, 2, 3]
    assert is_complete(caller)
    assert len(engine.requests) == 2


def respond_in_full(end: End) -> End:
    def respond(request: ReceivedRequest) -> None:
        start(request)
        request.send(b"whole")
        end(request)

    return respond


@pytest.mark.parametrize("path", ["/maps/x", "/orders/x"])
def test_a_plain_response_that_is_closed_is_whole(
    fleet: Fleet, path: str
) -> None:
    fleet.add_target("app", respond_in_full(close))
    fleet.reactor.run(1.0)
    caller = ask(fleet, path)
    assert status_of(caller.data) == 200
    assert b"content-length: 5\r\n" in caller.data.lower()
    assert caller.data.endswith(b"\r\n\r\nwhole")


def test_a_plain_response_that_is_reset_is_not_whole(fleet: Fleet) -> None:
    app = fleet.add_target("app", respond_in_full(reset))
    fleet.reactor.run(1.0)
    caller = ask(fleet, "/orders/x")
    assert status_of(caller.data) == 502
    assert b"whole" not in caller.data
    assert len(app.requests) == 1


def test_a_plain_response_that_is_reset_is_asked_for_again(
    fleet: Fleet,
) -> None:
    responses = [respond_in_full(reset), respond_in_full(close)]
    app = fleet.add_target("app", lambda request: responses.pop(0)(request))
    fleet.reactor.run(1.0)
    caller = ask(fleet, "/maps/x")
    assert status_of(caller.data) == 200
    assert len(app.requests) == 2


# Guards against a crash that is taken for a malformed response, since the
# system closes the connections of a process that has crashed.
def test_a_request_that_crashes_targets_in_an_event_is_blocked(
    fleet: Fleet,
) -> None:
    targets = CrashingTargets(fleet, down_s=0.3)

    def crash_in_an_event(name: str, request: ReceivedRequest) -> None:
        broken_off_in_an_event(close)(request)
        targets.crash(name)

    for number in range(2):
        targets.add(f"engine-{number}", crash_in_an_event, service="engines")
    fleet.reactor.run(1.0)
    for _ in range(8):
        ask(fleet, "/chat/x")
        fleet.reactor.run(1.0)
    assert 0 < targets.count("/chat/x") <= 4


def send_text(request: ReceivedRequest) -> None:
    """Responds with a text that is no event stream."""
    request.respond(
        200,
        b"Error\n\nThe service is being upgraded.\n\n",
        headers=((b"Content-Type", b"text/plain"),),
    )


def send_text_as_events(request: ReceivedRequest) -> None:
    """Responds with a text that claims to be an event stream."""
    request.respond(200, b"Error\n\ndata: not found\n\n")


# Guards against the text of an error in the middle of a stream that went on at
# a target which responds 200 with something else, and ended as if whole.
@pytest.mark.parametrize("other", [send_text, send_text_as_events])
@pytest.mark.parametrize("path", RESUMABLE_PATHS)
def test_what_is_no_rest_of_a_stream_is_not_joined_to_it(
    fleet: Fleet, other: End, path: str
) -> None:
    add_engine(fleet, broken_off_between_events(reset), other)
    caller = ask(fleet, path)
    assert event_ids(caller.data) == [1, 2]
    assert b"Error" not in caller.data
    assert not is_complete(caller)
    assert caller.lost is not None


@pytest.mark.parametrize("other", [send_text, send_text_as_events])
def test_a_stream_goes_on_after_a_response_that_is_no_rest_of_it(
    fleet: Fleet, other: End
) -> None:
    add_engine(fleet, broken_off_between_events(reset), other, send_rest)
    caller = ask(fleet, "/plan/x")
    assert event_ids(caller.data) == [1, 2, 3]
    assert b"Error" not in caller.data
    assert is_complete(caller)
