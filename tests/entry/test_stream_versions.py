"""Streams while targets of two software versions serve side by side."""

from __future__ import annotations

from collections import defaultdict

import pytest

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.stream_origins import stream_key
from lycheestall.ids import SoftwareVersion
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_network import (
    FakeTarget,
    ReceivedRequest,
    RecordingCaller,
)
from tests.entry.fleet import Fleet

VMS = 6
STREAMS = 12
BREAK_AFTER = 2
LAST_EVENT = 5
STREAM_LIFETIME_S = 6.0
"""Twice the timeout of the streams' route."""
STREAM = stream_key(b"s0")
SERVICE = ServiceId("engines")
VERSION = SoftwareVersion("v1")
NOT_RUN = ((b"X-Not-Executed", b"1"),)
ALL_EVENTS = list(range(1, LAST_EVENT + 1))


class Engines:
    """Targets of several software versions, which note what they run.

    Args:
        fleet: The VMs that send to them.

    Attributes:
        versions_by_stream: The versions that sent events of each stream,
            which is named by the request that began it.
        crash: Whether the target that begins a stream crashes on the way;
            otherwise it sends no more after the same event.
        refusals_left: How many requests that resume a stream are refused
            because the target is full.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._network = fleet.reactor.target_by_address
        self._down: dict[tuple[str, int], FakeTarget] = {}
        self._target_by_stream: dict[str, FakeTarget] = {}
        self.versions_by_stream: dict[str, list[str]] = defaultdict(list)
        self.crash = True
        self.refusals_left = 0

    def add(self, name: str, version: str) -> None:
        """Registers a target."""

        def run(request: ReceivedRequest) -> None:
            self._run(request, target, version)

        target = self._fleet.add_target(
            name, run, service="engines", version=version
        )

    def take_down_target_of(self, stream: str) -> None:
        """Crashes the target that began a stream."""
        self._take_down(self._target_by_stream[stream])

    def bring_up(self) -> None:
        """Starts the targets that are down."""
        self._network.update(self._down)
        self._down.clear()

    def mixed(self) -> dict[str, list[str]]:
        """Returns the streams with events of more than one version."""
        return {
            stream: versions
            for stream, versions in self.versions_by_stream.items()
            if len(set(versions)) > 1
        }

    def _take_down(self, target: FakeTarget) -> None:
        # It loses its connections and refuses others.
        for address, other in list(self._network.items()):
            if other is target:
                self._down[address] = self._network.pop(address)
        for connection in target.connections:
            connection.transport.abortConnection()

    def _run(
        self, request: ReceivedRequest, target: FakeTarget, version: str
    ) -> None:
        headers = request.headers
        stream = headers.get(b"resumes", headers[b"x-request-id"]).decode()
        first = int(headers.get(b"last-event-id", b"0")) + 1
        if first > 1 and self.refusals_left:
            self.refusals_left -= 1
            request.respond(503, headers=NOT_RUN, sealed=False)
            return
        self.versions_by_stream[stream].append(version)
        request.start_stream()
        if first > 1:
            self._send_events(request, first, LAST_EVENT)
            request.end_stream()
            return
        self._target_by_stream[stream] = target
        self._send_events(request, first, BREAK_AFTER)
        if self.crash:
            self._fleet.reactor.callLater(0.01, self._take_down, target)

    def _send_events(
        self, request: ReceivedRequest, first: int, last: int
    ) -> None:
        for number in range(first, last + 1):
            request.send_event(number)


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


@pytest.fixture
def engines(fleet: Fleet) -> Engines:
    """Three targets of each of two versions."""
    engines = Engines(fleet)
    for number in range(3):
        engines.add(f"old-{number}", "v1")
        engines.add(f"new-{number}", "v2")
    return engines


def begin_stream(fleet: Fleet, number: int) -> RecordingCaller:
    """Begins stream ``s0``, ``s1`` and so on, each at the next VM."""
    return fleet.send(
        f"/plan/{number}",
        vm=number % VMS,
        headers=f"X-Session-Id: session-{number}\r\n",
        request_id=f"s{number}",
    )


def crash_in_streams(fleet: Fleet, engines: Engines) -> list[RecordingCaller]:
    """Begins streams whose targets crash, and start again after each."""
    callers: list[RecordingCaller] = []
    for number in range(STREAMS):
        callers.append(begin_stream(fleet, number))
        fleet.reactor.run(0.3)
        engines.bring_up()
    return callers


def take_up_stream(fleet: Fleet, number: int, *, vm: int) -> RecordingCaller:
    """Sends the caller's next attempt after it has got some events."""
    return fleet.send(
        f"/plan/{number}",
        vm=vm,
        headers=(
            f"X-Session-Id: session-{number}\r\n"
            f"Last-Event-Id: {BREAK_AFTER}\r\nResumes: s{number}\r\n"
        ),
    )


def event_ids(caller: RecordingCaller) -> list[int]:
    """Returns the IDs of the events that a caller has received."""
    lines = caller.data.split(b"\n")
    return [int(line[4:]) for line in lines if line[:4] == b"id: "]


# Guards against a response with events of two software versions after the
# target that began its stream has crashed.
def test_a_stream_goes_on_at_its_version_when_its_target_crashes(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    callers = crash_in_streams(fleet, engines)
    assert not engines.mixed()
    assert [event_ids(caller) for caller in callers] == [ALL_EVENTS] * STREAMS


# Guards against a stream that a caller takes up at another VM, after its
# first VM was lost, going on at another software version.
def test_a_stream_goes_on_at_its_version_when_its_vm_and_target_are_lost(
    fleet: Fleet, engines: Engines
) -> None:
    engines.crash = False
    fleet.start()
    for number in range(STREAMS):
        first = begin_stream(fleet, number)
        fleet.reactor.run(0.1)
        fleet.restart(number % VMS)
        engines.take_down_target_of(f"s{number}")
        second = take_up_stream(fleet, number, vm=(number + 1) % VMS)
        fleet.reactor.run(0.7)
        engines.bring_up()
        assert event_ids(first) + event_ids(second) == ALL_EVENTS
    assert not engines.mixed()


# Guards against refusing most of the streams that callers take up after
# several VMs were lost at once, as if their versions were unknown.
def test_most_streams_go_on_after_the_loss_of_half_of_the_vms(
    fleet: Fleet, engines: Engines
) -> None:
    engines.crash = False
    fleet.start()
    streams = range(8 * VMS)
    for number in streams:
        begin_stream(fleet, number)
    fleet.reactor.run(0.1)
    lost = range(VMS // 2)
    for vm in lost:
        fleet.restart(vm)
    fleet.reactor.run(0.2)
    broken = [number for number in streams if number % VMS in lost]
    answers = [
        take_up_stream(fleet, number, vm=VMS // 2 + number % (VMS // 2))
        for number in broken
    ]
    fleet.reactor.run(0.7)
    gone_on = sum(event_ids(a) == ALL_EVENTS[BREAK_AFTER:] for a in answers)
    # All new streams would begin; half of that share is asked for.
    assert gone_on >= len(broken) / 2
    assert not engines.mixed()


# Guards against a response that goes on at another version, or looks
# complete, when no target of the version that began it is left.
def test_a_stream_breaks_off_when_no_target_of_its_version_is_left(
    fleet: Fleet,
) -> None:
    engines = Engines(fleet)
    engines.add("old", "v1")
    engines.add("new", "v2")
    fleet.start()
    callers = crash_in_streams(fleet, engines)
    assert not engines.mixed()
    assert {len(event_ids(caller)) for caller in callers} == {BREAK_AFTER}
    assert all(caller.lost is not None for caller in callers)
    assert not any(caller.data.endswith(b"0\r\n\r\n") for caller in callers)


# Guards against breaking off a stream because the targets of its version are
# full for a moment, though no other target may run it.
def test_a_stream_waits_for_full_targets_of_its_version(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    received: list[list[int]] = []
    for number in range(STREAMS):
        engines.refusals_left = 3
        caller = begin_stream(fleet, number)
        fleet.reactor.run(0.4)
        received.append(event_ids(caller))
        engines.bring_up()
    assert not engines.mixed()
    assert received == [ALL_EVENTS] * STREAMS


# Guards against a stream whose origin was lost going on at either version.
def test_a_stream_of_unknown_version_is_refused_as_not_run(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    answer = take_up_stream(fleet, 0, vm=0)
    fleet.reactor.run(0.5)
    assert status_of(answer.data) == 503
    assert b"Retry-After: " in answer.data
    assert not engines.versions_by_stream


# Guards against refusing resumed streams of services that run one version.
def test_a_stream_of_the_only_version_goes_on_at_a_vm_that_has_restarted(
    fleet: Fleet,
) -> None:
    engines = Engines(fleet)
    engines.add("only-0", "v1")
    engines.add("only-1", "v1")
    fleet.start()
    fleet.reactor.run(STREAM_LIFETIME_S + 1.0)
    for number in range(VMS - 1):
        fleet.restart(number)
    fleet.reactor.run(2.5)
    answer = take_up_stream(fleet, 0, vm=0)
    fleet.reactor.run(0.5)
    assert event_ids(answer) == ALL_EVENTS[BREAK_AFTER:]


# Guards against taking a version that has just come for the only one while
# streams of the version before it can still be resumed.
def test_a_version_that_has_left_still_counts(
    fleet: Fleet,
) -> None:
    engines = Engines(fleet)
    engines.crash = False
    engines.add("old", "v1")
    fleet.start()
    fleet.reactor.run(STREAM_LIFETIME_S + 1.0)
    engines.add("new", "v2")
    fleet.reactor.run(1.0)
    fleet.remove_target("old")
    fleet.reactor.run(2.0)
    answer = take_up_stream(fleet, 0, vm=0)
    fleet.reactor.run(0.5)
    assert status_of(answer.data) == 503
    assert not engines.versions_by_stream


# Guards against failing callers that name no earlier request, where only one
# version serves.
def test_a_caller_that_names_no_request_gets_the_only_version(
    fleet: Fleet,
) -> None:
    engines = Engines(fleet)
    engines.add("only", "v1")
    fleet.start()
    answer = fleet.send("/plan/x", headers="Last-Event-Id: 2\r\n")
    fleet.reactor.run(0.5)
    assert event_ids(answer) == ALL_EVENTS[BREAK_AFTER:]


# Guards against guessing the version for callers that name no earlier request.
def test_a_caller_that_names_no_request_is_refused_among_versions(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    answer = fleet.send("/plan/x", headers="Last-Event-Id: 2\r\n")
    fleet.reactor.run(0.5)
    assert status_of(answer.data) == 503
    assert not engines.versions_by_stream


@pytest.mark.parametrize(
    "message",
    [
        HoldStreamOrigin(STREAM, SERVICE, VERSION),
        FindStreamOrigin(STREAM, SERVICE, 6.0),
        FoundStreamOrigin(SERVICE, VERSION, (VERSION,), True),
        FoundStreamOrigin(None, None, (), False),
    ],
)
def test_a_message_about_origins_is_decoded_as_it_was(
    message: PeerMessage | PeerReply,
) -> None:
    assert decode(encode(message)) == message
