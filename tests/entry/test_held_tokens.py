"""Tokens that a VM holds in advance while grants of others are unrecorded."""

from __future__ import annotations

from enum import Enum

import pytest

from tests.entry.outage_simulation import OutageSimulation, OutageVm, Turn

MAX_TOKENS = 280
BUDGET = 20 * MAX_TOKENS
VMS = 6
RENEWED_S = 0.5
"""Seconds in which a VM records what it holds in advance."""

PROGRAMS = [f"program-{number}" for number in range(12)]


class Loss(Enum):
    """What happens to the VMs that know of a program's grants."""

    RESTART_AFTER = "they are killed, and start again after the outage"
    RESTART_INSIDE = "they are killed, and start again inside the outage"
    LOST = "they are killed for good"
    FROZEN = "they stand still until the end"


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


def lose(
    simulation: OutageSimulation, vms: list[OutageVm], loss: Loss
) -> None:
    """Loses VMs in an outage, and ends the outage."""
    for vm in vms:
        if loss is Loss.FROZEN:
            simulation.freeze(vm)
        elif loss is Loss.RESTART_INSIDE:
            simulation.restart(vm)
        elif loss is Loss.LOST:
            simulation.kill(vm)
    if loss is not Loss.RESTART_AFTER:
        simulation.advance(0.5)
        simulation.restore_store()
        return
    for vm in vms:
        simulation.kill(vm)
    simulation.advance(0.5)
    simulation.restore_store()
    simulation.advance(1.0)
    for vm in vms:
        simulation.start_again(vm)


# Guards against a VM that spends and renews what it holds in advance without
# asking for grants that the ledger lacks.
@pytest.mark.parametrize("outages", [1, 3])
@pytest.mark.parametrize("loss", Loss)
def test_a_vm_that_holds_tokens_asks_for_lost_grants(
    loss: Loss, outages: int
) -> None:
    worst = 0
    for program in PROGRAMS:
        simulation = OutageSimulation(vms=VMS)
        first = simulation.vms[0]
        turns = spend(simulation, first, program, turns=1)
        simulation.advance(1.0)
        decider = first.service.members.view().decider(turns[0].program)
        asker, *_ = (vm for vm in simulation.vms[1:] if vm.holder != decider)
        known_by = [vm for vm in simulation.vms[1:] if vm.holder == decider]
        for number in range(outages):
            simulation.fail_store()
            simulation.advance(1.5)
            if number == 0:
                turns += spend(simulation, asker, program, turns=12)
                lose(simulation, [asker, *known_by], loss)
            else:
                simulation.restore_store()
            simulation.advance(2.0)
        turns += spend(simulation, first, program, turns=24, pause_s=RENEWED_S)
        granted = sum(turn.granted for turn in turns) * MAX_TOKENS
        worst = max(worst, granted)
    assert worst <= BUDGET + MAX_TOKENS


# Guards against refusing turns that fit into what a VM holds in advance for
# as long as nobody tells it of grants that the ledger lacks.
def test_held_tokens_are_spent_while_grants_are_not_known() -> None:
    simulation = OutageSimulation(vms=VMS)
    first = simulation.vms[0]
    spend(simulation, first, PROGRAMS[0], turns=1)
    simulation.advance(1.0)
    simulation.fail_store()
    simulation.advance(1.5)
    for vm in simulation.vms[1:]:
        simulation.freeze(vm)
    simulation.restore_store()
    simulation.advance(0.1)
    assert any(
        t.granted for t in spend(simulation, first, PROGRAMS[0], turns=1)
    )
