"""What proves to a VM that only one version can have begun a stream."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from lycheestall.entry.store import KeyedWrite, Records, Topic
from lycheestall.entry.stream_origins import stream_key
from lycheestall.ids import Offset, SoftwareVersion
from tests.entry import entry_vm_harness
from tests.entry.entry_vm_harness import status_of
from tests.entry.fleet import Fleet
from tests.entry.memory_store import Fault, MemoryStore
from tests.entry.test_stream_knowledge import (
    CUT,
    FOLLOWED_S,
    STREAMS,
    VMS,
    add_second_version,
    begin_streams,
    gone_on,
    restart_all,
    take_up,
)
from tests.entry.versioned_engines import (
    Engines,
    begin_stream,
    take_up_stream,
)

STREAM = stream_key(b"never begun")
PAGE_RECORDS = 10
"""Records that a read of a paged store brings at most."""


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


@pytest.fixture
def engines(fleet: Fleet) -> Engines:
    """Two targets of one version, in service for long."""
    return followed_engines(fleet)


def followed_engines(fleet: Fleet) -> Engines:
    """Starts the VMs before two targets of one version."""
    engines = Engines(fleet)
    engines.crash = False
    for number in range(2):
        engines.add(f"old-{number}", "v1")
    fleet.start()
    fleet.reactor.run(FOLLOWED_S)
    return engines


def remove_first_version(fleet: Fleet) -> None:
    """Removes the targets of the first version."""
    for number in range(2):
        fleet.remove_target(f"old-{number}")


def replace_version(fleet: Fleet, engines: Engines) -> None:
    """Replaces the first version by the second one."""
    add_second_version(engines)
    remove_first_version(fleet)


# Guards against the first record of a service proving that there was no
# version before it.
@pytest.mark.parametrize("named", [True, False])
def test_a_first_record_proves_nothing_of_before(
    fleet: Fleet, engines: Engines, named: bool
) -> None:
    numbers = begin_streams(fleet, range(VMS))
    for number in range(VMS):
        fleet.kill(number)
    fleet.log.by_topic[Topic.VERSIONS].clear()
    replace_version(fleet, engines)
    restart_all(fleet)
    fleet.reactor.run(2.0)
    take_up(fleet, numbers, vm=CUT, named=named)
    assert not engines.mixed()


# Guards against a VM that has just started believing records that could not
# be written, while its peers know better.
def test_records_that_lack_a_version_do_not_outweigh_peers(
    fleet: Fleet, engines: Engines
) -> None:
    for vm in fleet.vms:
        vm.store.refused_topics.add(Topic.VERSIONS)
    add_second_version(engines)
    fleet.reactor.run(2.0)
    numbers = begin_streams(fleet, [1])
    for number in range(2):
        fleet.remove_target(f"new-{number}")
    fleet.reactor.run(0.7)
    fleet.restart(CUT)
    fleet.reactor.run(1.0)
    take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()


# Guards against concluding from records what the origins in the store refute.
def test_records_that_lack_a_version_do_not_outweigh_origins(
    fleet: Fleet, engines: Engines
) -> None:
    for vm in fleet.vms:
        vm.store.refused_topics.add(Topic.VERSIONS)
    add_second_version(engines)
    fleet.reactor.run(3.0)
    numbers = begin_streams(fleet, range(VMS))
    fleet.reactor.run(0.5)
    for number in range(2):
        fleet.remove_target(f"new-{number}")
    restart_all(fleet)
    take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()


# Guards against taking the first page of new registrations for all of them.
def test_a_backlog_of_registrations_is_read_to_its_end(
    fleet: Fleet, engines: Engines, monkeypatch: pytest.MonkeyPatch
) -> None:
    cut = fleet.vms[CUT].store
    monkeypatch.setattr(cut, "read", paged(cut))
    cut.fault = Fault.REFUSES
    fleet.cut_peers(CUT)
    heartbeat = fleet.log.newest(Topic.TARGETS)[0]
    for _ in range(5 * PAGE_RECORDS):
        write = KeyedWrite(heartbeat.key, heartbeat.value)
        fleet.log.put(Topic.TARGETS, write)
    fleet.reactor.run(1.0)
    add_second_version(engines)
    fleet.reactor.run(2.0)
    numbers = begin_streams(fleet, [1])
    fleet.kill(1)
    cut.fault = Fault.NONE
    take_up(fleet, numbers, vm=CUT)
    assert not engines.mixed()


def paged(store: MemoryStore) -> Any:
    """Returns the store's reads of the targets, limited to a page."""
    read = store.read

    def first_page(outcome: Any, topic: Topic, start: Offset) -> Any:
        if topic is not Topic.TARGETS or not isinstance(outcome, Records):
            return outcome
        records = outcome.records[:PAGE_RECORDS]
        return Records(records, Offset(start + len(records)))

    def read_page(
        topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[Any]:
        outcome: Deferred[Any] = read(topic, start, wait_s=wait_s)
        return outcome.addCallback(first_page, topic, start)

    return read_page


# Guards against forgetting a version too early for a caller that gives only
# what is left of a long deadline.
def test_a_late_caller_with_the_rest_of_its_deadline_gets_no_other_version(
    fleet: Fleet, engines: Engines
) -> None:
    deadline = "X-Deadline-Ms: 30000\r\n"
    for number in range(VMS):
        fleet.send(f"/plan/{number}", vm=number, headers=deadline)
    numbers = begin_streams(fleet, [1])
    fleet.kill(1)
    replace_version(fleet, engines)
    fleet.reactor.run(20.0)
    for number in numbers:
        take_up_stream(
            fleet, number, vm=CUT, headers="X-Deadline-Ms: 10000\r\n"
        )
    fleet.reactor.run(1.5)
    assert not engines.mixed()


# Guards against records that are deleted before a caller's deadline.
def test_records_prove_nothing_of_a_time_before_they_are_deleted(
    fleet: Fleet, engines: Engines
) -> None:
    numbers = begin_streams(fleet, range(VMS))
    for number in range(VMS):
        fleet.kill(number)
    fleet.log.by_topic[Topic.ORIGINS].clear()
    replace_version(fleet, engines)
    restart_all(fleet)
    fleet.reactor.run(70.0)
    restart_all(fleet)
    for number in numbers:
        take_up_stream(
            fleet, number, vm=CUT, headers="X-Deadline-Ms: 120000\r\n"
        )
    fleet.reactor.run(1.5)
    assert not engines.mixed()


# Guards against refusing the streams of a version that serves alone again,
# after VMs that have just started have counted the version before it.
@pytest.mark.parametrize("after_s", [5.0, 30.0, 55.0])
def test_streams_go_on_after_the_loss_of_all_vms_when_a_rollout_has_ended(
    fleet: Fleet, engines: Engines, after_s: float
) -> None:
    add_second_version(engines)
    fleet.reactor.run(3.0)
    remove_first_version(fleet)
    fleet.reactor.run(after_s)
    numbers = begin_streams(fleet, range(VMS))
    fleet.reactor.run(0.5)
    restart_all(fleet)
    answers = take_up(fleet, numbers, vm=CUT)
    assert gone_on(answers) >= STREAMS / 2


# Guards against messages about each stream of a quiet service where targets
# drain for long and are therefore read less often.
@pytest.mark.parametrize("drain_s", [2.0, 4.0, 10.0])
def test_a_quiet_service_costs_no_messages_where_targets_drain_for_long(
    monkeypatch: pytest.MonkeyPatch, drain_s: float
) -> None:
    settings = entry_vm_harness.settings
    monkeypatch.setattr(
        entry_vm_harness,
        "settings",
        lambda *args: with_drain(settings(*args), drain_s),
    )
    fleet = Fleet(vms=VMS)
    followed_engines(fleet)
    for _ in range(20):
        begin_streams(fleet, range(VMS))
    fleet.reactor.run(5.0)
    assert not fleet.links.sent[HoldStreamOrigin]
    assert not fleet.log.by_topic[Topic.ORIGINS]


def with_drain(settings: Any, drain_s: float) -> Any:
    """Returns settings with another drain time."""
    return replace(settings, drain_s=drain_s)


# Guards against a burst of messages about all streams at the beginning of an
# outage.
def test_streams_are_told_in_portions(fleet: Fleet, engines: Engines) -> None:
    for number in range(600):
        begin_stream(fleet, number * VMS + 1)
    fleet.reactor.run(0.2)
    for vm in fleet.vms:
        vm.store.fault = Fault.REFUSES
    told: list[int] = []
    for _ in range(40):
        before = fleet.links.sent[HoldStreamOrigin]
        fleet.reactor.run(0.05)
        told.append(fleet.links.sent[HoldStreamOrigin] - before)
    assert max(told) <= 2 * 200
    assert sum(told) > 200


# Guards against a VM that is asked for a stream by nobody who can read.
def test_a_refusal_for_want_of_proof_names_a_delay(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.vms[CUT].store.fault = Fault.REFUSES
    fleet.cut_peers(CUT)
    answer = take_up(fleet, [1], vm=CUT)[0]
    assert status_of(answer.data) == 503
    assert b"Retry-After: " in answer.data


# Guards against a VM that missed a part of the history taking what it lists
# for all there was.
def test_a_version_that_came_and_left_in_a_gap_of_the_history_counts(
    fleet: Fleet, engines: Engines
) -> None:
    cut = fleet.vms[CUT].store
    cut.fault = Fault.REFUSES
    fleet.cut_peers(CUT)
    add_second_version(engines)
    fleet.reactor.run(2.0)
    numbers = begin_streams(fleet, [1])
    for number in range(2):
        fleet.remove_target(f"new-{number}")
    fleet.reactor.run(1.0)
    fleet.log.forget_history(Topic.TARGETS)
    cut.fault = Fault.NONE
    fleet.links.cut.clear()
    fleet.reactor.run(1.5)
    take_up(fleet, numbers, vm=CUT, named=False)
    assert not engines.mixed()


def ask(fleet: Fleet, vm: int) -> FoundStreamOrigin:
    """Asks a VM what it knows of a stream that it has never heard of."""
    message = FindStreamOrigin(STREAM, ServiceId("engines"), 6.0)
    reply = fleet.vms[vm].vm.handle_message(message)
    assert isinstance(reply, FoundStreamOrigin)
    return reply


# Guards against VMs of the build before concluding from outdated knowledge of
# this one.
def test_a_vm_that_cannot_read_the_targets_calls_nothing_complete(
    fleet: Fleet, engines: Engines
) -> None:
    assert ask(fleet, CUT).recent_complete
    fleet.vms[CUT].store.fault = Fault.REFUSES
    fleet.cut_peers(CUT)
    fleet.reactor.run(1.0)
    assert not ask(fleet, CUT).recent_complete


# Guards against forgetting what a message says about a version that this VM
# has not read of.
def test_a_version_that_a_peer_tells_of_counts(
    fleet: Fleet, engines: Engines
) -> None:
    message = HoldStreamOrigin(
        stream_key(b"other"), ServiceId("engines"), SoftwareVersion("v2")
    )
    fleet.vms[CUT].vm.handle_message(message)
    assert set(ask(fleet, CUT).recent_versions) == {"v1", "v2"}


# Guards against joining streams of a version that served so shortly before
# the loss of all VMs that no record of it was written.
def test_a_version_that_is_lost_together_with_all_vms_is_not_joined(
    fleet: Fleet, engines: Engines
) -> None:
    add_second_version(engines)
    probes = 0
    while not engines.began_at("v2"):
        probes += 1
        begin_stream(fleet, probes)
        fleet.reactor.run(0.02)
    numbers = range(1000, 1000 + STREAMS)
    for number in numbers:
        begin_stream(fleet, number)
    fleet.reactor.run(0.02)
    for number in range(VMS):
        fleet.kill(number)
    for number in range(2):
        fleet.remove_target(f"new-{number}")
    restart_all(fleet)
    began = engines.began_at("v2")
    take_up(fleet, [n for n in numbers if f"s{n}" in began], vm=CUT)
    assert not engines.mixed()
