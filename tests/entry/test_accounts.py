"""Accounts at one VM: keys, headers, and refusals that callers never retry."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.cli import main
from lycheestall.entry.accounts import ApiKey
from lycheestall.entry.accounts.configuration_evidence import CURRENT_S
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.platform.store_records import PlatformRecordDecoder
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import FakeTarget, ReceivedRequest
from tests.entry.memory_store import Fault

KEY = "key-of-north-1"
NORTH: dict[str, Any] = {
    "name": "north",
    "api_keys": [KEY, "key-of-north-2"],
    "priority": 0,
}
SOUTH: dict[str, Any] = {"name": "south", "api_keys": ["key-of-south"]}
WITH_KEY = f"Authorization: Bearer {KEY}\r\n"
ACCOUNT_ROUTES = [
    *ROUTES,
    {**ROUTES[0], "path_prefix": "/open/", "anonymous": True},
]


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def stream(request: ReceivedRequest) -> None:
    request.start_stream()
    request.send_event(1)
    request.end_stream()


@pytest.fixture
def target(harness: EntryVmHarness) -> FakeTarget:
    """A target of a VM whose configuration has two accounts."""
    harness.configure(ACCOUNT_ROUTES, tenants=[NORTH, SOUTH])
    target = harness.add_target("one", serve)
    harness.start()
    return target


def test_the_target_gets_the_account_and_not_the_key(
    harness: EntryVmHarness, target: FakeTarget
) -> None:
    headers = (
        f"{WITH_KEY}X-Tenant: south\r\nX_Tenant: south\r\n"
        "Connection: X-Tenant, Authorization\r\n"
    )
    assert status_of(harness.send_request("/maps/x", headers=headers)) == 200
    received = target.requests[0].headers
    assert received[b"x-tenant"] == b"north"
    assert b"authorization" not in received
    assert b"x_tenant" not in received


def test_an_anonymous_route_proves_no_account(
    harness: EntryVmHarness, target: FakeTarget
) -> None:
    headers = "Authorization: Bearer unknown\r\nX-Tenant: north\r\n"
    assert status_of(harness.send_request("/open/x", headers=headers)) == 200
    assert b"x-tenant" not in target.requests[0].headers
    assert b"authorization" not in target.requests[0].headers


def test_without_accounts_headers_pass_unchanged(
    harness: EntryVmHarness,
) -> None:
    target = harness.add_target("one", serve)
    harness.start()
    headers = f"{WITH_KEY}X-Tenant: mine\r\n"
    assert status_of(harness.send_request("/maps/x", headers=headers)) == 200
    received = target.requests[0].headers
    assert received[b"authorization"] == f"Bearer {KEY}".encode()
    assert received[b"x-tenant"] == b"mine"


@pytest.mark.parametrize(
    "headers",
    [
        "",
        "Authorization:\r\n",
        "Authorization: Bearer\r\n",
        "Authorization: Bearer unknown\r\n",
        f"Authorization: Basic {KEY}\r\n",
        f"Authorization: {KEY}\r\n",
        f"Authorization: Bearer {KEY} {KEY}\r\n",
        f"Authorization: Bearer {KEY}\x01\r\n",
        f"Authorization: Bearer {'k' * 1025}\r\n",
        WITH_KEY + WITH_KEY,
    ],
)
def test_a_request_without_a_valid_key_gets_401_at_once(
    harness: EntryVmHarness, target: FakeTarget, headers: str
) -> None:
    caller = harness.connect()
    data = harness.send_request("/maps/x", headers=headers, caller=caller)
    if "\x01" in headers:
        # The parser of HTTP refuses it first.
        assert status_of(data) == 400
        return
    assert status_of(data) == 401
    assert KEY.encode() not in data
    assert not target.requests
    data = harness.send_request("/maps/x", headers=WITH_KEY, caller=caller)
    assert b"HTTP/1.1 200" in data


@pytest.mark.parametrize("path", ["/maps/x", "/nowhere/x"])
def test_without_evidence_no_final_refusal_is_sent(
    harness: EntryVmHarness, target: FakeTarget, path: str
) -> None:
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(CURRENT_S + 0.5)
    headers = "Authorization: Bearer added-since\r\n"
    data = harness.send_request(path, headers=headers)
    assert status_of(data) == 503
    assert 0.3 <= float(data.split(b"Retry-After: ")[1].split(b"\r")[0]) <= 0.5
    assert status_of(harness.send_request("/maps/x", headers=WITH_KEY)) == 200
    harness.store.fault = Fault.NONE
    harness.reactor.run(1.0)
    data = harness.send_request(path, headers=headers)
    assert status_of(data) in (401, 404)


def test_an_unreadable_configuration_may_hold_a_key(
    harness: EntryVmHarness, target: FakeTarget
) -> None:
    harness.log.put(Topic.CONFIGURATION, KeyedWrite(b"config", b"{"))
    harness.reactor.run(2.0)
    headers = "Authorization: Bearer unknown\r\n"
    assert status_of(harness.send_request("/maps/x", headers=headers)) == 503
    assert status_of(harness.send_request("/maps/x", headers=WITH_KEY)) == 200


def decode(tenants: Any) -> Any:
    document = {
        "version": 1,
        "routes": ROUTES,
        "services": [],
        "tenants": tenants,
    }
    decoder = PlatformRecordDecoder()
    plain = orjson.dumps(document)
    concealed = decoder.conceal_keys(plain)
    configuration = decoder.decode_configuration(plain)
    # A configuration that a peer has passed on is read the same way.
    assert decoder.decode_configuration(concealed) == configuration
    assert decoder.conceal_keys(concealed) == concealed
    for key in (KEY, "key-of-south"):
        assert key not in repr(configuration)
        assert key.encode() not in concealed
    return configuration


# Guards against one bad entry that ends or opens a whole deployment.
@pytest.mark.parametrize(
    ("entries", "accounts", "faults"),
    [
        (None, [], 0),
        ([], [], 0),
        ({"name": "north"}, [], 1),
        ("north", [], 1),
        ([None, 5, SOUTH], ["south"], 2),
        ([{"api_keys": [KEY]}], [], 1),
        ([{"name": "a\r\nb", "api_keys": [KEY]}, SOUTH], ["south"], 1),
        ([NORTH, {**SOUTH, "api_keys": [KEY]}], ["north", "south"], 1),
        ([{**NORTH, "api_keys": KEY}], ["north"], 1),
        ([{**NORTH, "api_keys": [KEY, "", 5, None, "a b"]}], ["north"], 4),
        ([{**NORTH, "priority": -1}], ["north"], 1),
        ([{**NORTH, "rate_per_s": -1, "burst": 5}], ["north"], 1),
        ([{**NORTH, "rate_per_s": 3, "burst": 0}], ["north"], 1),
        ([{**NORTH, "rate_per_s": "many"}], ["north"], 1),
        ([NORTH, NORTH], ["north"], 1),
    ],
)
def test_odd_accounts_leave_the_rest_of_the_configuration(
    entries: Any, accounts: list[str], faults: int
) -> None:
    configuration = decode(entries)
    assert len(configuration.routes) == len(ROUTES)
    assert [a.account for a in configuration.accounts] == accounts
    assert len(configuration.account_problems) == faults
    assert configuration.has_accounts == bool(accounts or faults)
    for account in configuration.accounts:
        assert account.rate_per_s >= 0
        assert account.burst >= 1 or not account.has_quota


def test_the_command_names_faults_and_no_keys(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    document = {"version": 7, "routes": ROUTES, "services": []}

    def check(tenants: Any) -> Result:
        path.write_bytes(orjson.dumps({**document, "tenants": tenants}))
        arguments = ["entry", "check-configuration", str(path)]
        result = CliRunner().invoke(main, arguments)
        assert KEY not in result.output
        return result

    sound = check([NORTH, SOUTH])
    assert sound.exit_code == 0
    assert "version 7, 2 accounts, 0 faults" in sound.output
    faulty = check([NORTH, {**SOUTH, "api_keys": [KEY]}])
    assert faulty.exit_code == 2
    assert "key 0 belongs to account 'north'" in faulty.output
    path.write_bytes(b"{")
    arguments = ["entry", "check-configuration", str(path)]
    assert CliRunner().invoke(main, arguments).exit_code == 2


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 2**63)
    | st.floats()
    | st.sampled_from(["key", "", "\u20ac", "a b", "north", "\ud7ff\n"]),
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [*NORTH, "rate_per_s", "burst", "api_key_digests"]
            ),
            values,
            max_size=5,
        )
    ),
)


# Guards against an entry that makes the whole configuration unreadable.
@given(JSON)
def test_any_accounts_can_be_decoded(entries: Any) -> None:
    assert len(decode(entries).routes) == len(ROUTES)


# Guards against a deployment that is open because no account is readable.
def test_without_a_readable_account_nothing_is_served(
    harness: EntryVmHarness, target: FakeTarget
) -> None:
    harness.configure(ACCOUNT_ROUTES, tenants="north")
    harness.reactor.run(1.0)
    assert status_of(harness.send_request("/maps/x", headers=WITH_KEY)) == 503
    assert status_of(harness.send_request("/open/x", headers=WITH_KEY)) == 200


def test_ten_thousand_accounts_are_all_known(harness: EntryVmHarness) -> None:
    many = [
        {"name": f"a{n}", "api_keys": [f"k{n}-{m}" for m in range(3)]}
        for n in range(10_000)
    ]
    harness.configure(ACCOUNT_ROUTES, tenants=many)
    harness.start()
    accounts = harness.vm._view.configuration.accounts
    found = accounts.find(ApiKey("k9999-2"))
    assert found is not None
    assert found.account == "a9999"
    assert accounts.find(ApiKey("k10000-0")) is None


def test_the_priority_of_an_account_goes_before_its_routes(
    harness: EntryVmHarness,
) -> None:
    urgent = {**NORTH, "priority": 0}
    patient = {**SOUTH, "priority": 2}
    routes = [{**ROUTES[2], "priority": 1}]
    harness.configure(routes, tenants=[urgent, patient])
    engine = harness.add_target("engine", stream, service="engines")
    harness.start()
    for key in (KEY, "key-of-south"):
        headers = f"Authorization: Bearer {key}\r\n"
        harness.send_request("/plan/x", headers=headers)
    levels = [int(r.headers[b"x-request-urgency"]) for r in engine.requests]
    assert levels == [2, 8]
