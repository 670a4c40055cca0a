"""Budgets while the store is away from some VMs or from all.

Patterns: new programs that arrive in an outage; a looping program that
goes from VM to VM in it; VMs that are killed or stopped in it.
"""

from __future__ import annotations

import pytest
from twisted.internet.defer import ensureDeferred

from lycheestall.entry.entry_vm import SURVEY_INTERVAL_S
from lycheestall.entry.members import MemberView
from lycheestall.entry.outage import (
    AFTER_OUTAGE_S,
    AGREEMENT_S,
    Outage,
    OutageMode,
)
from lycheestall.entry.peer_messages import StoreReport
from lycheestall.entry.store import Topic
from lycheestall.entry.surveyor import SURVEY_TIMEOUT_S
from lycheestall.entry.token_books import BookDecision
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.turn_tokens import RECORD_FOR_OTHERS_S
from tests.entry.memory_store import Fault
from tests.entry.outage_world import OutageWorld, Turn

MOST = 280
BUDGET = 3000


def test_new_programs_are_served_while_the_store_is_away() -> None:
    world = OutageWorld()
    world.store_away()
    world.advance(0.5)
    turns = [
        world.ask(vm, f"program-{number}", most=MOST, budget=BUDGET)
        for number in range(20)
        for vm in world.vms[:1]
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


def test_new_programs_are_served_while_only_the_ledger_is_away() -> None:
    """Pattern: some partitions of the store are down, the rest answers."""
    world = OutageWorld()
    world.ledger_away()
    world.advance(0.6)
    turns = [
        world.ask(world.vms[0], f"program-{number}", most=MOST, budget=BUDGET)
        for number in range(20)
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


@pytest.mark.parametrize("seed", range(10))
def test_a_loop_in_an_outage_stays_inside_its_budget(seed: int) -> None:
    world = OutageWorld(seed=seed)
    handed = world.loop("loop", most=MOST, budget=BUDGET, turns=3)
    world.store_away()
    world.advance(0.5)
    handed += world.loop("loop", most=MOST, budget=BUDGET, turns=30)
    world.store_back()
    handed += world.loop("loop", most=MOST, budget=BUDGET, turns=60)
    assert BUDGET - MOST < handed <= BUDGET


@pytest.mark.parametrize("seed", range(10))
def test_a_killed_decider_or_server_loses_no_grant(seed: int) -> None:
    world = OutageWorld(seed=seed)
    world.store_away()
    world.advance(0.5)
    handed = world.loop("loop", most=MOST, budget=BUDGET, turns=5)
    world.kill(world.random.choice(world.vms))
    handed += world.loop("loop", most=MOST, budget=BUDGET, turns=5)
    world.store_back()
    handed += world.loop("loop", most=MOST, budget=BUDGET, turns=60)
    assert handed <= BUDGET + MOST


@pytest.mark.parametrize("seed", range(10))
def test_a_kill_of_all_vms_in_an_outage_does_not_pass_a_budget(
    seed: int,
) -> None:
    world = OutageWorld(seed=seed)
    world.store_away()
    world.advance(0.5)
    handed = world.loop("loop", most=MOST, budget=BUDGET, turns=20)
    assert handed > 0
    for vm in list(world.vms):
        world.restart(vm)
    world.store_back()
    world.advance(0.5)
    handed += world.loop("loop", most=MOST, budget=BUDGET, turns=60)
    assert handed <= BUDGET + MOST


def test_a_planned_stop_hands_its_programs_to_another_decider() -> None:
    world = OutageWorld(vms=3)
    world.store_away()
    world.advance(0.5)
    programs = [f"program-{number}" for number in range(12)]
    for program in programs:
        world.loop(program, most=MOST, budget=BUDGET, turns=1)
    leaving = world.vms[0]
    leaving.leave()
    world.kill(leaving)
    world.advance(0.5)
    turns = [
        world.ask(world.vms[0], program, most=MOST, budget=BUDGET)
        for program in programs
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


def test_halves_that_cannot_talk_never_both_decide() -> None:
    world = OutageWorld(vms=4)
    one, two, three, four = world.vms
    for near in (one, two):
        for far in (three, four):
            world.network.cut.add(frozenset((near.address, far.address)))
    world.store_away()
    world.advance(0.5)
    turns = [
        world.ask(vm, f"program-{number}", most=MOST, budget=BUDGET)
        for number in range(10)
        for vm in world.vms
    ]
    world.advance(0.2)
    assert not any(turn.granted for turn in turns)


def test_a_vm_that_the_store_turns_away_reaches_it_through_a_peer() -> None:
    world = OutageWorld()
    away = world.vms[0]
    world.store_away(away)
    world.advance(0.6)
    turn = world.ask(away, "program", most=MOST, budget=BUDGET)
    world.advance(0.2)
    assert turn.granted
    assert away.store.relayed
    world.store_back()
    world.advance(1.5)
    assert not away.store.relayed


def test_a_short_program_is_not_charged_twice_after_an_outage() -> None:
    budget = 900
    world = OutageWorld()
    world.store_away()
    world.advance(0.5)
    first = world.ask(world.vms[0], "short", most=MOST, budget=budget)
    world.advance(0.1)
    first.vm.tokens.settle(first.program, first.turn, 70)
    world.store_back()
    world.advance(2.0)
    recorded = world.vms[0].ledger.total(first.program)
    assert first.granted
    assert recorded.committed == 70


def test_vms_that_wait_for_a_slow_store_do_not_agree_that_it_is_away() -> None:
    view = MemberView((("a", "b", "c"),), "digest")
    waiting = [
        StoreReport(
            HolderId(name), store_up=False, store_away=False, view="digest"
        )
        for name in ("b", "c")
    ]
    outage = Outage(HolderId("a"))
    outage.surveyed(view, waiting, 1.0)
    assert outage.mode(1.0) is OutageMode.NONE
    away = [
        StoreReport(
            report.holder, store_up=False, store_away=True, view="digest"
        )
        for report in waiting
    ]
    outage.surveyed(view, away, 1.0)
    assert outage.mode(1.0) is OutageMode.DECIDERS


def test_agreement_lasts_until_the_next_survey_with_a_silent_peer() -> None:
    silent_peer_s = SURVEY_TIMEOUT_S
    from_start_to_next_end_s = (
        silent_peer_s + SURVEY_INTERVAL_S + silent_peer_s
    )
    assert from_start_to_next_end_s < AGREEMENT_S < AFTER_OUTAGE_S
    assert RECORD_FOR_OTHERS_S < AFTER_OUTAGE_S


def test_a_member_that_is_gone_for_good_is_taken_out() -> None:
    world = OutageWorld(vms=3)
    gone = world.vms[0]
    world.kill(gone)
    for _ in range(4):
        for vm in world.vms:
            ensureDeferred(vm.service.sweep())
        world.advance(0.2)
    world.advance(2.0)
    for vm in world.vms:
        assert len(vm.service.members.all()) == 2


def test_programs_go_on_at_once_after_an_outage() -> None:
    """Pattern: everybody comes back while grants are being recorded."""
    world = OutageWorld()
    world.store_away()
    world.advance(1.0)
    before = world.ask(world.vms[1], "known", most=MOST, budget=BUDGET)
    world.advance(0.1)
    assert before.granted
    world.store_back()
    world.advance(0.3)
    vm = world.vms[0]
    assert vm.tokens.settles_in_s() > 0.5
    turns = [
        world.ask(vm, program, most=MOST, budget=BUDGET)
        for program in ("known", "new")
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


def test_vms_that_know_other_members_agree_in_an_outage() -> None:
    """Pattern: the store goes away while VMs come and go."""
    world = OutageWorld(vms=4)
    late = world.vms[0]
    late.direct.refused_topics = {Topic.LEDGER}
    gone = world.vms[-1]
    gone.leave()
    world.kill(gone)
    for vm in world.vms[1:]:
        vm.step()
    world.store_away()
    assert len(late.service.members.all()) == 4
    assert len(world.vms[1].service.members.all()) == 3
    world.advance(1.0)
    digests = {vm.service.members.view().digest for vm in world.vms}
    assert len(digests) == 1
    turns = [
        world.ask(vm, f"program-{number}", most=MOST, budget=BUDGET)
        for number in range(10)
        for vm in world.vms
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


def test_programs_go_on_at_a_vm_that_has_found_a_way_to_the_store() -> None:
    """Pattern: the store turns some VMs away and serves the others."""
    world = OutageWorld()
    world.store_away(*world.vms[:2])
    world.advance(0.7)
    away = world.vms[0]
    assert away.store.relayed
    assert away.tokens.settles_in_s() > 0.3
    turns = [
        world.ask(away, f"program-{number}", most=MOST, budget=BUDGET)
        for number in range(20)
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in turns)


def test_callers_come_back_when_the_vms_have_agreed() -> None:
    world = OutageWorld()
    world.store_away()
    world.advance(0.05)
    vm = world.vms[0]
    early = world.ask(vm, "early", most=MOST, budget=BUDGET)
    assert early.answer == [None]
    world.advance(vm.tokens.decides_in_s())
    later = world.ask(vm, "early", most=MOST, budget=BUDGET)
    world.advance(0.1)
    assert later.granted


def test_a_program_goes_on_when_the_store_was_back_for_one_vm_only() -> None:
    """Pattern: the store comes back for a moment, for some VMs."""
    world = OutageWorld()
    world.store_away()
    world.advance(1.0)
    one = world.vms[0]
    one.direct.fault = Fault.NONE
    one.step()
    programs = [f"program-{number}" for number in range(10)]
    by_ledger = [
        world.ask(one, program, most=MOST, budget=BUDGET)
        for program in programs
    ]
    assert all(turn.granted for turn in by_ledger)
    one.direct.fault = Fault.REFUSES
    world.advance(1.2)
    again = [
        world.ask(one, program, most=MOST, budget=BUDGET)
        for program in programs
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in again)
    elsewhere = [
        world.ask(world.vms[1], program, most=MOST, budget=BUDGET)
        for program in programs
    ]
    world.advance(0.1)
    assert all(turn.granted for turn in elsewhere)


def test_callers_are_told_when_an_outage_will_be_settled() -> None:
    """Pattern: the decider is gone, and nobody knows what it granted."""
    world = OutageWorld(vms=3)
    world.store_away()
    world.advance(1.0)
    vm, other, third = world.vms
    world.kill(other)
    world.kill(third)
    world.store_back()
    world.advance(0.3)
    turns = [
        world.ask(vm, f"new-{number}", most=MOST, budget=BUDGET)
        for number in range(20)
    ]
    world.advance(0.1)
    answers = [turn.answer[0] for turn in turns]
    assert BookDecision.SETTLING in answers
    wait_s = vm.tokens.settles_in_s()
    assert 0 < wait_s <= AFTER_OUTAGE_S
    world.advance(wait_s + 0.05)
    later = world.ask(vm, "later", most=MOST, budget=BUDGET)
    world.advance(0.1)
    assert later.granted


LOOP_SEEDS = (
    *range(30),
    # These broke a budget: the next outage's grants left out the last's.
    45,
    88,
    308,
    311,
    # These break one if grants do not count right after an outage.
    149,
    255,
    262,
    279,
)


@pytest.mark.parametrize("seed", LOOP_SEEDS)
def test_outages_that_end_at_other_times_for_each_vm_break_no_budget(
    seed: int,
) -> None:
    """Pattern: several turns of a loop at once, outages in a row."""
    world = OutageWorld(seed=seed)
    dice = world.random
    running: list[Turn] = []
    handed = served = 0
    for _ in range(150):
        event = dice.random()
        if event < 0.03:
            world.store_away()
        elif event < 0.05:
            world.ledger_away()
        elif event < 0.2:
            vm = dice.choice(world.vms)
            vm.direct.fault = Fault.NONE
            vm.direct.refused_topics = set()
        elif event < 0.25:
            world.store_back()
        elif event < 0.3:
            world.store_away(dice.choice(world.vms))
        vm = dice.choice(world.vms)
        running.append(world.ask(vm, "loop", most=MOST, budget=BUDGET))
        world.advance(dice.choice((0.05, 0.1, 0.4)))
        for turn in list(running):
            if turn.answer and not turn.granted:
                running.remove(turn)
            elif turn.granted and dice.random() < 0.6:
                running.remove(turn)
                tokens = dice.randrange(MOST // 2, MOST + 1)
                handed += tokens
                served += 1
                turn.vm.tokens.settle(turn.program, turn.turn, tokens)
    handed += sum(MOST for turn in running if turn.granted)
    assert served > 5
    assert handed <= BUDGET
