"""Tests of a VM's portions against the fold that grants them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.account_portions import (
    AccountPortions,
    LimitReached,
    PortionNeeded,
    Use,
    UseResult,
)
from lycheestall.ids import AccountId, Offset, SessionId
from lycheestall.portions import Portions
from lycheestall.rules.rule_book import AccountLimit, LimitKind, RuleLine

ACCOUNT = AccountId("bronze")
LINE = RuleLine(3, "account bronze", "dealer desk")
TOKENS = AccountLimit("t", LimitKind.TOKENS, 160, 60.0, LINE)
CONCURRENCY = AccountLimit("c", LimitKind.CONCURRENCY, 2, 0.0, LINE)


class _Vm:
    def __init__(self, name: str, fold: Portions, limit: AccountLimit) -> None:
        self.session = SessionId(name)
        self.fold = fold
        self.limit = limit
        self.portions = AccountPortions()

    def use(self, need: int, now: float = 0.0) -> UseResult:
        result = self.ask(need, now)
        if isinstance(result, PortionNeeded):
            for record in result.records:
                verdict = self.fold.apply(Offset(0), self.session, record)
                self.portions.asked_for(
                    record, accepted=verdict.accepted, now=now
                )
        return result

    def ask(self, need: int, now: float) -> UseResult:
        return self.portions.use(
            ACCOUNT,
            [self.limit],
            {self.limit.kind: need},
            now=now,
            now_ms=int(now * 1000),
        )

    def use_until_settled(self, need: int) -> UseResult:
        for _ in range(4):
            result = self.use(need)
            if not isinstance(result, PortionNeeded):
                return result
        return result


steps = st.lists(st.tuples(st.integers(0, 2), st.integers(1, 40)), max_size=40)


def _used(fold: Portions, calls: list[tuple[int, int]]) -> int:
    vms = [_Vm(f"s{index}", fold, TOKENS) for index in range(3)]
    used = 0
    for index, need in calls:
        if isinstance(vms[index].use_until_settled(need), Use):
            used += need
    return used


@given(calls=steps)
def test_all_vms_together_stay_within_the_limit(
    calls: list[tuple[int, int]],
) -> None:
    assert _used(Portions(), calls) <= TOKENS.amount


def test_a_fold_that_grants_everything_is_found() -> None:
    class Lavish(Portions):
        def out(self, limit):  # type: ignore[no-untyped-def]
            return 0

    with pytest.raises(AssertionError):
        assert _used(Lavish(), [(0, 40), (1, 40), (2, 40)] * 3) <= 160


def test_an_idle_portion_comes_back() -> None:
    fold = Portions()
    busy, idle = _Vm("s1", fold, CONCURRENCY), _Vm("s2", fold, CONCURRENCY)
    uses = [idle.use_until_settled(1) for _ in range(2)]
    assert isinstance(busy.use_until_settled(1), LimitReached)
    for use in uses:
        assert isinstance(use, Use)
        idle.portions.settle(use, {})
    for record in idle.portions.idle(60.0):
        assert fold.apply(Offset(0), idle.session, record).accepted
    again = busy.use(1, 60.0)
    assert isinstance(again, PortionNeeded)
    assert isinstance(busy.use(1, 60.0), Use)


def test_settling_frees_what_was_not_used() -> None:
    vm = _Vm("s1", Portions(), TOKENS)
    use = vm.use_until_settled(160)
    assert isinstance(use, Use)
    assert isinstance(vm.use_until_settled(1), LimitReached)
    vm.portions.settle(use, {LimitKind.TOKENS: 100})
    assert isinstance(vm.use_until_settled(60), Use)


def test_the_refusal_names_the_next_window() -> None:
    vm = _Vm("s1", Portions(), TOKENS)
    reached = vm.ask(161, 45.0)
    assert reached == LimitReached(TOKENS, 15.0)
