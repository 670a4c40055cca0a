"""Tests of target registrations: draining, removal, restart, bad records."""

from __future__ import annotations

import pytest

from lycheestall.entry.record_decoder import UnreadableRecord
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.ids import TargetId
from lycheestall.platform.store_records import PlatformRecordDecoder
from tests.entry.entry_world import EntryWorld, status_of
from tests.entry.fake_network import ServedRequest
from tests.entry.memory_store import Fault


def serve(request: ServedRequest) -> None:
    request.answer(200, b"whole")


def deregister(world: EntryWorld, name: str) -> None:
    world.log.put(Topic.TARGETS, KeyedWrite(name.encode(), None))


def test_a_draining_target_gets_no_new_requests(world: EntryWorld) -> None:
    leaving = world.add_target("leaving", serve)
    staying = world.add_target("staying", serve)
    world.start()
    world.register("leaving", "10.1.0.1", state="draining")
    world.reactor.run(0.7)
    for number in range(8):
        world.ask("/maps/x", request_id=f"r{number}")
    assert not leaving.requests
    assert len(staying.requests) == 8


def test_a_removed_target_gets_no_new_requests(world: EntryWorld) -> None:
    world.add_target("gone", serve)
    world.start()
    deregister(world, "gone")
    world.reactor.run(0.7)
    assert status_of(world.ask("/maps/x")) == 503


def test_targets_that_lapse_in_an_outage_can_register_again(
    world: EntryWorld,
) -> None:
    world.add_target("back", serve)
    world.start()
    world.store.fault = Fault.REFUSES
    world.reactor.run(1.0)
    deregister(world, "back")
    world.store.fault = Fault.NONE
    world.reactor.run(0.7)
    assert status_of(world.ask("/maps/x")) == 200
    world.register("back", "10.1.0.1")
    world.reactor.run(3.0)
    assert status_of(world.ask("/maps/x")) == 200


def test_targets_that_do_not_register_after_an_outage_are_removed(
    world: EntryWorld,
) -> None:
    world.add_target("gone", serve)
    world.start()
    world.store.fault = Fault.REFUSES
    world.reactor.run(1.0)
    deregister(world, "gone")
    world.store.fault = Fault.NONE
    world.reactor.run(3.5)
    assert status_of(world.ask("/maps/x")) == 503


def test_targets_missing_from_a_new_listing_are_removed(
    world: EntryWorld,
) -> None:
    world.add_target("gone", serve)
    staying = world.add_target("staying", serve)
    world.start()
    deregister(world, "gone")
    world.log.forget_history(Topic.TARGETS)
    world.reactor.run(0.7)
    for number in range(4):
        world.ask("/maps/x", request_id=f"r{number}")
    assert len(staying.requests) == 4


def test_an_older_process_does_not_replace_a_newer_one(
    world: EntryWorld,
) -> None:
    world.add_target("one", serve)
    world.register("one", "10.1.0.1", born=50)
    world.start()
    world.register("one", "10.1.0.77", born=20)
    world.reactor.run(0.7)
    assert status_of(world.ask("/maps/x")) == 200


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
def test_an_invalid_record_registers_no_target(value: bytes) -> None:
    decoded = PlatformRecordDecoder().decode_registration(TargetId("x"), value)
    assert isinstance(decoded, UnreadableRecord)
