"""Budgets hold over many VMs, restarts and a store that misbehaves.

Pattern: a program that loops without end through several VMs at once.
"""

from __future__ import annotations

import pytest

from lycheestall.entry.store import Topic
from lycheestall.entry.token_books import BookDecision
from lycheestall.ids import ProgramId
from tests.entry.ledger_world import LedgerWorld, Turn
from tests.entry.memory_store import Fault

PROGRAM = ProgramId("looping")
MOST = 280
BUDGET = 3000


def loop_through(world: LedgerWorld, *, rounds: int, faults: bool) -> int:
    """Asks for turns at all VMs until ``rounds`` are over."""
    refused_as_spent = 0
    for _ in range(rounds):
        vm = world.random.choice(world.vms)
        if faults:
            disturb(world)
        world.running.append(world.ask(vm, PROGRAM, most=MOST, budget=BUDGET))
        world.advance(world.random.choice((0.0, 0.02, 0.1, 0.6)))
        refused_as_spent += end_some(world)
    return refused_as_spent


def end_some(world: LedgerWorld) -> int:
    """Ends granted turns at random; returns how many were spent."""
    spent = 0
    still: list[Turn] = []
    for turn in world.running:
        if turn.answer == [BookDecision.SPENT]:
            spent += 1
            continue
        if not world.granted(turn):
            if not turn.answer:
                still.append(turn)
            continue
        if world.random.random() < 0.5:
            still.append(turn)
            continue
        world.settle(turn, PROGRAM, world.random.randrange(0, MOST + 1))
    world.running = still
    return spent


def disturb(world: LedgerWorld) -> None:
    """Brings one trouble about, or ends some."""
    vm = world.random.choice(world.vms)
    dice = world.random.random()
    if dice < 0.06:
        # Its running turns had handed out all they could.
        for turn in world.running:
            if turn.vm is vm and world.granted(turn):
                world.handed += MOST
        world.restart(vm)
    elif dice < 0.25:
        vm.store.fault = world.random.choice(list(Fault))
    elif dice < 0.3:
        world.log.forget_history(Topic.LEDGER)
    elif dice < 0.6:
        for other in world.vms:
            other.store.fault = Fault.NONE
            other.store.apply_delayed()


@pytest.mark.parametrize("seed", range(40))
def test_a_looping_program_never_passes_its_budget(seed: int) -> None:
    world = LedgerWorld(seed=seed)
    loop_through(world, rounds=200, faults=True)
    running = sum(MOST for turn in world.running if world.granted(turn))
    assert world.handed + running <= BUDGET


def test_a_looping_program_is_told_that_its_budget_is_spent() -> None:
    world = LedgerWorld(seed=1)
    spent = loop_through(world, rounds=200, faults=False)
    assert spent > 0
    assert world.handed > BUDGET - 2 * MOST


def test_a_budget_holds_over_a_restart_of_all_vms() -> None:
    world = LedgerWorld(seed=2)
    loop_through(world, rounds=100, faults=False)
    for vm in list(world.vms):
        world.restart(vm)
    turn = world.ask(world.vms[0], PROGRAM, most=MOST, budget=BUDGET)
    world.advance(1.0)
    assert turn.answer == [BookDecision.SPENT]


def test_turns_of_one_vm_need_no_wait_once_one_is_held_ahead() -> None:
    world = LedgerWorld(seed=3)
    vm = world.vms[0]
    first = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.1)
    world.settle(first, PROGRAM, 70)
    world.advance(0.1)
    vm.store.fault = Fault.REFUSES
    second = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    assert second.answer == [BookDecision.GRANTED]


def test_tokens_held_ahead_are_given_up_when_another_vm_needs_them() -> None:
    budget = 4 * MOST
    world = LedgerWorld(seed=4, vms=2)
    one, two = world.vms
    turn = world.ask(one, PROGRAM, most=MOST, budget=budget)
    world.advance(0.1)
    world.settle(turn, PROGRAM, 0)
    world.advance(0.1)
    held = [world.ask(two, PROGRAM, most=MOST, budget=budget) for _ in "abcd"]
    world.advance(0.1)
    assert sum(world.granted(turn) for turn in held) < 4
    assert [BookDecision.SPENT] not in [turn.answer for turn in held]
    later = world.ask(one, ProgramId("other"), most=1, budget=9)
    world.advance(0.2)
    assert world.granted(later)
    again = world.ask(two, PROGRAM, most=MOST, budget=budget)
    world.advance(0.2)
    assert world.granted(again)


def test_a_late_append_does_not_undo_a_newer_one() -> None:
    world = LedgerWorld(seed=5, vms=2)
    one, two = world.vms
    one.store.fault = Fault.DELAYS_APPENDS
    world.ask(one, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.05)
    one.store.fault = Fault.NONE
    world.advance(1.0)
    loop = [world.ask(one, PROGRAM, most=MOST, budget=BUDGET) for _ in "abcd"]
    world.advance(1.0)
    one.store.apply_delayed()
    recorded = one.ledger.own(PROGRAM, one.holder)
    other = world.ask(two, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.2)
    assert two.ledger.own(PROGRAM, one.holder) == recorded
    assert world.granted(other)
    assert all(world.granted(turn) for turn in loop)


def test_a_short_program_goes_on_after_the_death_of_its_vm() -> None:
    budget = 900
    world = LedgerWorld(seed=6, vms=2)
    one, two = world.vms
    first = world.ask(one, PROGRAM, most=MOST, budget=budget)
    world.advance(0.1)
    world.settle(first, PROGRAM, 70)
    world.advance(0.1)
    world.restart(one)
    second = world.ask(two, PROGRAM, most=MOST, budget=budget)
    world.advance(0.1)
    assert world.granted(second)


def test_each_turn_is_answered_long_before_its_timeout() -> None:
    world = LedgerWorld(seed=6, vms=2)
    one, two = world.vms
    turn = world.ask(one, PROGRAM, most=MOST, budget=4 * MOST)
    world.advance(0.1)
    world.settle(turn, PROGRAM, 0)
    world.advance(0.1)
    asked = [
        world.ask(two, PROGRAM, most=MOST, budget=4 * MOST) for _ in "abcd"
    ]
    world.advance(0.3)
    assert all(turn.answer for turn in asked)


def test_a_program_at_one_vm_needs_a_record_every_other_turn() -> None:
    """Pattern: hundreds of VMs append to one partition of the store."""
    world = LedgerWorld(seed=7, vms=1)
    vm = world.vms[0]
    turns = 20
    for _ in range(turns):
        turn = world.ask(vm, PROGRAM, most=MOST, budget=1000 * MOST)
        world.advance(0.3)
        assert world.granted(turn)
        world.settle(turn, PROGRAM, MOST // 2)
        world.advance(0.3)
    assert len(world.log.by_topic[Topic.LEDGER]) <= 0.6 * turns


def test_a_turn_does_not_wait_for_records_that_are_gathered() -> None:
    world = LedgerWorld(seed=8, vms=1)
    vm = world.vms[0]
    first = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.1)
    world.settle(first, PROGRAM, MOST)
    second = world.ask(vm, ProgramId("other"), most=MOST, budget=BUDGET)
    world.advance(0.05)
    assert world.granted(second)


def test_a_lost_answer_of_the_store_costs_little_time() -> None:
    """Pattern: the store carries appends out and does not answer them."""
    world = LedgerWorld(seed=9, vms=1)
    vm = world.vms[0]
    vm.store.held = []
    turn = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.2)
    assert world.granted(turn)
    assert not vm.health.unavailable
    world.settle(turn, PROGRAM, MOST)
    vm.store.held = None
    later = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.1)
    assert world.granted(later)


def test_a_slow_append_is_waited_for() -> None:
    world = LedgerWorld(seed=10, vms=1)
    vm = world.vms[0]
    vm.store.held = []
    vm.store.applies_before_hold = False
    turn = world.ask(vm, PROGRAM, most=MOST, budget=BUDGET)
    world.advance(0.3)
    assert turn.answer == []
    vm.store.release_held()
    world.advance(0.1)
    assert world.granted(turn)
    assert len(world.log.by_topic[Topic.LEDGER]) == 1
