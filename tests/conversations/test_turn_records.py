"""Records of turns, their keys and shards, and when they are deleted."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.conversations import (
    ConversationTurn,
    ConversationTurnId,
    ExpiredRecords,
    TurnRecord,
    UnreadableTurn,
    decode_turn,
    encode_turn,
    record_expiry,
    record_key_prefix,
    shard_of,
)
from lycheestall.conversations.expired_records import (
    EXPIRY_SLACK_S,
    MAX_DELAY_S,
)
from lycheestall.conversations.turn_records import (
    MAX_RETENTION_S,
    ShardNumber,
)

SHARD = ShardNumber(3)


@given(
    st.text(max_size=20),
    st.lists(st.text(max_size=20), max_size=4),
    st.binary(max_size=40),
    st.binary(max_size=40),
)
def test_a_turn_is_decoded_as_it_was_encoded(
    name: str, ancestors: list[str], turn_input: bytes, output: bytes
) -> None:
    turn = ConversationTurn(
        turn_id=ConversationTurnId(name),
        ancestors=tuple(ConversationTurnId(a) for a in ancestors),
        input=turn_input,
        output=output,
        retention_s=60.0,
    )
    assert decode_turn(encode_turn(turn)) == turn


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps({"a": 1}),
        cbor2.dumps([1, 2]),
        cbor2.dumps([9, "a", [], b"", b"", 1.0]),
        cbor2.dumps([1, 7, [], b"", b"", 1.0]),
        cbor2.dumps([1, "a", [7], b"", b"", 1.0]),
        cbor2.dumps([1, "a", [], "text", b"", 1.0]),
        cbor2.dumps([1, "a", [], b"", b"", "60"]),
        cbor2.dumps([1, "a", [], b"", b"", 2**2000]),
        cbor2.dumps([1, "a", [], b"", b"", -1]),
        cbor2.dumps([1, "a", [], b"", b"", float("inf")]),
        cbor2.dumps([1, "a", [], b"", b"", float("nan")]),
        b"\x81" * 200_000,
    ],
)
def test_a_record_that_cannot_be_read_is_named_as_such(data: bytes) -> None:
    assert isinstance(decode_turn(data), UnreadableTurn)


@given(st.binary(max_size=60))
def test_no_bytes_make_decoding_fail(data: bytes) -> None:
    decode_turn(data)


@given(st.integers(min_value=-(2**2000), max_value=2**2000) | st.floats())
def test_only_sound_retention_times_are_accepted(
    retention_s: float,
) -> None:
    turn = decode_turn(cbor2.dumps([1, "a", [], b"", b"", retention_s]))
    if isinstance(turn, ConversationTurn):
        assert 0 <= turn.retention_s <= MAX_RETENTION_S


def test_a_later_record_of_a_turn_has_another_key() -> None:
    turn = ConversationTurn(ConversationTurnId("a"), (), b"", b"", 60.0)
    early, late = TurnRecord(turn, 100), TurnRecord(turn, 200)
    assert early.key != late.key
    prefix = record_key_prefix(turn.turn_id).encode()
    assert early.key.startswith(prefix)
    assert early.key > prefix
    assert record_expiry(late.key) == 200


def test_the_expiry_of_a_foreign_key_is_unknown() -> None:
    assert record_expiry(b"anything") is None
    assert record_expiry(b"any.thing") is None


def test_turns_spread_over_all_shards() -> None:
    shards = {
        shard_of(ConversationTurnId(f"turn-{n}"), 16) for n in range(400)
    }
    assert shards == set(range(16))


def test_a_record_is_deleted_only_after_its_expiry_and_clock_slack() -> None:
    expired = ExpiredRecords()
    expired.add(SHARD, b"k", 1000)
    assert expired.take_due(SHARD, 1000 + EXPIRY_SLACK_S - 1) == []
    assert expired.take_due(ShardNumber(4), 9999) == []
    assert expired.take_due(SHARD, 1000 + EXPIRY_SLACK_S) == [b"k"]
    assert expired.take_due(SHARD, 9999) == []


def test_a_deletion_waits_for_another_append_but_not_for_ever() -> None:
    expired = ExpiredRecords()
    expired.add(SHARD, b"k", 1000)
    due = 1000 + EXPIRY_SLACK_S
    assert expired.overdue_shards(due) == []
    assert expired.overdue_shards(due + MAX_DELAY_S) == [SHARD]


def test_a_failed_deletion_is_due_again() -> None:
    expired = ExpiredRecords()
    expired.add(SHARD, b"k", 0)
    keys = expired.take_due(SHARD, 5000)
    expired.put_back(SHARD, keys, 5000)
    assert expired.take_due(SHARD, 5000) == [b"k"]
