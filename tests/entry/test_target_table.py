"""Tests of target registrations: draining, removal, restart, bad records."""

from __future__ import annotations

import pytest

from lycheestall.entry.record_decoder import UnreadableRecord
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.ids import TargetId
from lycheestall.platform.store_records import PlatformRecordDecoder
from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest
from tests.entry.memory_store import Fault


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def deregister(harness: EntryVmHarness, name: str) -> None:
    harness.log.put(Topic.TARGETS, KeyedWrite(name.encode(), None))


def test_a_draining_target_gets_no_new_requests(
    harness: EntryVmHarness,
) -> None:
    leaving = harness.add_target("leaving", serve)
    staying = harness.add_target("staying", serve)
    harness.start()
    harness.register("leaving", "10.1.0.1", state="draining")
    harness.reactor.run(0.7)
    for number in range(8):
        harness.send_request("/maps/x", request_id=f"r{number}")
    assert not leaving.requests
    assert len(staying.requests) == 8


def test_a_removed_target_gets_no_new_requests(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("gone", serve)
    harness.start()
    deregister(harness, "gone")
    harness.reactor.run(0.7)
    assert status_of(harness.send_request("/maps/x")) == 503


def test_targets_that_lapse_in_an_outage_can_register_again(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("back", serve)
    harness.start()
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(1.0)
    deregister(harness, "back")
    harness.store.fault = Fault.NONE
    harness.reactor.run(0.7)
    assert status_of(harness.send_request("/maps/x")) == 200
    harness.register("back", "10.1.0.1")
    harness.reactor.run(3.0)
    assert status_of(harness.send_request("/maps/x")) == 200


def test_targets_that_do_not_register_after_an_outage_are_removed(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("gone", serve)
    harness.start()
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(1.0)
    deregister(harness, "gone")
    harness.store.fault = Fault.NONE
    harness.reactor.run(3.5)
    assert status_of(harness.send_request("/maps/x")) == 503


def test_targets_missing_from_a_new_listing_are_removed(
    harness: EntryVmHarness,
) -> None:
    harness.add_target("gone", serve)
    staying = harness.add_target("staying", serve)
    harness.start()
    deregister(harness, "gone")
    harness.log.forget_history(Topic.TARGETS)
    harness.reactor.run(0.7)
    for number in range(4):
        harness.send_request("/maps/x", request_id=f"r{number}")
    assert len(staying.requests) == 4


def test_an_older_process_does_not_replace_a_newer_one(
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
        b'"version":"v1","state":"ready","born":1}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"version":"v1","state":"waking","born":1}',
        b'{"service":"app","address":"10.0.0.1","zone":"z","slots":8,'
        b'"version":"v1","state":"ready","born":1}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"version":"v1","state":"ready","born":"now"}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"state":"ready","born":1}',
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"version":2,"state":"ready","born":1}',
    ],
)
def test_an_invalid_record_registers_no_target(value: bytes) -> None:
    decoded = PlatformRecordDecoder().decode_registration(TargetId("x"), value)
    assert isinstance(decoded, UnreadableRecord)


LEAVING = ((b"Server-Leaving", b"1"),)


def test_a_target_that_says_it_leaves_gets_no_more_requests(
    harness: EntryVmHarness,
) -> None:
    def leave(request: ReceivedRequest) -> None:
        request.respond(200, b"whole", headers=LEAVING)

    target = harness.add_target("one", leave)
    harness.start()
    assert status_of(harness.send_request("/orders/x", method="POST")) == 200
    assert status_of(harness.send_request("/orders/x", method="POST")) == 503
    harness.register("one", "10.1.0.1", version="v2")
    harness.reactor.run(2.0)
    assert status_of(harness.send_request("/orders/x", method="POST")) == 503
    assert len(target.requests) == 1


def test_a_leaving_target_stays_so_when_its_registration_lapses(
    harness: EntryVmHarness,
) -> None:
    def leave(request: ReceivedRequest) -> None:
        request.respond(200, b"whole", headers=LEAVING)

    harness.add_target("one", leave)
    harness.start()
    harness.send_request("/orders/x", method="POST")
    harness.log.put(Topic.TARGETS, KeyedWrite(b"one", None))
    harness.reactor.run(1.0)
    harness.register("one", "10.1.0.1")
    harness.reactor.run(1.0)
    assert status_of(harness.send_request("/orders/x", method="POST")) == 503


def test_a_target_that_started_anew_is_used_again(
    harness: EntryVmHarness,
) -> None:
    def leave(request: ReceivedRequest) -> None:
        request.respond(200, b"whole", headers=LEAVING)

    target = harness.add_target("one", leave)
    harness.start()
    harness.send_request("/orders/x", method="POST")
    harness.register("one", "10.1.0.1", born=2)
    harness.reactor.run(1.0)
    assert status_of(harness.send_request("/orders/x", method="POST")) == 200
    assert len(target.requests) == 2
