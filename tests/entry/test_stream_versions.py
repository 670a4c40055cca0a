"""Streams while targets of two software versions serve side by side."""

from __future__ import annotations

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
from tests.entry.fake_network import RecordingCaller
from tests.entry.fleet import Fleet
from tests.entry.versioned_engines import (
    ALL_EVENTS,
    BREAK_AFTER,
    Engines,
    begin_stream,
    event_ids,
    take_up_stream,
)

VMS = 6
STREAMS = 12
STREAM_LIFETIME_S = 15.0
"""Five times the timeout of the streams' route."""
STREAM = stream_key(b"s0")
SERVICE = ServiceId("engines")
VERSION = SoftwareVersion("v1")


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


def crash_in_streams(fleet: Fleet, engines: Engines) -> list[RecordingCaller]:
    """Begins streams whose targets crash, and start again after each."""
    callers: list[RecordingCaller] = []
    for number in range(STREAMS):
        callers.append(begin_stream(fleet, number))
        fleet.reactor.run(0.3)
        engines.bring_up()
    return callers


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


# Guards against a stream that goes on at its target after that has started
# again at another version under its ID, by a listing from before.
@pytest.mark.parametrize("targets", [1, 3])
def test_a_stream_does_not_go_on_at_a_target_that_restarts_at_another_version(
    fleet: Fleet, targets: int
) -> None:
    engines = Engines(fleet)
    for number in range(targets):
        engines.add(f"target-{number}", "v1")
    fleet.start()
    engines.replace_by("v2")
    for number in range(STREAMS):
        begin_stream(fleet, number)
    fleet.reactor.run(3.0)
    assert not engines.mixed()


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
    fleet.reactor.run(STREAM_LIFETIME_S)
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
