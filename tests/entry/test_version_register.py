"""The software versions that VMs record in the store."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.record_decoder import UnreadableRecord
from lycheestall.entry.store import KeyedRecord, KeyedWrite, Topic
from lycheestall.entry.versions.software_versions import RECORDED_S
from lycheestall.entry.versions.version_records import (
    RecordedVersion,
    decode_version,
    delete_version,
    encode_version,
)
from lycheestall.entry.versions.version_register import ESTABLISHED_S
from lycheestall.entry.versions.withheld_targets import LAST_RESORT_S
from lycheestall.ids import Offset, SoftwareVersion
from tests.entry.entry_vm_harness import status_of
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

VMS = 4
RECORDING_S = 2.0
"""Seconds in which VMs record a version that comes."""

START_S = ESTABLISHED_S + RECORDING_S
"""Seconds in which the first VMs record the versions."""

VERSION_1 = RecordedVersion(ServiceId("engines"), SoftwareVersion("v1"))


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


@pytest.fixture
def engines(fleet: Fleet) -> Engines:
    """A target of one version."""
    engines = Engines(fleet)
    engines.add("old", "v1")
    return engines


def recorded_versions(fleet: Fleet) -> list[str]:
    """Returns the versions that are recorded, in order."""
    decoded = [decode_version(r) for r in fleet.log.newest(Topic.VERSIONS)]
    return sorted(d.version for d in decoded if isinstance(d, RecordedVersion))


def test_each_version_is_recorded_once_and_then_costs_nothing(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    engines.add("new", "v2")
    fleet.reactor.run(RECORDING_S)
    assert recorded_versions(fleet) == ["v1", "v2"]
    assert len(fleet.log.by_topic[Topic.VERSIONS]) == 2
    calls = sum(vm.store.calls_by_topic[Topic.VERSIONS] for vm in fleet.vms)
    fleet.reactor.run(20.0)
    assert calls == sum(
        vm.store.calls_by_topic[Topic.VERSIONS] for vm in fleet.vms
    )


# Guards against records that pile up with each release.
def test_a_version_that_has_left_for_long_is_deleted(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    engines.add("new", "v2")
    fleet.reactor.run(RECORDING_S)
    fleet.remove_target("old")
    fleet.reactor.run(RECORDED_S - 5.0)
    assert recorded_versions(fleet) == ["v1", "v2"]
    fleet.reactor.run(10.0)
    assert recorded_versions(fleet) == ["v2"]


# Guards against forgetting a version that comes back.
def test_a_deleted_version_that_comes_back_is_recorded_again(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    engines.add("new", "v2")
    fleet.reactor.run(RECORDING_S)
    fleet.remove_target("old")
    fleet.reactor.run(RECORDED_S + 5.0)
    engines.add("back", "v1")
    fleet.reactor.run(RECORDING_S)
    assert recorded_versions(fleet) == ["v1", "v2"]


def test_a_version_is_recorded_after_an_outage_of_the_store(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    engines.add("new", "v2")
    for vm in fleet.vms:
        vm.store.refused_topics.add(Topic.VERSIONS)
    fleet.reactor.run(3.0)
    assert recorded_versions(fleet) == ["v1"]
    for vm in fleet.vms:
        vm.store.refused_topics.clear()
    fleet.reactor.run(3.0)
    assert recorded_versions(fleet) == ["v1", "v2"]


def test_a_version_is_recorded_though_the_vm_chosen_for_it_is_cut_off(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    for vm in fleet.vms[:-1]:
        vm.store.fault = Fault.REFUSES
    for number in range(VMS):
        fleet.cut_peers(number)
    engines.add("new", "v2")
    fleet.reactor.run(5.0)
    assert recorded_versions(fleet) == ["v1", "v2"]


# Guards against trusting records of a later build that this one can't read.
def test_records_of_an_unknown_format_prove_nothing(
    fleet: Fleet, engines: Engines
) -> None:
    later = KeyedWrite(b"later", cbor2.dumps([2, {"service": "engines"}]))
    fleet.log.put(Topic.VERSIONS, encode_version(VERSION_1), later)
    fleet.start()
    answer = take_up_stream(fleet, 0, vm=0)
    fleet.reactor.run(0.5)
    assert status_of(answer.data) == 503


def test_records_of_the_only_version_prove_it_to_vms_that_start(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.log.put(Topic.VERSIONS, encode_version(VERSION_1))
    fleet.start()
    answer = take_up_stream(fleet, 0, vm=0)
    fleet.reactor.run(0.5)
    assert event_ids(answer) == ALL_EVENTS[BREAK_AFTER:]


# The bytes are those of the first release that writes such records.
def test_the_record_of_a_version_is_written_as_released() -> None:
    write = encode_version(VERSION_1)
    assert write.key == b"adb16638572fa8313375d652ba91c048"
    assert write.value == b"\x83\x01\x67engines\x62v1"


@given(value=st.binary())
def test_no_record_of_a_version_ends_the_reader(value: bytes) -> None:
    decoded = decode_version(KeyedRecord(Offset(0), b"key", value))
    assert isinstance(decoded, RecordedVersion | UnreadableRecord)


def start_and_refuse_records(fleet: Fleet) -> None:
    """Starts the VMs; the store takes no records once the first are there."""
    fleet.start()
    fleet.reactor.run(START_S)
    for vm in fleet.vms:
        vm.store.refused_topics.add(Topic.VERSIONS)


def begun_at(fleet: Fleet, engines: Engines, version: str) -> int:
    """Begins streams at all VMs; returns how many begin at a version."""
    engines.breaks = False
    before = len(engines.began_at(version))
    for number in range(40):
        begin_stream(fleet, 1000 + len(engines.versions_by_stream) + number)
    fleet.reactor.run(0.3)
    return len(engines.began_at(version)) - before


# Guards against streams of a version that no record names while another one
# serves, however long the store takes no records.
@pytest.mark.parametrize("away_s", [1.0, 10.0])
def test_a_version_that_cannot_be_recorded_waits_while_another_one_serves(
    fleet: Fleet, engines: Engines, away_s: float
) -> None:
    start_and_refuse_records(fleet)
    engines.add("new", "v2")
    fleet.reactor.run(away_s)
    assert begun_at(fleet, engines, "v2") == 0
    assert begun_at(fleet, engines, "v1") > 0
    for vm in fleet.vms:
        vm.store.refused_topics.clear()
    fleet.reactor.run(RECORDING_S)
    assert begun_at(fleet, engines, "v2") > 0


# Guards against refusing all streams for as long as the store takes no
# records, when the only targets run a version that none names.
def test_a_version_that_serves_alone_is_used_without_a_record_in_the_end(
    fleet: Fleet, engines: Engines
) -> None:
    start_and_refuse_records(fleet)
    fleet.remove_target("old")
    engines.add("new", "v2")
    fleet.reactor.run(1.0)
    assert begun_at(fleet, engines, "v2") == 0
    fleet.reactor.run(LAST_RESORT_S)
    assert begun_at(fleet, engines, "v2") > 0


# Guards against a version that waits for the record of a VM that is gone.
def test_a_version_is_recorded_although_the_chosen_vm_is_gone(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    for number in range(VMS - 1):
        fleet.kill(number)
    for version in ("v2", "v3", "v4"):
        engines.add(f"new-{version}", version)
    fleet.reactor.run(RECORDING_S)
    assert recorded_versions(fleet) == ["v1", "v2", "v3", "v4"]


# Guards against using a version by a record that was deleted while it was
# away.
def test_a_version_that_comes_back_is_not_used_by_a_deleted_record(
    fleet: Fleet, engines: Engines
) -> None:
    fleet.start()
    fleet.reactor.run(START_S)
    engines.add("new", "v2")
    fleet.reactor.run(RECORDING_S)
    fleet.remove_target("new")
    fleet.reactor.run(RECORDED_S / 2 + RECORDING_S)
    fleet.log.put(
        Topic.VERSIONS,
        delete_version(
            RecordedVersion(ServiceId("engines"), SoftwareVersion("v2"))
        ),
    )
    for vm in fleet.vms:
        vm.store.refused_topics.add(Topic.VERSIONS)
    engines.add("again", "v2")
    fleet.reactor.run(1.0)
    assert begun_at(fleet, engines, "v2") == 0
