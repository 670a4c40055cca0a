"""Entries that another writer has left among the targets' registrations."""

from __future__ import annotations

import orjson
import pytest

from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_network import FakeTarget, ReceivedRequest
from tests.entry.fleet import Fleet

REQUESTS = 12
ODD_HOST = "10.9.0.1"

SOUND = {
    "service": "app",
    "address": f"{ODD_HOST}:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1,
}


def with_field(name: str, literal: bytes) -> bytes:
    """Returns a registration with one field replaced by a JSON literal."""
    mark = orjson.dumps({**SOUND, name: "REPLACED"})
    return mark.replace(b'"REPLACED"', literal)


DEEP_VALUES = {
    "brackets": b"[" * 200_000,
    "lists": b"[" * 200_000 + b"]" * 200_000,
    "objects": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "nested state": with_field("state", b"[" * 1000 + b"]" * 1000),
    "nested slots": with_field("slots", b"[" * 1000 + b"]" * 1000),
}


@pytest.fixture
def fleet() -> Fleet:
    """Two VMs that have started, with one target."""
    fleet = Fleet(vms=2)
    fleet.add_target("sound", serve)
    fleet.start()
    return fleet


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def put_odd(fleet: Fleet, key: bytes, value: bytes) -> FakeTarget:
    """Writes an odd entry; returns the target that it seems to name."""
    target = FakeTarget(serve)
    fleet.reactor.target_by_address[ODD_HOST, 80] = target
    fleet.log.put(Topic.TARGETS, KeyedWrite(key, value))
    return target


def assert_all_served(fleet: Fleet) -> None:
    callers = [fleet.send("/maps/x") for _ in range(REQUESTS)]
    fleet.reactor.run(0.5)
    assert [status_of(caller.data) for caller in callers] == [200] * REQUESTS


def assert_targets_are_followed(fleet: Fleet, odd: FakeTarget) -> None:
    joined = fleet.add_target("joined", serve)
    fleet.reactor.run(1.0)
    fleet.remove_target("sound")
    fleet.reactor.run(1.0)
    assert_all_served(fleet)
    fleet.restart(0)
    fleet.reactor.run(3.0)
    assert_all_served(fleet)
    assert len(joined.requests) == 2 * REQUESTS
    assert not odd.requests


# Guards against a nested value that ends the reading of the registrations.
@pytest.mark.parametrize("value", DEEP_VALUES.values(), ids=DEEP_VALUES)
def test_targets_are_followed_past_a_nested_entry(
    fleet: Fleet, value: bytes
) -> None:
    odd = put_odd(fleet, b"odd", value)
    assert_targets_are_followed(fleet, odd)
