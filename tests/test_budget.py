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
from lycheestall.rules.rule_book import ProgramLimits

LIMIT = 400
LIMITS = ProgramLimits(LIMIT, 40, None, None, None, {})


class _BudgetMachine(RuleBasedStateMachine):
    """Adds up what calls really cost, through owners' losses."""

    budget_class = Budget

    def __init__(self) -> None:
        super().__init__()
        self.budget = self.budget_class()
        self.in_log: Spend | None = None
        self.asked = Spend()
        self.open: dict[ReservationId, Spend] = {}
        self.cost = Spend()

    @rule(tokens=st.sampled_from([20, 60, 150]))
    def reserve(self, tokens: int) -> None:
        amount = Spend(tokens, 1, 3)
        result = self.budget.reserve(amount, LIMITS)
        if isinstance(result, DrawNeeded):
            self.asked = result.totals
        if isinstance(result, Reserved):
            self.open[result.reservation] = amount

    @rule(tokens=st.sampled_from([60, 150]), lost=st.booleans())
    def run(self, tokens: int, lost: bool) -> None:
        amount = Spend(tokens, 1, 3)
        result = self.budget.reserve(amount, LIMITS)
        if isinstance(result, DrawNeeded):
            self.asked = result.totals
            self.draw(answer_lost=False)
            result = self.budget.reserve(amount, LIMITS)
        if not isinstance(result, Reserved):
            return
        self.cost = self.cost.plus(amount)
        if lost:
            self.budget.keep(result.reservation)
        else:
            self.budget.settle(result.reservation, amount)

    @rule(data=st.data(), share=st.sampled_from([0.0, 0.3, 1.0]))
    def settle(self, data: st.DataObject, share: float) -> None:
        if not self.open:
            return
        name = data.draw(st.sampled_from(sorted(self.open)))
        amount = self.open.pop(name)
        actual = Spend(int(amount.tokens * share), 1, 3)
        self.cost = self.cost.plus(actual)
        self.budget.settle(name, actual)

    @rule(data=st.data(), ran=st.booleans())
    def lose_answer(self, data: st.DataObject, ran: bool) -> None:
        if not self.open:
            return
        name = data.draw(st.sampled_from(sorted(self.open)))
        amount = self.open.pop(name)
        if ran:
            self.cost = self.cost.plus(amount)
        self.budget.keep(name)

    @rule(data=st.data())
    def refuse(self, data: st.DataObject) -> None:
        if self.open:
            name = data.draw(st.sampled_from(sorted(self.open)))
            self.open.pop(name)
            self.budget.release(name)

    @rule(answer_lost=st.booleans())
    def draw(self, answer_lost: bool) -> None:
        self.in_log = (self.in_log or Spend()).at_least(self.asked)
        if not answer_lost:
            self.budget.granted(self.in_log)

    @rule()
    def lose_owner(self) -> None:
        for amount in self.open.values():
            self.cost = self.cost.plus(amount)
        self.open = {}
        self.budget = self.budget_class.taken_over(
            self.in_log, LIMITS, unproven=True
        )
        self.asked = Spend()

    @rule()
    def hand_over(self) -> None:
        for name, amount in self.open.items():
            self.cost = self.cost.plus(amount)
            self.budget.keep(name)
        self.open = {}
        self.budget = self.budget_class.restored(self.budget.dump())

    @invariant()
    def never_over_the_limit(self) -> None:
        reserved = sum(amount.tokens for amount in self.open.values())
        assert self.cost.tokens + reserved <= LIMIT
        assert self.cost.calls + len(self.open) <= 40


class _Forgiving(Budget):
    """Breaks the rule on lost answers: they cost nothing."""

    def keep(self, reservation: ReservationId) -> None:
        self.release(reservation)


class _Trusting(Budget):
    """Breaks the rule on takeovers: only what the log says is spent."""

    @classmethod
    def taken_over(
        cls, drawn: Spend | None, limits: ProgramLimits, *, unproven: bool
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


@pytest.mark.parametrize("broken", [_Forgiving, _Trusting])
def test_broken_budget_is_found(broken: type[Budget]) -> None:
    with pytest.raises(AssertionError):
        _run(broken)


def test_a_draw_lets_the_call_through() -> None:
    budget = Budget()
    amount = Spend(240, 1, 0)
    needed = budget.reserve(amount, LIMITS)
    assert isinstance(needed, DrawNeeded)
    budget.granted(needed.totals)
    assert isinstance(budget.reserve(amount, LIMITS), Reserved)
    assert isinstance(budget.reserve(amount, LIMITS), Exhausted)


def test_an_unproven_program_keeps_all_but_the_allowance() -> None:
    budget = Budget.taken_over(None, LIMITS, unproven=True)
    assert isinstance(budget.reserve(Spend(351, 1, 0), LIMITS), Exhausted)
    assert isinstance(budget.reserve(Spend(350, 1, 0), LIMITS), DrawNeeded)


def test_an_owners_death_costs_no_money() -> None:
    limits = ProgramLimits(None, None, 600, None, None, {})
    budget = Budget()
    price = Spend(0, 1, 150)
    needed = budget.reserve(price, limits)
    assert isinstance(needed, DrawNeeded)
    assert needed.totals.money_micros == 150
    budget.granted(needed.totals)
    assert isinstance(budget.reserve(price, limits), Reserved)
    successor = Budget.taken_over(budget.drawn, limits, unproven=True)
    assert successor.spent.money_micros == 150
