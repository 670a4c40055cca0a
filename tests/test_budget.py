"""State machine tests of a program's budget."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheestall.budget import (
    Budget,
    DrawNeeded,
    Exhausted,
    ReservationId,
    Reserved,
)
from lycheestall.ledger_program import Spend
from lycheestall.rules.rule_set import ProgramLimits

LIMIT = 400
LIMITS = ProgramLimits(LIMIT, 40, None, None, None, {})


class _BudgetMachine(RuleBasedStateMachine):
    """Compares actual costs with the limit across owner failures."""

    budget_class = Budget

    def __init__(self) -> None:
        super().__init__()
        self.budget = self.budget_class()
        self.granted: Spend | None = None
        self.requested = Spend()
        self.in_flight: dict[ReservationId, Spend] = {}
        self.cost = Spend()

    @rule(tokens=st.sampled_from([20, 60, 150]))
    def reserve(self, tokens: int) -> None:
        amount = Spend(tokens, 1, 3)
        result = self.budget.reserve(amount, LIMITS)
        if isinstance(result, DrawNeeded):
            self.requested = result.totals
        if isinstance(result, Reserved):
            self.in_flight[result.reservation] = amount

    @rule(tokens=st.sampled_from([60, 150]), lost=st.booleans())
    def run(self, tokens: int, lost: bool) -> None:
        amount = Spend(tokens, 1, 3)
        result = self.budget.reserve(amount, LIMITS)
        if isinstance(result, DrawNeeded):
            self.requested = result.totals
            self.draw(answer_lost=False)
            result = self.budget.reserve(amount, LIMITS)
        if not isinstance(result, Reserved):
            return
        self.cost = self.cost.plus(amount)
        if lost:
            self.budget.charge_in_full(result.reservation)
        else:
            self.budget.settle(result.reservation, amount)

    @rule(data=st.data(), share=st.sampled_from([0.0, 0.3, 1.0]))
    def settle(self, data: st.DataObject, share: float) -> None:
        if not self.in_flight:
            return
        name = data.draw(st.sampled_from(sorted(self.in_flight)))
        amount = self.in_flight.pop(name)
        actual = Spend(int(amount.tokens * share), 1, 3)
        self.cost = self.cost.plus(actual)
        self.budget.settle(name, actual)

    @rule(data=st.data(), ran=st.booleans())
    def lose_outcome(self, data: st.DataObject, ran: bool) -> None:
        if not self.in_flight:
            return
        name = data.draw(st.sampled_from(sorted(self.in_flight)))
        amount = self.in_flight.pop(name)
        if ran:
            self.cost = self.cost.plus(amount)
        self.budget.charge_in_full(name)

    @rule(data=st.data())
    def refuse(self, data: st.DataObject) -> None:
        if self.in_flight:
            name = data.draw(st.sampled_from(sorted(self.in_flight)))
            self.in_flight.pop(name)
            self.budget.release(name)

    @rule(answer_lost=st.booleans())
    def draw(self, answer_lost: bool) -> None:
        self.granted = (self.granted or Spend()).max_with(self.requested)
        if not answer_lost:
            self.budget.record_grant(self.granted)

    @rule()
    def fail_owner(self) -> None:
        for amount in self.in_flight.values():
            self.cost = self.cost.plus(amount)
        self.in_flight = {}
        self.budget = self.budget_class.after_takeover(
            self.granted, LIMITS, may_have_unrecorded_spend=True
        )
        self.requested = Spend()

    @rule()
    def hand_over(self) -> None:
        for name, amount in self.in_flight.items():
            self.cost = self.cost.plus(amount)
            self.budget.charge_in_full(name)
        self.in_flight = {}
        self.budget = self.budget_class.restored(self.budget.dump())

    @invariant()
    def cost_stays_within_limit(self) -> None:
        reserved = sum(amount.tokens for amount in self.in_flight.values())
        assert self.cost.tokens + reserved <= LIMIT
        assert self.cost.calls + len(self.in_flight) <= 40


class _FreeLostCalls(Budget):
    """Fault: calls with an unknown outcome cost nothing."""

    def charge_in_full(self, reservation: ReservationId) -> None:
        self.release(reservation)


class _UncountedTakeover(Budget):
    """Fault: a takeover counts nothing as spent."""

    @classmethod
    def after_takeover(
        cls,
        drawn: Spend | None,
        limits: ProgramLimits,
        *,
        may_have_unrecorded_spend: bool,
    ) -> Budget:
        return cls(drawn=drawn or Spend())


def _run(budget: type[Budget]) -> None:
    machine = type("Machine", (_BudgetMachine,), {"budget_class": budget})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            phases=(Phase.generate,),
        ),
    )


def test_spend_stays_within_the_limit() -> None:
    _run(Budget)


@pytest.mark.parametrize("faulty", [_FreeLostCalls, _UncountedTakeover])
def test_injected_fault_fails_the_check(faulty: type[Budget]) -> None:
    with pytest.raises(AssertionError):
        _run(faulty)


def test_reservation_succeeds_after_draw() -> None:
    budget = Budget()
    amount = Spend(240, 1, 0)
    needed = budget.reserve(amount, LIMITS)
    assert isinstance(needed, DrawNeeded)
    budget.record_grant(needed.totals)
    assert isinstance(budget.reserve(amount, LIMITS), Reserved)
    assert isinstance(budget.reserve(amount, LIMITS), Exhausted)


def test_takeover_charges_only_the_unrecorded_allowance() -> None:
    budget = Budget.after_takeover(
        None, LIMITS, may_have_unrecorded_spend=True
    )
    assert isinstance(budget.reserve(Spend(351, 1, 0), LIMITS), Exhausted)
    assert isinstance(budget.reserve(Spend(350, 1, 0), LIMITS), DrawNeeded)


def test_owner_failure_costs_no_money() -> None:
    limits = ProgramLimits(None, None, 600, None, None, {})
    budget = Budget()
    price = Spend(0, 1, 150)
    needed = budget.reserve(price, limits)
    assert isinstance(needed, DrawNeeded)
    assert needed.totals.money_micros == 150
    budget.record_grant(needed.totals)
    assert isinstance(budget.reserve(price, limits), Reserved)
    successor = Budget.after_takeover(
        budget.drawn, limits, may_have_unrecorded_spend=True
    )
    assert successor.spent.money_micros == 150
