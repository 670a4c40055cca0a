"""Grants that are not in the ledger: who knows of them, and for how long.

Several programs with parallel turns run over outages in which VMs are lost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum

import pytest

from lycheestall.entry.outage import RECOVERY_S
from tests.entry.outage_simulation import OutageSimulation, OutageVm, Turn

MAX_TOKENS = 280
BUDGET = 2240
PROGRAMS = [f"program-{number}" for number in range(18)]


def ask_all(
    simulation: OutageSimulation, vm: OutageVm, count: int
) -> list[Turn]:
    """Asks a VM for some turns of each program."""
    return [
        simulation.ask(vm, program, max_tokens=MAX_TOKENS, budget=BUDGET)
        for program in PROGRAMS
        for _ in range(count)
    ]


def granted_by_program(turns: Iterable[Turn]) -> Counter[str]:
    """Returns the number of turns granted to each program."""
    return Counter(turn.program for turn in turns if turn.granted)


def most_tokens(turns: Iterable[Turn]) -> int:
    """Returns the tokens of the program that got most."""
    return max(granted_by_program(turns).values()) * MAX_TOKENS


# Guards against handing out tokens twice that turns still hold which began
# without the store and outlast the recovery.
def test_turns_that_outlast_a_recovery_count_at_other_vms() -> None:
    simulation = OutageSimulation(vms=3)
    one, other, _ = simulation.vms
    simulation.fail_store()
    simulation.advance(4.3)
    turns = ask_all(simulation, one, 3)
    simulation.advance(0.2)
    assert all(turn.granted for turn in turns)
    simulation.restore_store()
    simulation.advance(RECOVERY_S + 0.4)
    turns += ask_all(simulation, other, 8)
    simulation.advance(1.0)
    assert most_tokens(turns) <= BUDGET + MAX_TOKENS


class DeciderFault(Enum):
    """What happens to the VM that granted turns to itself."""

    KILLED = "killed"
    RESTARTS_INSIDE = "killed, and starts again inside the outage"
    FROZEN = "stands still, and goes on after the outage"


# Guards against the loss of grants that a VM made to its own turns and that no
# other VM knew of.
@pytest.mark.parametrize("fault", DeciderFault)
def test_grants_of_a_vm_to_itself_outlast_its_loss(
    fault: DeciderFault,
) -> None:
    simulation = OutageSimulation(vms=3)
    one, other, _ = simulation.vms
    simulation.fail_store()
    simulation.advance(1.5)
    turns = ask_all(simulation, one, 3)
    simulation.advance(1.0)
    assert all(turn.granted for turn in turns)
    for turn in turns:
        one.reservations.settle(turn.program, turn.turn_id, MAX_TOKENS)
    simulation.advance(1.4)
    if fault is DeciderFault.FROZEN:
        simulation.freeze(one)
    elif fault is DeciderFault.RESTARTS_INSIDE:
        simulation.restart(one)
    else:
        simulation.kill(one)
    simulation.advance(0.6)
    simulation.restore_store()
    simulation.advance(0.5)
    for _ in range(9):
        turns += ask_all(simulation, other, 1)
        simulation.advance(0.5)
        if fault is DeciderFault.FROZEN:
            simulation.wake(one)
    assert most_tokens(turns) <= BUDGET + MAX_TOKENS
    fewest = min(granted_by_program(turns).values())
    assert fewest * MAX_TOKENS > BUDGET - 2 * MAX_TOKENS


# Guards against granting a second time what another VM has recorded just
# before an outage.
def test_a_decider_knows_what_others_recorded_just_before_an_outage() -> None:
    simulation = OutageSimulation(vms=3)
    one, other, third = simulation.vms
    for vm in (other, third):
        vm.ledger_polled_only = True
    simulation.advance(1.5)
    turns = ask_all(simulation, one, 7)
    simulation.advance(0.25)
    assert all(turn.granted for turn in turns)
    simulation.fail_store()
    for vm in (other, third):
        vm.ledger_polled_only = False
    simulation.advance(1.6)
    turns += ask_all(simulation, other, 3)
    simulation.advance(0.2)
    assert most_tokens(turns) <= BUDGET + MAX_TOKENS
    assert granted_by_program(turns).total() > 7 * len(PROGRAMS)


# Guards against deciding in a second outage without the grants of the first
# one, if the VM that ran the turns died and another one decides now.
def test_a_new_decider_knows_the_grants_of_an_earlier_outage() -> None:
    simulation = OutageSimulation(vms=4)
    one, other, third, _ = simulation.vms
    turns = ask_all(simulation, one, 3)
    simulation.advance(1.5)
    simulation.fail_store()
    simulation.advance(1.5)
    turns += ask_all(simulation, one, 4)
    simulation.advance(0.5)
    simulation.restart(one)
    simulation.restore_store()
    simulation.advance(0.4)
    simulation.fail_store()
    simulation.advance(1.5)
    turns += ask_all(simulation, other, 4)
    simulation.advance(0.5)
    simulation.restore_store()
    simulation.advance(3.0)
    turns += ask_all(simulation, third, 8)
    simulation.advance(1.0)
    assert most_tokens(turns) <= BUDGET + MAX_TOKENS


# Guards against deciding VMs that grant nothing in an outage to programs which
# another VM has asked them about after the outage before.
def test_programs_asked_about_after_an_outage_go_on_in_the_next_one() -> None:
    simulation = OutageSimulation(vms=5)
    one, other, *_ = simulation.vms
    simulation.fail_store()
    simulation.advance(1.5)
    simulation.restore_store()
    simulation.advance(0.5)
    turns = ask_all(simulation, one, 1)
    simulation.advance(1.0)
    simulation.fail_store()
    simulation.advance(1.5)
    turns += ask_all(simulation, other, 1)
    simulation.advance(0.2)
    assert all(turn.granted for turn in turns)


# Guards against taking VMs that were stopped as planned in an outage for
# crashed ones, after which programs get half of their budgets for a minute.
def test_vms_that_leave_in_an_outage_lose_no_grants() -> None:
    simulation = OutageSimulation(vms=5)
    turns = ask_all(simulation, simulation.vms[0], 1)
    simulation.advance(1.0)
    simulation.fail_store()
    simulation.advance(1.0)
    for vm in simulation.vms[:3]:
        vm.leave()
        simulation.advance(0.1)
        simulation.restart(vm)
    simulation.restore_store()
    simulation.advance(2.0)
    for vm in simulation.vms:
        assert not vm.service.members.crashed()
    turns += ask_all(simulation, simulation.vms[-1], 4)
    simulation.advance(1.0)
    assert granted_by_program(turns).total() == 5 * len(PROGRAMS)


# Guards against VMs of several groups that never collect the whole ledger, so
# that programs get a single turn without the store.
def test_vms_of_several_groups_collect_the_whole_ledger() -> None:
    simulation = OutageSimulation(vms=45)
    groups = simulation.vms[0].service.members.view().groups
    assert len(groups) == 4
    simulation.fail_store()
    simulation.advance(1.5)
    turns = ask_all(simulation, simulation.vms[0], 4)
    simulation.advance(0.3)
    assert all(turn.granted for turn in turns)


# Guards against granting a whole budget without the store after all VMs have
# died in an earlier outage, once or again.
@pytest.mark.parametrize("losses", [1, 2])
def test_outages_after_losses_of_all_vms_exceed_no_budget(losses: int) -> None:
    simulation = OutageSimulation(vms=3)
    turns = ask_all(simulation, simulation.vms[0], 3)
    simulation.advance(1.0)
    for number in range(losses + 1):
        simulation.fail_store()
        simulation.advance(1.5)
        turns += ask_all(simulation, simulation.vms[1], 4)
        simulation.advance(0.5)
        if number < losses:
            for vm in list(simulation.vms):
                simulation.restart(vm)
        simulation.restore_store()
        simulation.advance(2.0)
    turns += ask_all(simulation, simulation.vms[2], 8)
    simulation.advance(1.0)
    assert most_tokens(turns) <= BUDGET + MAX_TOKENS
