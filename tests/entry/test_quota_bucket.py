"""The permits of an account that its deciding VM has in stock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheestall.entry.quotas.quota_bucket import QuotaBucket


# Guards against permits that are given back late and then granted a second
# time on top of a stock that was full in between.
@given(
    steps=st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(0, 12), st.integers(0, 6)),
        max_size=40,
    )
)
def test_no_window_holds_more_than_the_rate_and_the_burst(
    steps: list[tuple[float, int, int]],
) -> None:
    rate_per_s, burst, now = 6.0, 8.0, 10.0
    bucket = QuotaBucket(
        rate_per_s=rate_per_s, capacity=burst, level=burst, now=now
    )
    used: list[float] = []
    for gap_s, taken, returned in steps:
        now += gap_s
        for _ in range(taken):
            if bucket.take(now, max_wait_s=0.0).taken:
                used.append(now)
        for granted_at in used[:returned]:
            bucket.give_back(granted_at, 1, now)
        del used[:returned]
        for first, at in enumerate(used):
            carried = burst + rate_per_s * (now - at)
            assert len(used) - first <= carried + 1e-6


# Guards against an account that loses what was never run.
def test_a_permit_that_is_given_back_can_be_granted_again() -> None:
    bucket = QuotaBucket(rate_per_s=1.0, capacity=2.0, level=2.0, now=0.0)
    assert bucket.take(0.0, max_wait_s=0.0).taken
    assert bucket.take(0.1, max_wait_s=0.0).taken
    assert not bucket.take(0.2, max_wait_s=0.0).taken
    bucket.give_back(0.1, 1, 0.3)
    assert bucket.take(0.3, max_wait_s=0.0).taken
    bucket.give_back(7.0, 1, 0.4)
    assert not bucket.take(0.4, max_wait_s=0.0).taken


# Guards against a stock that was filled under the old quota.
def test_a_lowered_quota_cuts_the_stock_at_once() -> None:
    bucket = QuotaBucket(rate_per_s=9.0, capacity=90.0, level=90.0, now=0.0)
    bucket.change(rate_per_s=2.0, capacity=3.0, now=0.0)
    assert bucket.level(0.0) == 3.0
    assert bucket.level(100.0) == 3.0


# Guards against permits for a time in which another VM decided.
def test_nothing_is_added_for_a_time_that_was_missed_or_steps_back() -> None:
    bucket = QuotaBucket(rate_per_s=1.0, capacity=9.0, level=0.0, now=50.0)
    bucket.skip(58.0)
    assert bucket.level(58.0) == 0.0
    assert bucket.level(40.0) == 0.0
    assert bucket.level(60.0) == 2.0
