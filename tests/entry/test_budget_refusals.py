"""Reasons of turns whose budgets could not be checked."""

from __future__ import annotations

from lycheestall.entry.entry_metrics import EntryMetrics
from lycheestall.entry.outages.budget_refusals import (
    BudgetRefusal,
    RefusalReason,
)
from tests.entry.outage_simulation import OutageSimulation, Turn
from tests.entry.token_fleet import TokenFleet

MAX_TOKENS = 280
BUDGET = 2240


def refusal_of(turn: Turn) -> BudgetRefusal:
    """Returns why a turn was refused."""
    assert turn.results == [None]
    return turn.vm.reservations.take_refusal(turn.turn_id)


# Guards against refusals that nobody can tell apart.
def test_refusals_name_what_was_missing() -> None:
    simulation = OutageSimulation(vms=3)
    one, other, third = simulation.vms
    simulation.fail_store()
    one.step()
    early = simulation.ask(one, "early", max_tokens=MAX_TOKENS, budget=BUDGET)
    assert refusal_of(early).reason is RefusalReason.NO_AGREEMENT
    simulation.advance(1.0)
    for _ in range(8):
        turn = simulation.ask(
            one, "loop", max_tokens=MAX_TOKENS, budget=BUDGET
        )
        simulation.advance(0.1)
    refusal = refusal_of(turn)
    assert refusal.reason is RefusalReason.DECLINED
    assert refusal.age_label == "3"
    simulation.kill(other)
    simulation.kill(third)
    simulation.advance(1.5)
    alone = simulation.ask(one, "alone", max_tokens=MAX_TOKENS, budget=BUDGET)
    assert refusal_of(alone).reason is RefusalReason.AGREEMENT_EXPIRED


# Guards against a metric that lacks the reason or the age.
def test_refusals_are_counted_by_reason_and_age() -> None:
    metrics = EntryMetrics(vm="vm")
    metrics.budget_unchecked(
        "declined", BudgetRefusal(RefusalReason.DECLINED, 0.2).age_label
    )
    text = metrics.render().decode()
    assert 'age_s="0.3"' in text
    assert 'reason="declined"' in text


# Guards against messages on a day without an outage.
def test_no_message_is_sent_while_the_store_is_available() -> None:
    fleet = TokenFleet(vms=12)
    fleet.run_turns(fleet.vms[0], "first", 1)
    fleet.sent.clear()
    for number in range(24):
        fleet.run_turns(fleet.vms[number // 2], f"p-{number}", 1)
        fleet.advance(0.5)
    fleet.sent.pop("Survey")
    assert set(fleet.sent) <= {"AskUnrecorded", "AskSettled"}
    assert fleet.sent["AskSettled"] <= 11 * 11
