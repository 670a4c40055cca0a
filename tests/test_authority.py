"""Tests of how a session's lease is computed."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheestall.authority import Authority
from lycheestall.ids import Offset, SessionId, StreamName

CELL, RULES = StreamName("cell"), StreamName("rules")
MEMBERS = [SessionId(name) for name in "abcde"]
LEASE_S = 4.0


def new_authority(members: int) -> Authority:
    lease = Authority(MEMBERS[0], CELL, [RULES], lease_s=LEASE_S)
    lease.set_members(frozenset(MEMBERS[:members]))
    lease.on_folded(CELL, Offset(9))
    lease.on_folded(RULES, Offset(3))
    return lease


def newest_offsets(cell: int, rules: int = 3) -> dict[StreamName, Offset]:
    return {CELL: Offset(cell), RULES: Offset(rules)}


def test_log_lease_needs_every_stream() -> None:
    lease = new_authority(1)
    lease.on_renewed(10.0)
    assert not lease.holds(10.1)
    lease.on_up_to_date(RULES, 8.0)
    assert lease.holds(11.9)
    assert not lease.holds(12.0)


def test_peer_lease_needs_a_majority_of_at_least_three() -> None:
    lease = new_authority(5)
    lease.on_reply(MEMBERS[1], 10.0, newest_offsets(9))
    assert not lease.holds(10.1)
    lease.on_reply(MEMBERS[2], 11.0, newest_offsets(9))
    assert lease.holds(13.9)
    assert not lease.holds(14.0)
    pair = new_authority(2)
    pair.on_reply(MEMBERS[1], 10.0, newest_offsets(9))
    assert not pair.holds(10.1)


def test_reply_with_newer_records_counts_once_they_are_folded() -> None:
    lease = new_authority(3)
    lease.on_reply(MEMBERS[1], 10.0, newest_offsets(10, 4))
    assert not lease.holds(10.1)
    lease.on_folded(CELL, Offset(10))
    assert not lease.holds(10.1)
    lease.on_folded(RULES, Offset(4))
    assert lease.holds(10.1)


def test_replies_of_non_members_do_not_count() -> None:
    lease = new_authority(3)
    lease.on_reply(SessionId("x"), 10.0, newest_offsets(9))
    lease.on_reply(SessionId("y"), 10.0, newest_offsets(9))
    assert not lease.holds(10.1)


@given(
    replies=st.lists(
        st.tuples(st.sampled_from(MEMBERS[1:]), st.integers(0, 100)),
        max_size=40,
    )
)
def test_peer_lease_starts_when_a_majority_had_been_asked(
    replies: list[tuple[SessionId, int]],
) -> None:
    lease = new_authority(5)
    newest: dict[SessionId, int] = {}
    for member, sent_at in replies:
        lease.on_reply(member, float(sent_at), newest_offsets(9))
        newest[member] = max(newest.get(member, -1), sent_at)
    asked_at = sorted(newest.values(), reverse=True)
    if len(asked_at) < 2:
        assert not lease.holds(0.0)
        return
    assert lease.valid_until == asked_at[1] + LEASE_S
