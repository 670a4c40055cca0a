"""Tests of a VM's portions together with the fold that grants them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.account_portions import (
    AccountPortions,
    LimitReached,
    LimitReservation,
    LimitReserveResult,
    PortionNeeded,
)
from lycheestall.ids import AccountId, Offset, SessionId
from lycheestall.portions import Portions
from lycheestall.rules.rule_set import AccountLimit, LimitKind, RuleLine

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

    def reserve(self, need: int, now: float = 0.0) -> LimitReserveResult:
        result = self.try_reserve(need, now)
        if isinstance(result, PortionNeeded):
            for record in result.records:
                verdict = self.fold.apply(Offset(0), self.session, record)
                self.portions.record_reply(
                    record, accepted=verdict.accepted, now=now
                )
        return result

    def try_reserve(self, need: int, now: float) -> LimitReserveResult:
        return self.portions.reserve(
            ACCOUNT,
            [self.limit],
            {self.limit.kind: need},
            now=now,
            now_ms=int(now * 1000),
        )

    def reserve_until_decided(self, need: int) -> LimitReserveResult:
        for _ in range(4):
            result = self.reserve(need)
            if not isinstance(result, PortionNeeded):
                return result
        return result


steps = st.lists(st.tuples(st.integers(0, 2), st.integers(1, 40)), max_size=40)


def _used(fold: Portions, calls: list[tuple[int, int]]) -> int:
    vms = [_Vm(f"s{index}", fold, TOKENS) for index in range(3)]
    used = 0
    for index, need in calls:
        if isinstance(
            vms[index].reserve_until_decided(need), LimitReservation
        ):
            used += need
    return used


@given(calls=steps)
def test_vms_together_stay_within_the_limit(
    calls: list[tuple[int, int]],
) -> None:
    assert _used(Portions(), calls) <= TOKENS.amount


def test_unlimited_grants_fail_the_check() -> None:
    class GrantsEverything(Portions):
        def allocated(self, limit):  # type: ignore[no-untyped-def]
            return 0

    with pytest.raises(AssertionError):
        assert (
            _used(GrantsEverything(), [(0, 40), (1, 40), (2, 40)] * 3) <= 160
        )


def test_idle_portion_is_returned() -> None:
    fold = Portions()
    busy, idle = _Vm("s1", fold, CONCURRENCY), _Vm("s2", fold, CONCURRENCY)
    reservations = [idle.reserve_until_decided(1) for _ in range(2)]
    assert isinstance(busy.reserve_until_decided(1), LimitReached)
    for reservation in reservations:
        assert isinstance(reservation, LimitReservation)
        idle.portions.settle(reservation, {})
    for record in idle.portions.return_idle(60.0):
        assert fold.apply(Offset(0), idle.session, record).accepted
    again = busy.reserve(1, 60.0)
    assert isinstance(again, PortionNeeded)
    assert isinstance(busy.reserve(1, 60.0), LimitReservation)


def test_settling_releases_the_unused_amount() -> None:
    vm = _Vm("s1", Portions(), TOKENS)
    reservation = vm.reserve_until_decided(160)
    assert isinstance(reservation, LimitReservation)
    assert isinstance(vm.reserve_until_decided(1), LimitReached)
    vm.portions.settle(reservation, {LimitKind.TOKENS: 100})
    assert isinstance(vm.reserve_until_decided(60), LimitReservation)


def test_refusal_tells_seconds_to_next_window() -> None:
    vm = _Vm("s1", Portions(), TOKENS)
    reached = vm.try_reserve(161, 45.0)
    assert reached == LimitReached(TOKENS, 15.0)
