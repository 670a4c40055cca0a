"""Entries that another writer has left among the targets' registrations."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from lycheestall.entry.record_decoder import UnreadableRecord
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.entry.target_table import TargetRegistration
from lycheestall.ids import TargetId
from lycheestall.platform.registrations import (
    MAX_SLOTS,
    MAX_STARTED_MS,
    MAX_TEXT_CHARACTERS,
)
from lycheestall.platform.store_records import PlatformRecordDecoder
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

ODD_FIELDS = {
    "port 70000": ("address", f'"{ODD_HOST}:70000"'),
    "port -1": ("address", f'"{ODD_HOST}:-1"'),
    "port 0": ("address", f'"{ODD_HOST}:0"'),
    "port with signs": ("address", f'"{ODD_HOST}: 8_0"'),
    "port of 5,000 digits": ("address", f'"{ODD_HOST}:{"9" * 5000}"'),
    "port of other digits": ("address", f'"{ODD_HOST}:\u0668\u0660"'),
    "no host": ("address", '":80"'),
    "host name": ("address", '"crew.example:80"'),
    "NUL in the host": ("address", f'"{ODD_HOST}\\u0000:80"'),
    "line end in the host": ("address", f'"{ODD_HOST}\\r\\n:80"'),
    "unspecified host": ("address", '"0.0.0.0:80"'),
    "multicast host": ("address", '"224.0.0.1:80"'),
    "broadcast host": ("address", '"255.255.255.255:80"'),
    "address is a number": ("address", "80"),
    "slots 0": ("slots", "0"),
    "slots -5": ("slots", "-5"),
    "slots 2^63": ("slots", str(2**63)),
    "slots 1e400": ("slots", "1e400"),
    "slots of 5,000 digits": ("slots", "9" * 5000),
    "slots is true": ("slots", "true"),
    "slots is a fraction": ("slots", "1.5"),
    "born -1": ("born", "-1"),
    "born 2^63": ("born", str(2**63)),
    "born 2^62": ("born", str(2**62)),
    "born is true": ("born", "true"),
    "born is null": ("born", "null"),
    "empty zone": ("zone", '""'),
    "NUL in the zone": ("zone", '"\\u0000"'),
    "line end in the version": ("version", '"v1\\n"'),
    "long version": ("version", f'"{"v" * 1_000_000}"'),
    "half a character": ("zone", '"\\ud800"'),
    "service is a list": ("service", "[]"),
    "unknown state": ("state", '"waking"'),
}
ODD_ENTRIES = {
    name: with_field(field, literal.encode())
    for name, (field, literal) in ODD_FIELDS.items()
}
ODD_KEYS = {
    "empty": b"",
    "not latin": "\u20ac".encode(),
    "not UTF-8": b"\xff\xfe",
    "line end": b"odd\r\nX-Other: 1",
    "NUL": b"odd\0",
    "space": b"odd one",
}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"])),
    lambda children: (
        st.lists(children) | st.dictionaries(st.text("ab"), children)
    ),
    max_leaves=5,
)
numbers = st.sampled_from(
    [-1, 0, 1, 80, 65_535, 65_536, MAX_SLOTS, MAX_SLOTS + 1, 2**63, 2**64 - 1]
)
addresses = st.builds(
    "{}:{}".format,
    st.sampled_from(["10.0.0.1", "10.0.0.01", "0.0.0.0", "::1", "a", ""]),
    numbers | st.text("0189 _-+", max_size=7),
)
odd_documents = st.dictionaries(
    st.sampled_from(sorted(SOUND)),
    json_values | numbers | addresses,
    max_size=3,
).map(lambda fields: {**SOUND, **fields})
encoded_entries = (
    st.binary()
    | json_values.map(orjson.dumps)
    | odd_documents.map(orjson.dumps)
    | st.sampled_from([*DEEP_VALUES.values(), *ODD_ENTRIES.values()])
)


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


def decode(target: str, value: bytes) -> TargetRegistration | UnreadableRecord:
    return PlatformRecordDecoder().decode_registration(TargetId(target), value)


def is_sound_text(text: Any) -> bool:
    if not isinstance(text, str) or not text.isprintable():
        return False
    return 0 < len(text) <= MAX_TEXT_CHARACTERS


@given(target=st.text() | st.just("odd"), value=encoded_entries)
@example(target="odd", value=orjson.dumps(SOUND))
def test_only_sound_registrations_are_accepted(
    target: str, value: bytes
) -> None:
    decoded = decode(target, value)
    if isinstance(decoded, UnreadableRecord):
        assert len(decoded.reason) < 200
        return
    assert IPv4Address(decoded.host).packed[0] in range(1, 224)
    assert decoded.port in range(1, 65_536)
    assert decoded.slots in range(1, MAX_SLOTS + 1)
    assert decoded.started_ms in range(MAX_STARTED_MS + 1)
    assert type(decoded.started_ms) is type(decoded.slots) is int
    assert is_sound_text(decoded.service)
    assert is_sound_text(decoded.zone)
    assert is_sound_text(decoded.software_version)
    assert is_sound_text(decoded.target)
    assert decoded.target.isascii()


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_unsound_field_names_no_target(value: bytes) -> None:
    assert isinstance(decode("odd", value), UnreadableRecord)


@pytest.mark.parametrize("name", sorted(SOUND.keys() - {"born"}))
def test_a_missing_field_names_no_target(name: str) -> None:
    document = {key: value for key, value in SOUND.items() if key != name}
    decoded = decode("odd", orjson.dumps(document))
    assert isinstance(decoded, UnreadableRecord)
    assert name in decoded.reason


def test_an_entry_without_its_start_is_sound() -> None:
    document = {key: value for key, value in SOUND.items() if key != "born"}
    decoded = decode("sound", orjson.dumps(document))
    assert isinstance(decoded, TargetRegistration)
    assert decoded.started_ms == 0


# Guards against requests that are lost at a port out of range.
def test_entries_with_unsound_fields_are_not_used(fleet: Fleet) -> None:
    for number, value in enumerate(ODD_ENTRIES.values()):
        odd = put_odd(fleet, b"odd-%d" % number, value)
    assert_targets_are_followed(fleet, odd)


# Guards against an ID that breaks the header that it is sent in.
@pytest.mark.parametrize("key", ODD_KEYS.values(), ids=ODD_KEYS)
def test_entries_whose_key_is_no_id_are_not_used(
    fleet: Fleet, key: bytes
) -> None:
    odd = put_odd(fleet, key, orjson.dumps(SOUND))
    assert_targets_are_followed(fleet, odd)


# Guards against a line in the log each time that an odd entry is rewritten.
def test_an_entry_that_is_rewritten_is_logged_once(fleet: Fleet) -> None:
    with capture_logs() as lines:
        for number in range(20):
            value = with_field("slots", b"-%d" % number)
            put_odd(fleet, b"odd", value)
            fleet.reactor.run(0.7)
    unreadable = [
        line for line in lines if line["event"] == "target record unreadable"
    ]
    assert len(unreadable) == len(fleet.vms)
    assert "slots" in unreadable[0]["reason"]


# Guards against an entry that outranks all later ones of its ID.
def test_an_entry_from_the_far_future_does_not_hide_its_target(
    fleet: Fleet,
) -> None:
    odd = put_odd(fleet, b"sound", with_field("born", str(2**62).encode()))
    fleet.reactor.run(1.0)
    fleet.vms[0].register("sound", "10.1.0.1", born=2)
    fleet.reactor.run(1.0)
    assert_all_served(fleet)
    assert not odd.requests
