"""Budgets after VMs were lost for good and removed from the members."""

from __future__ import annotations

import pytest

from lycheestall.entry.outages.member_records import LOST_MEMBERS_KEPT_S
from tests.entry.outage_simulation import OutageSimulation, OutageVm, Turn

MAX_TOKENS = 280
BUDGET = 2240
VMS = 6
PROGRAMS = [f"program-{number}" for number in range(8)]


def spend(
    simulation: OutageSimulation,
    vm: OutageVm,
    program: str,
    *,
    turns: int,
    pause_s: float = 0.0,
) -> list[Turn]:
    """Runs a program's turns one after the other at a VM."""
    return simulation.spend(
        vm,
        program,
        max_tokens=MAX_TOKENS,
        budget=BUDGET,
        turns=turns,
        pause_s=pause_s,
    )


def tokens(turns: list[Turn]) -> int:
    """Returns the tokens of the turns that were granted."""
    return sum(turn.granted for turn in turns) * MAX_TOKENS


def lose_holders(
    simulation: OutageSimulation, program: str, *, asker: OutageVm
) -> list[Turn]:
    """Grants turns in an outage and loses the VMs that know of them."""
    simulation.fail_store()
    simulation.advance(1.5)
    turns = spend(simulation, asker, program, turns=5)
    decider = asker.service.members.view().decider(turns[0].program)
    for vm in list(simulation.vms):
        if vm is asker or vm.holder == decider:
            simulation.kill(vm)
    simulation.advance(0.5)
    simulation.restore_store()
    return turns


# Guards against missing one lost VM fewer once it is removed as failed, as if
# it had left in good order.
@pytest.mark.parametrize("removed", [0, 1])
@pytest.mark.parametrize("added_first", [True, False])
@pytest.mark.parametrize("asker", [0, 3])
def test_removed_vms_still_count_as_lost(
    asker: int, added_first: bool, removed: int
) -> None:
    worst = 0
    for program in PROGRAMS:
        simulation = OutageSimulation(vms=VMS)
        vm = simulation.vms[asker]
        turns = lose_holders(simulation, program, asker=vm)
        assert tokens(turns) > MAX_TOKENS
        added: list[OutageVm] = []
        if added_first:
            added = [simulation.add(), simulation.add()]
        simulation.advance(2.0)
        for _ in range(removed):
            simulation.detect_failures()
        if not added_first:
            added = [simulation.add(), simulation.add()]
            simulation.advance(0.5)
        turns += spend(simulation, added[0], program, turns=12)
        worst = max(worst, tokens(turns))
    assert worst <= BUDGET + MAX_TOKENS


# Guards against holding back half of the budgets for good after a VM has
# failed.
def test_removed_vms_are_forgotten_after_their_programs() -> None:
    simulation = OutageSimulation(vms=VMS)
    lose_holders(simulation, "lost", asker=simulation.vms[0])
    for _ in range(2):
        simulation.detect_failures()
    simulation.advance(LOST_MEMBERS_KEPT_S)
    for _ in range(2):
        simulation.detect_failures()
    added = simulation.add()
    simulation.advance(1.0)
    assert not added.service.members.lost()
    turns = spend(simulation, added, "new", turns=8)
    assert tokens(turns) == BUDGET


# Guards against doubts about VMs that fail when nothing was granted without
# the ledger.
def test_a_vm_that_fails_without_an_outage_leaves_no_doubt() -> None:
    simulation = OutageSimulation(vms=VMS)
    spend(simulation, simulation.vms[0], "before", turns=1)
    simulation.advance(61.0)
    for vm in simulation.vms[:2]:
        simulation.kill(vm)
    for _ in range(2):
        simulation.detect_failures()
    added = simulation.add()
    simulation.advance(1.0)
    turns = spend(simulation, added, "new", turns=8)
    assert tokens(turns) == BUDGET
