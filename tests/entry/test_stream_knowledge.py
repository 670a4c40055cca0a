"""What VMs may conclude about streams that began at other VMs."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from lycheestall.entry.origin_messages import HoldStreamOrigin
from lycheestall.entry.store import Topic
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_network import RecordingCaller
from tests.entry.fleet import Fleet
from tests.entry.memory_store import Fault
from tests.entry.versioned_engines import (
    ALL_EVENTS,
    BREAK_AFTER,
    Engines,
    begin_stream,
    event_ids,
    take_up_stream,
)

VMS = 8
STREAMS = 16
FOLLOWED_S = 20.0
"""Seconds after which a VM has followed the targets for longer than callers
can resume a stream."""

CUT = 0
"""Number of the VM that is out of step."""

RESTART_S = 0.7
"""Seconds after which a VM that was started serves."""


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


@pytest.fixture
def engines(fleet: Fleet) -> Engines:
    """Two targets of one version, in service for long."""
    engines = Engines(fleet)
    engines.crash = False
    for number in range(2):
        engines.add(f"old-{number}", "v1")
    fleet.start()
    fleet.reactor.run(FOLLOWED_S)
    return engines


def add_second_version(engines: Engines) -> None:
    """Registers targets of a second version, which take all new streams."""
    for number in range(2):
        engines.add(f"new-{number}", "v2")
    engines.full_versions.add("v1")


def begin_streams(fleet: Fleet, vms: Iterable[int]) -> list[int]:
    """Begins streams at some VMs; returns the numbers of the streams."""
    vms = set(vms)
    numbers = [n for n in range(STREAMS * VMS) if n % VMS in vms][:STREAMS]
    for number in numbers:
        begin_stream(fleet, number)
    fleet.reactor.run(0.2)
    return numbers


def take_up(
    fleet: Fleet, numbers: Iterable[int], *, vm: int, named: bool = True
) -> list[RecordingCaller]:
    """Takes streams up at one VM."""
    answers = [
        take_up_stream(fleet, number, vm=vm, named=named) for number in numbers
    ]
    fleet.reactor.run(1.5)
    return answers


def restart_all(fleet: Fleet) -> None:
    """Kills all VMs and starts them again."""
    for number in range(VMS):
        fleet.restart(number)
    fleet.reactor.run(RESTART_S)


def gone_on(answers: Iterable[RecordingCaller]) -> int:
    """Returns the number of streams that went on to their end."""
    rest = ALL_EVENTS[BREAK_AFTER:]
    return sum(event_ids(answer) == rest for answer in answers)


# Guards against a VM that hears neither the store nor other VMs taking the
# version that it knows for the only one, and joining streams of another.
@pytest.mark.parametrize("named", [True, False])
def test_a_vm_cut_from_store_and_peers_joins_no_streams(
    fleet: Fleet, engines: Engines, named: bool
) -> None:
    fleet.vms[CUT].store.fault = Fault.REFUSES
    fleet.cut_peers(CUT)
    fleet.reactor.run(0.2)
    add_second_version(engines)
    fleet.reactor.run(1.0)
    numbers = begin_streams(fleet, [1])
    fleet.reactor.run(0.6)
    fleet.kill(1)
    answers = take_up(fleet, numbers, vm=CUT, named=named)
    assert not engines.mixed()
    assert {status_of(answer.data) for answer in answers} == {503}


# Guards against several VMs without the store confirming each other's
# outdated knowledge of the versions.
@pytest.mark.parametrize("outdated_vms", [3, 5, VMS - 1])
@pytest.mark.parametrize("killed", [True, False])
def test_outdated_vms_do_not_confirm_each_other(
    fleet: Fleet, engines: Engines, outdated_vms: int, killed: bool
) -> None:
    outdated = range(outdated_vms)
    fleet.cut_group(outdated)
    for number in outdated:
        fleet.vms[number].store.fault = Fault.REFUSES
    fleet.reactor.run(0.2)
    add_second_version(engines)
    fleet.reactor.run(1.0)
    current = range(outdated_vms, VMS)
    numbers = begin_streams(fleet, current)
    for number in current if killed else ():
        fleet.kill(number)
    take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()


# Guards against refusing the streams of all VMs when all are killed while two
# versions serve, or joining them.
def test_streams_of_two_versions_go_on_after_the_loss_of_all_vms(
    fleet: Fleet, engines: Engines
) -> None:
    for number in range(2):
        engines.add(f"new-{number}", "v2")
    fleet.reactor.run(1.5)
    numbers = begin_streams(fleet, range(VMS))
    fleet.reactor.run(0.5)
    restart_all(fleet)
    answers = take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()
    assert gone_on(answers) >= STREAMS / 2


# Guards against refusing streams after the loss of all VMs though only one
# version has ever served.
@pytest.mark.parametrize("named", [True, False])
def test_streams_of_the_only_version_go_on_after_the_loss_of_all_vms(
    fleet: Fleet, engines: Engines, named: bool
) -> None:
    numbers = begin_streams(fleet, range(VMS))
    restart_all(fleet)
    answers = take_up(fleet, numbers, vm=CUT, named=named)
    assert gone_on(answers) >= STREAMS / 2


# Guards against a VM that has just started taking the version that it finds
# for the only one, though another has left while all VMs were down.
@pytest.mark.parametrize("named", [True, False])
def test_streams_of_a_version_that_left_unseen_are_not_joined(
    fleet: Fleet, engines: Engines, named: bool
) -> None:
    numbers = begin_streams(fleet, range(VMS))
    for number in range(VMS):
        fleet.kill(number)
    add_second_version(engines)
    for number in range(2):
        fleet.remove_target(f"old-{number}")
    restart_all(fleet)
    take_up(fleet, numbers, vm=CUT, named=named)
    assert not engines.mixed()


# Guards against refusing streams that began while one version served, because
# a second one has appeared before their VM was lost.
def test_streams_go_on_after_a_second_version_appeared_and_their_vm_is_lost(
    fleet: Fleet, engines: Engines
) -> None:
    numbers = begin_streams(fleet, [1])
    add_second_version(engines)
    fleet.reactor.run(1.5)
    fleet.kill(1)
    answers = take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()
    assert gone_on(answers) >= STREAMS / 2


# Guards against refusing streams of VMs that are lost in an outage of the
# store, because nobody can read the registrations.
@pytest.mark.parametrize("outage_s", [0.7, 3.0])
def test_streams_go_on_after_the_loss_of_a_vm_in_an_outage_of_the_store(
    fleet: Fleet, engines: Engines, outage_s: float
) -> None:
    for vm in fleet.vms:
        vm.store.fault = Fault.REFUSES
    fleet.reactor.run(outage_s)
    numbers = begin_streams(fleet, [1])
    fleet.kill(1)
    answers = take_up(fleet, numbers, vm=CUT)
    assert gone_on(answers) >= STREAMS / 2


# Guards against refusing callers that name no request in an outage of the
# store, though all VMs know one version only.
def test_unnamed_streams_go_on_in_an_outage_of_the_store(
    fleet: Fleet, engines: Engines
) -> None:
    for vm in fleet.vms:
        vm.store.fault = Fault.REFUSES
    fleet.reactor.run(3.0)
    numbers = begin_streams(fleet, [1])
    answers = take_up(fleet, numbers, vm=CUT, named=False)
    assert gone_on(answers) >= STREAMS / 2


# Guards against messages about streams that nobody can take up any more, at
# the moment at which a second version appears.
def test_nobody_is_told_of_streams_that_have_ended(
    fleet: Fleet, engines: Engines
) -> None:
    engines.breaks = False
    begin_streams(fleet, range(VMS))
    add_second_version(engines)
    fleet.reactor.run(1.5)
    assert not fleet.links.sent[HoldStreamOrigin]
    assert not fleet.log.by_topic[Topic.ORIGINS]


def test_a_quiet_service_of_one_version_costs_no_messages_or_appends(
    fleet: Fleet, engines: Engines
) -> None:
    begin_streams(fleet, range(VMS))
    fleet.reactor.run(20.0)
    assert not fleet.links.sent[HoldStreamOrigin]
    assert not fleet.log.by_topic[Topic.ORIGINS]


# Guards against forgetting a version while callers of its streams may still
# come: they wait between their attempts, and have given a long deadline.
@pytest.mark.parametrize(("late_s", "deadline_ms"), [(8.0, 0), (20.0, 30000)])
def test_a_caller_that_comes_late_gets_no_other_version(
    fleet: Fleet, engines: Engines, late_s: float, deadline_ms: int
) -> None:
    numbers = begin_streams(fleet, [1])
    fleet.kill(1)
    add_second_version(engines)
    for number in range(2):
        fleet.remove_target(f"old-{number}")
    fleet.reactor.run(late_s)
    deadline = f"X-Deadline-Ms: {deadline_ms}\r\n" if deadline_ms else ""
    for number in numbers:
        take_up_stream(fleet, number, vm=CUT, headers=deadline)
    fleet.reactor.run(1.5)
    assert not engines.mixed()
