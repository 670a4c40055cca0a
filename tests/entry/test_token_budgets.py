"""Budgets hold across many VMs, restarts and failures of the store.

The load is a program that loops without end on several VMs at once.
"""

from __future__ import annotations

import pytest

from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.store import Topic
from lycheestall.ids import ProgramId
from tests.entry.ledger_simulation import LedgerSimulation, Turn
from tests.entry.memory_store import Fault

PROGRAM = ProgramId("looping")
MAX_TOKENS = 280
BUDGET = 3000


def run_loop(
    simulation: LedgerSimulation, *, rounds: int, faults: bool
) -> int:
    """Asks random VMs for ``rounds`` turns; returns the refusals as spent."""
    refused_as_spent = 0
    for _ in range(rounds):
        vm = simulation.random.choice(simulation.vms)
        if faults:
            inject_fault(simulation)
        simulation.running.append(
            simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
        )
        simulation.advance(simulation.random.choice((0.0, 0.02, 0.1, 0.6)))
        refused_as_spent += end_turns(simulation)
    return refused_as_spent


def end_turns(simulation: LedgerSimulation) -> int:
    """Ends granted turns at random; returns the refusals as spent."""
    spent = 0
    remaining: list[Turn] = []
    for turn in simulation.running:
        if turn.results == [ReservationDecision.SPENT]:
            spent += 1
            continue
        if not simulation.granted(turn):
            if not turn.results:
                remaining.append(turn)
            continue
        if simulation.random.random() < 0.5:
            remaining.append(turn)
            continue
        simulation.settle(
            turn, PROGRAM, simulation.random.randrange(0, MAX_TOKENS + 1)
        )
    simulation.running = remaining
    return spent


def inject_fault(simulation: LedgerSimulation) -> None:
    """Injects a fault or ends some."""
    vm = simulation.random.choice(simulation.vms)
    draw = simulation.random.random()
    if draw < 0.06:
        # Its running turns count with their maximum.
        for turn in simulation.running:
            if turn.vm is vm and simulation.granted(turn):
                simulation.used += MAX_TOKENS
        simulation.restart(vm)
    elif draw < 0.25:
        vm.store.fault = simulation.random.choice(list(Fault))
    elif draw < 0.3:
        simulation.log.forget_history(Topic.LEDGER)
    elif draw < 0.6:
        for other in simulation.vms:
            other.store.fault = Fault.NONE
            other.store.apply_delayed_appends()


@pytest.mark.parametrize("seed", range(40))
def test_a_looping_program_never_exceeds_its_budget(seed: int) -> None:
    simulation = LedgerSimulation(seed=seed)
    run_loop(simulation, rounds=200, faults=True)
    running = sum(
        MAX_TOKENS for turn in simulation.running if simulation.granted(turn)
    )
    assert simulation.used + running <= BUDGET


def test_a_looping_program_is_told_that_its_budget_is_spent() -> None:
    simulation = LedgerSimulation(seed=1)
    spent = run_loop(simulation, rounds=200, faults=False)
    assert spent > 0
    assert simulation.used > BUDGET - 2 * MAX_TOKENS


def test_a_budget_holds_over_a_restart_of_all_vms() -> None:
    simulation = LedgerSimulation(seed=2)
    run_loop(simulation, rounds=100, faults=False)
    for vm in list(simulation.vms):
        simulation.restart(vm)
    turn = simulation.ask(
        simulation.vms[0], PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET
    )
    simulation.advance(1.0)
    assert turn.results == [ReservationDecision.SPENT]


def test_a_preallocated_turn_needs_no_record() -> None:
    simulation = LedgerSimulation(seed=3)
    vm = simulation.vms[0]
    first = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.1)
    simulation.settle(first, PROGRAM, 70)
    simulation.advance(0.1)
    vm.store.fault = Fault.REFUSES
    second = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    assert second.results == [ReservationDecision.GRANTED]


def test_preallocated_tokens_are_released_for_another_vm() -> None:
    budget = 4 * MAX_TOKENS
    simulation = LedgerSimulation(seed=4, vms=2)
    one, two = simulation.vms
    turn = simulation.ask(one, PROGRAM, max_tokens=MAX_TOKENS, budget=budget)
    simulation.advance(0.1)
    simulation.settle(turn, PROGRAM, 0)
    simulation.advance(0.1)
    requested = [
        simulation.ask(two, PROGRAM, max_tokens=MAX_TOKENS, budget=budget)
        for _ in "abcd"
    ]
    simulation.advance(0.1)
    assert sum(simulation.granted(turn) for turn in requested) < 4
    assert [ReservationDecision.SPENT] not in [
        turn.results for turn in requested
    ]
    later = simulation.ask(one, ProgramId("other"), max_tokens=1, budget=9)
    simulation.advance(0.2)
    assert simulation.granted(later)
    again = simulation.ask(two, PROGRAM, max_tokens=MAX_TOKENS, budget=budget)
    simulation.advance(0.2)
    assert simulation.granted(again)


def test_a_late_append_does_not_undo_a_newer_one() -> None:
    simulation = LedgerSimulation(seed=5, vms=2)
    one, two = simulation.vms
    one.store.fault = Fault.DELAYS_APPENDS
    simulation.ask(one, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.05)
    one.store.fault = Fault.NONE
    simulation.advance(1.0)
    turns = [
        simulation.ask(one, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
        for _ in "abcd"
    ]
    simulation.advance(1.0)
    one.store.apply_delayed_appends()
    recorded = one.ledger.allocation_of(PROGRAM, one.holder)
    other = simulation.ask(two, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.2)
    assert two.ledger.allocation_of(PROGRAM, one.holder) == recorded
    assert simulation.granted(other)
    assert all(simulation.granted(turn) for turn in turns)


def test_a_short_program_continues_after_its_vm_crashed() -> None:
    budget = 900
    simulation = LedgerSimulation(seed=6, vms=2)
    one, two = simulation.vms
    first = simulation.ask(one, PROGRAM, max_tokens=MAX_TOKENS, budget=budget)
    simulation.advance(0.1)
    simulation.settle(first, PROGRAM, 70)
    simulation.advance(0.1)
    simulation.restart(one)
    second = simulation.ask(two, PROGRAM, max_tokens=MAX_TOKENS, budget=budget)
    simulation.advance(0.1)
    assert simulation.granted(second)


def test_each_turn_is_decided_long_before_its_timeout() -> None:
    simulation = LedgerSimulation(seed=6, vms=2)
    one, two = simulation.vms
    turn = simulation.ask(
        one, PROGRAM, max_tokens=MAX_TOKENS, budget=4 * MAX_TOKENS
    )
    simulation.advance(0.1)
    simulation.settle(turn, PROGRAM, 0)
    simulation.advance(0.1)
    asked = [
        simulation.ask(
            two, PROGRAM, max_tokens=MAX_TOKENS, budget=4 * MAX_TOKENS
        )
        for _ in "abcd"
    ]
    simulation.advance(0.3)
    assert all(turn.results for turn in asked)


def test_a_program_at_one_vm_needs_a_record_every_other_turn() -> None:
    """Limits the load when hundreds of VMs append to one partition."""
    simulation = LedgerSimulation(seed=7, vms=1)
    vm = simulation.vms[0]
    turns = 20
    for _ in range(turns):
        turn = simulation.ask(
            vm, PROGRAM, max_tokens=MAX_TOKENS, budget=1000 * MAX_TOKENS
        )
        simulation.advance(0.3)
        assert simulation.granted(turn)
        simulation.settle(turn, PROGRAM, MAX_TOKENS // 2)
        simulation.advance(0.3)
    assert len(simulation.log.by_topic[Topic.LEDGER]) <= 0.6 * turns


def test_a_turn_does_not_wait_for_a_batch() -> None:
    simulation = LedgerSimulation(seed=8, vms=1)
    vm = simulation.vms[0]
    first = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.1)
    simulation.settle(first, PROGRAM, MAX_TOKENS)
    second = simulation.ask(
        vm, ProgramId("other"), max_tokens=MAX_TOKENS, budget=BUDGET
    )
    simulation.advance(0.05)
    assert simulation.granted(second)


def test_a_lost_reply_of_the_store_delays_a_turn_little() -> None:
    """The store carries out appends but does not reply."""
    simulation = LedgerSimulation(seed=9, vms=1)
    vm = simulation.vms[0]
    vm.store.held_appends = []
    turn = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.2)
    assert simulation.granted(turn)
    assert not vm.health.unavailable
    simulation.settle(turn, PROGRAM, MAX_TOKENS)
    vm.store.held_appends = None
    later = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.1)
    assert simulation.granted(later)


def test_a_slow_append_is_waited_for() -> None:
    simulation = LedgerSimulation(seed=10, vms=1)
    vm = simulation.vms[0]
    vm.store.held_appends = []
    vm.store.applies_before_hold = False
    turn = simulation.ask(vm, PROGRAM, max_tokens=MAX_TOKENS, budget=BUDGET)
    simulation.advance(0.3)
    assert turn.results == []
    vm.store.release_held_appends()
    simulation.advance(0.1)
    assert simulation.granted(turn)
    assert len(simulation.log.by_topic[Topic.LEDGER]) == 1
