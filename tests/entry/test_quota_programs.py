"""Accounts that ask for more than their quotas, and accounts that don't."""

from __future__ import annotations

import pytest

from lycheestall.entry.accounts import Account, AccountId
from lycheestall.entry.quotas.program_admission import ProgramAdmission
from tests.entry.quota_simulation import (
    SETTINGS,
    ProgramLoad,
    QuotaSystem,
    allowed,
    most_in_window,
)

LARGE = Account(AccountId("large"), rate_per_s=45.0, burst=45.0)
MIDDLE = Account(AccountId("middle"), rate_per_s=15.0, burst=15.0)
SMALL = Account(AccountId("small"), rate_per_s=6.0, burst=6.0)


def assert_window(system: QuotaSystem, account: Account) -> None:
    """Asserts that targets ran no more than a window may hold."""
    times = system.run_at_by_account[account.account]
    assert most_in_window(times, SETTINGS.window_s) <= allowed(account)


# The load: one account sends seven times its quota, another one half of its
# own. Guards against programs that are refused half-way, and against one
# account being served at the cost of another.
@pytest.mark.parametrize(
    ("account", "requests", "gap_s"),
    [(LARGE, 6, 0.25), (MIDDLE, 3, 0.1), (MIDDLE, 12, 0.5)],
)
def test_an_account_at_seven_times_its_quota_finishes_whole_programs(
    account: Account, requests: int, gap_s: float
) -> None:
    system = QuotaSystem(vms=10, accounts=[account, SMALL])
    greedy = ProgramLoad(
        system, account, excess=7.0, requests=requests, gap_s=gap_s
    )
    modest = ProgramLoad(system, SMALL, excess=0.5, requests=1)
    modest.start()
    greedy.run(25.0)
    assert greedy.goodput(25.0) >= 0.9
    assert greedy.finished >= 0.98 * greedy.begun
    assert modest.finished >= 0.95 * modest.offered
    assert_window(system, account)
    assert_window(system, SMALL)


# The load: programs ask for 0.95 of the quota, a third of the VMs get all of
# them. Guards against a quota that is only usable if the load is even.
@pytest.mark.parametrize("vms", [1, 10, 80, 1000])
def test_nearly_all_of_the_quota_is_usable_wherever_the_load_is(
    vms: int,
) -> None:
    system = QuotaSystem(vms=vms, accounts=[LARGE])
    load = ProgramLoad(
        system, LARGE, excess=0.95, requests=2, vms=max(1, vms // 3)
    )
    load.run(20.0)
    assert load.goodput(20.0) >= 0.93
    assert load.begun >= 0.97 * load.offered
    assert_window(system, LARGE)


# Guards against refused programs that come back all at once, or in another
# order than they came in.
def test_refused_programs_are_told_to_return_one_after_the_other() -> None:
    programs = ProgramAdmission()
    delays_s = [
        programs.retry_after_s(
            f"p{number}", rate_per_s=8.0, remaining_s=30.0, now=5.0
        )
        for number in range(6)
    ]
    assert delays_s == sorted(delays_s)
    assert delays_s[0] >= 0.3
    assert delays_s[5] - delays_s[1] == pytest.approx(4 * 4.0 / 8.0)
    late_s = programs.retry_after_s(
        "p9", rate_per_s=8.0, remaining_s=1.0, now=5.0
    )
    assert late_s > delays_s[5]
    assert programs.retry_after_s(
        "p1", rate_per_s=8.0, remaining_s=30.0, now=6.0
    ) == pytest.approx(delays_s[1])


# Guards against new programs that use up what running ones need.
def test_a_new_program_leaves_the_stock_to_programs_that_have_begun() -> None:
    programs = ProgramAdmission()
    begun = 0
    for number in range(100):
        if programs.may_start(
            f"p{number}", level=8.0, capacity=20.0, rate_per_s=8.0, now=1.0
        ):
            programs.record(f"p{number}", 1.0)
            begun += 1
    assert 4 <= begun <= 8
    assert programs.has_begun("p0")
    assert not programs.has_begun("p99")
