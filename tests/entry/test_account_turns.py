"""Turns of conversations that belong to accounts."""

from __future__ import annotations

from typing import Any

import pytest

from lycheestall.conversations import (
    ConversationTurn,
    ConversationTurnId,
    TurnRecord,
    encode_turn,
    own_turn_id,
)
from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_network import FakeTarget, ReceivedRequest

TENANTS: list[dict[str, Any]] = [
    {"name": "north", "api_keys": ["key-north"]},
    {"name": "south", "api_keys": ["key-south"]},
]
OPEN_CHAT = {**ROUTES[3], "path_prefix": "/open/", "anonymous": True}


def answer(request: ReceivedRequest) -> None:
    request.start_stream()
    request.send_event(1)
    request.end_stream()


@pytest.fixture
def engine(harness: EntryVmHarness) -> FakeTarget:
    """The only engine of a VM whose configuration has accounts."""
    harness.configure([*ROUTES, OPEN_CHAT], tenants=TENANTS)
    target = harness.add_target("engine", answer, service="engines")
    harness.start()
    return target


def ask(
    harness: EntryVmHarness,
    request_id: str,
    account: str | None,
    *,
    previous: str | None = None,
    path: str = "/chat/x",
) -> int:
    headers = f"Authorization: Bearer key-{account}\r\n" if account else ""
    if previous is not None:
        headers += f"X-Previous-Turn: {previous}\r\n"
    data = harness.send_request(
        path,
        method="POST",
        body=f"{request_id};",
        headers=headers,
        request_id=request_id,
        run_s=0.5,
    )
    return status_of(data)


def test_a_turn_is_found_by_its_own_account_only(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    assert ask(harness, "t1", "north") == 200
    assert ask(harness, "t2", "south", previous="t1") == 404
    assert ask(harness, "t4", None, previous="t1", path="/open/x") == 404
    assert ask(harness, "t5", "north", previous="t1") == 200
    assert len(engine.requests) == 2
    assert engine.requests[1].headers[b"x-previous-turn"] == b"t1"


# Guards against a turn of one account that replaces another one's.
def test_equal_ids_of_two_accounts_are_two_turns(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    assert ask(harness, "t1", "north") == 200
    assert ask(harness, "t1", "south") == 200
    assert ask(harness, "t2", "south", previous="t1") == 200
    records = harness.log.newest(Topic.TURNS)
    assert len(records) == 3
    # A VM that has started again finds each in the store.
    other = EntryVmHarness(reactor=harness.reactor, log=harness.log)
    other.start()
    assert ask(other, "t3", "north", previous="t1") == 200
    assert ask(other, "t4", "north", previous="t2") == 404


def test_anonymous_turns_continue_each_other(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    assert ask(harness, "t1", None, path="/open/x") == 200
    assert ask(harness, "t2", None, previous="t1", path="/open/x") == 200
    assert ask(harness, "t3", "north", previous="t1") == 404


def test_records_without_an_account_belong_to_none(
    harness: EntryVmHarness, engine: FakeTarget
) -> None:
    turn = ConversationTurn(ConversationTurnId("t0"), (), b"a", b"b", 60.0)
    record = TurnRecord(turn, 4_000_000_000)
    harness.log.put(Topic.TURNS, KeyedWrite(record.key, encode_turn(turn)))
    assert ask(harness, "t1", "north", previous="t0") == 404
    assert ask(harness, "t2", None, previous="t0", path="/open/x") == 404
    harness.configure(ROUTES)
    harness.reactor.run(1.0)
    assert ask(harness, "t3", None, previous="t0") == 200


def test_without_accounts_records_are_as_before() -> None:
    turn_id = own_turn_id("t1", None)
    record = encode_turn(ConversationTurn(turn_id, (), b"a", b"b", 60.0))
    assert record.hex() == "86016274318041614162fb404e000000000000"
