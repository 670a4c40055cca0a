"""Targets that come, drain, lapse, restart or are written by strangers."""

from __future__ import annotations

import pytest

from lycheestall.entry.record_codec import UnreadableRecord
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.ids import TargetId
from lycheestall.platform.store_records import PlatformRecords
from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest
from tests.entry.memory_store import Fault


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def remove(harness: EntryVmHarness, name: str) -> None:
    harness.log.put(Topic.TARGETS, KeyedWrite(name.encode(), None))


def test_a_draining_target_gets_no_new_work(harness: EntryVmHarness) -> None:
    leaving = harness.add_target("leaving", serve)
    staying = harness.add_target("staying", serve)
    harness.start()
    harness.register("leaving", "10.1.0.1", state="draining")
    harness.reactor.run(0.7)
    for number in range(8):
        harness.send_request("/maps/x", request_id=f"r{number}")
    assert not leaving.requests
    assert len(staying.requests) == 8


def test_a_removed_target_gets_no_new_work(harness: EntryVmHarness) -> None:
    harness.add_target("gone", serve)
    harness.start()
    remove(harness, "gone")
    harness.reactor.run(0.7)
    assert status_of(harness.send_request("/maps/x")) == 503


def test_targets_that_lapse_in_an_outage_are_kept_until_they_can_return(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("back", serve)
    harness.start()
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(1.0)
    remove(harness, "back")
    harness.store.fault = Fault.NONE
    harness.reactor.run(0.7)
    assert status_of(harness.send_request("/maps/x")) == 200
    harness.register("back", "10.1.0.1")
    harness.reactor.run(3.0)
    assert status_of(harness.send_request("/maps/x")) == 200


def test_targets_that_do_not_return_after_an_outage_are_gone(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("gone", serve)
    harness.start()
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(1.0)
    remove(harness, "gone")
    harness.store.fault = Fault.NONE
    harness.reactor.run(3.5)
    assert status_of(harness.send_request("/maps/x")) == 503


def test_targets_missing_after_the_history_was_forgotten_are_gone(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("gone", serve)
    staying = harness.add_target("staying", serve)
    harness.start()
    remove(harness, "gone")
    harness.log.forget_history(Topic.TARGETS)
    harness.reactor.run(0.7)
    for number in range(4):
        harness.send_request("/maps/x", request_id=f"r{number}")
    assert len(staying.requests) == 4


def test_an_older_life_of_a_target_does_not_replace_a_newer_one(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("one", serve)
    harness.register("one", "10.1.0.1", born=50)
    harness.start()
    harness.register("one", "10.1.0.77", born=20)
    harness.reactor.run(0.7)
    assert status_of(harness.send_request("/maps/x")) == 200


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"{}",
        b'{"service": 3}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":"8",'
        b'"state":"ready","born":1}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"state":"waking","born":1}',
        b'{"service":"app","address":"10.0.0.1","zone":"z","slots":8,'
        b'"state":"ready","born":1}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"state":"ready","born":"now"}',
    ],
)
def test_records_of_strangers_name_no_target(value: bytes) -> None:
    decoded = PlatformRecords().target(TargetId("x"), value)
    assert isinstance(decoded, UnreadableRecord)
