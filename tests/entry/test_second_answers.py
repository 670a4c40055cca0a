"""Requests that end after a part of their response was sent."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import ReceivedRequest, RecordingCaller
from tests.entry.fleet import Fleet

EVENTS = 2
"""Events of a stream until something happens to it."""

PATHS = ("/plan/x", "/resumed-chat/x")
"""Paths of streams that may be resumed, without and with kept turns."""

Answer = Callable[[ReceivedRequest], None]


def fail(request: ReceivedRequest) -> None:
    """Answers with an error, which is kept until a retry is better."""
    request.respond(500, b"failed")


def begin_stream(request: ReceivedRequest) -> None:
    """Sends the first events of a stream, and then nothing."""
    request.start_stream()
    for number in range(1, EVENTS + 1):
        request.send_event(number)


def break_off(request: ReceivedRequest) -> None:
    """Sends the first events of a stream and resets the connection."""
    if b"last-event-id" not in request.headers:
        begin_stream(request)
        request.connection.transport.write(b"")
    request.reset()


class Targets:
    """Targets whose n-th answer is the same whichever is asked.

    Args:
        fleet: The VMs that send to them.
        answers: The answers; the last one is given from then on.
        count: Number of targets.
    """

    def __init__(self, fleet: Fleet, *answers: Answer, count: int = 4) -> None:
        self._answers = list(answers)
        self.requests: list[ReceivedRequest] = []
        self.names = [f"engine-{number}" for number in range(count)]
        for name in self.names:
            fleet.add_target(name, self._answer, service="engines")
        fleet.reactor.run(1.0)

    def _answer(self, request: ReceivedRequest) -> None:
        self.requests.append(request)
        answers = self._answers
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        answer(request)


@pytest.fixture(params=["direct", "relayed"])
def fleet(request: pytest.FixtureRequest) -> Fleet:
    """VMs of which the first reaches targets itself, or through a peer."""
    fleet = Fleet(vms=3)
    routes = [{**route, "max_attempts": 4} for route in ROUTES]
    fleet.vms[0].configure(routes)
    fleet.start()
    if request.param == "relayed":
        fleet.link_by_vm[0].cut(LinkFault.REFUSED)
    return fleet


def is_break(caller: RecordingCaller) -> bool:
    """Returns whether a caller got one response, cut off by a reset."""
    data = caller.data
    if data.count(b"HTTP/1.1 ") != 1 or status_of(data) != 200:
        return False
    return not data.endswith(b"0\r\n\r\n") and caller.lost is not None


# Guards against a kept error of one target that is written into the stream of
# another one as the route's time runs out (review/11).
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("failures", [1, 2])
def test_no_kept_error_is_sent_in_a_stream_at_its_deadline(
    fleet: Fleet, path: str, failures: int
) -> None:
    targets = Targets(fleet, *[fail] * failures, begin_stream)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(3.5)
    assert len(targets.requests) == failures + 1
    assert caller.data.count(b"id: ") == EVENTS
    assert is_break(caller)


# Guards against the same at the end of the VM's process.
@pytest.mark.parametrize("path", PATHS)
def test_no_kept_error_is_sent_in_a_stream_as_the_vm_ends(
    fleet: Fleet, path: str
) -> None:
    Targets(fleet, fail, begin_stream)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(1.0)
    fleet.vms[0].vm.drain(ends_at=fleet.reactor.seconds())
    fleet.vms[0].vm.end_requests()
    fleet.reactor.run(0.2)
    assert caller.data.count(b"id: ") == EVENTS
    assert is_break(caller)


# Guards against the same after attempts to resume the stream that all fail.
@pytest.mark.parametrize("path", PATHS)
def test_no_kept_error_is_sent_in_a_stream_that_cannot_go_on(
    fleet: Fleet, path: str
) -> None:
    targets = Targets(fleet, fail, break_off)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(2.9)
    assert len(targets.requests) > 2
    assert caller.data.count(b"id: ") == EVENTS
    assert is_break(caller)


# Guards against the same when no target is left that could resume the stream.
@pytest.mark.parametrize("path", PATHS)
def test_no_kept_error_is_sent_in_a_stream_without_a_target(
    fleet: Fleet, path: str
) -> None:
    targets = Targets(fleet, fail, begin_stream)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(0.5)
    for name in targets.names:
        fleet.remove_target(name)
    fleet.reactor.run(0.5)
    targets.requests[-1].reset()
    fleet.reactor.run(0.5)
    assert caller.data.count(b"id: ") == EVENTS
    assert is_break(caller)


# Guards against a kept error that is lost: without any event of a retry, it is
# the best answer there is.
@pytest.mark.parametrize("path", PATHS)
def test_a_kept_error_is_sent_if_no_stream_begins(
    fleet: Fleet, path: str
) -> None:
    def start_only(request: ReceivedRequest) -> None:
        request.start_stream()

    Targets(fleet, fail, start_only)
    caller = fleet.send(path, vm=0)
    fleet.reactor.run(3.5)
    assert caller.data.count(b"HTTP/1.1 ") == 1
    assert status_of(caller.data) == 500
    assert caller.data.endswith(b"\r\n\r\nfailed")


# Guards against an operator who can't tell a stream that was broken off from
# one that was answered.
def test_a_stream_that_is_broken_off_is_counted(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("engine", begin_stream, service="engines")
    harness.start()
    harness.send_request("/plan/x", method="POST", run_s=3.2)
    counted = [
        line
        for line in harness.metrics.render().decode().splitlines()
        if line.startswith("lycheestall_broken_responses_total{")
    ]
    assert len(counted) == 1
    assert 'outcome="broken off at its deadline"' in counted[0]
    assert 'route="stream"' in counted[0]
