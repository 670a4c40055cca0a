"""Permits for requests to targets that name a limit."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.entry.limit_waits import (
    FIRST_TURN_RETRY_S,
    RESUME_WAIT_S,
    STARTED_WAIT_S,
    max_wait_s,
    retry_after_s,
)
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import decode, encode
from lycheestall.entry.permit_bucket import (
    BURST_S,
    MIN_RATE_PER_S,
    PermitBucket,
)
from lycheestall.entry.permit_deciders import DECIDERS, PermitDeciders
from lycheestall.entry.permit_messages import (
    AskPermit,
    ChangedLimits,
    LimitNews,
    PermitAnswer,
)
from lycheestall.entry.store import KeyedRecord
from lycheestall.entry.target_table import TargetProcess
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, TargetId, ZoneId

NEWS = LimitNews("t1", 5, 7.1, 0.25)


@given(
    rate_per_s=st.floats(0.5, 200.0),
    gaps_s=st.lists(st.floats(0.0, 0.6), min_size=1, max_size=80),
    max_wait_s=st.floats(0.0, 1.0),
)
def test_no_window_holds_more_than_the_rate_and_a_burst(
    rate_per_s: float, gaps_s: list[float], max_wait_s: float
) -> None:
    bucket, now, starts = PermitBucket(), 100.0, []
    for gap_s in gaps_s:
        now += gap_s
        slot = bucket.take(rate_per_s, now, max_wait_s=max_wait_s)
        if slot.taken:
            assert slot.wait_s <= max_wait_s
            starts.append(now + slot.wait_s)
    assert starts == sorted(starts)
    for first, start in enumerate(starts):
        for last in range(first, len(starts)):
            window_s = starts[last] - start
            allowed = rate_per_s * (window_s + BURST_S) + 1
            assert last - first + 1 <= allowed + 1e-6


def test_a_slot_that_nobody_would_wait_for_stays_free() -> None:
    bucket = PermitBucket()
    while bucket.take(2.0, 0.0, max_wait_s=0.0).taken:
        pass
    denied = bucket.take(2.0, 0.0, max_wait_s=0.0)
    later = bucket.take(2.0, denied.wait_s, max_wait_s=0.0)
    assert later.taken
    assert later.wait_s == 0.0


def test_a_limit_of_zero_still_lets_a_request_ask_from_time_to_time() -> None:
    bucket = PermitBucket()
    assert bucket.take(0.0, 0.0, max_wait_s=0.0).taken
    assert not bucket.take(0.0, 1.0, max_wait_s=0.0).taken
    assert bucket.take(0.0, 1.0 / MIN_RATE_PER_S, max_wait_s=0.0).taken


@pytest.mark.parametrize(
    "message",
    [
        AskPermit(HolderId("vm-1"), 0.5, NEWS),
        PermitAnswer(True, 0.1, LimitNews("t1", 5, None, 0.0)),
        ChangedLimits(HolderId("vm-1"), (NEWS, LimitNews("t2", 1, 0.0, 1.0))),
    ],
)
def test_a_message_survives_encoding_and_decoding(
    message: AskPermit | PermitAnswer | ChangedLimits,
) -> None:
    assert decode(encode(message)) == message


def test_the_age_of_news_and_not_its_time_is_sent() -> None:
    report = NEWS.to_report(50.0)
    assert report.heard_at == 49.75
    assert LimitNews.from_report(report, 60.0).age_s == 10.25


def join(members: Members, number: int, *, incarnation: int) -> None:
    """Adds a run of a VM's process to the members."""
    holder = HolderId(f"vm-{number}.{incarnation}")
    address = Address(f"10.0.0.{number}", 4)
    write = join_record(Member(holder, address, ZoneId("z")))
    offset = Offset(incarnation * 100 + number)
    assert members.apply(KeyedRecord(offset, write.key, write.value))


def test_a_restart_moves_no_decision_to_another_vm() -> None:
    members = Members()
    for number in range(30):
        join(members, number, incarnation=1)
    deciders = PermitDeciders(members)
    processes = [TargetProcess(TargetId(f"t{n}"), 1) for n in range(40)]
    before = [
        [member.address for member in deciders.ranked(process)]
        for process in processes
    ]
    for number in range(0, 30, 2):
        join(members, number, incarnation=2)
    after = [
        [member.address for member in deciders.ranked(process)]
        for process in processes
    ]
    assert after == before
    assert all(len(ranked) == DECIDERS for ranked in after)
    assert len({ranked[0] for ranked in after}) > 10


def test_a_new_program_does_not_wait_and_comes_back_later() -> None:
    wait_s = max_wait_s(first_turn=True, may_have_run=False, remaining_s=3.0)
    assert wait_s == 0.0
    assert retry_after_s(0.0, first_turn=True) == FIRST_TURN_RETRY_S
    assert retry_after_s(2.0, first_turn=True) == 2.0


@pytest.mark.parametrize(
    ("remaining_s", "expected_s"),
    [(3.0, STARTED_WAIT_S), (0.4, 0.1), (-1.0, 0.0)],
)
def test_other_requests_wait_within_their_deadline(
    remaining_s: float, expected_s: float
) -> None:
    wait_s = max_wait_s(
        first_turn=False, may_have_run=False, remaining_s=remaining_s
    )
    assert wait_s == expected_s


def test_a_request_that_may_have_run_waits_longest() -> None:
    for first_turn in (False, True):
        wait_s = max_wait_s(
            first_turn=first_turn, may_have_run=True, remaining_s=3.0
        )
        assert wait_s == RESUME_WAIT_S
