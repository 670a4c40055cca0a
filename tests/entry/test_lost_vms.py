"""Token budgets after the loss of many VMs while the store is available."""

from __future__ import annotations

import pytest

from tests.entry.token_fleet import TokenFleet

VMS = 12
LOST = 7
MAX_WAIT_S = 0.08


# Guards against doubts about grants without the ledger when there was no
# outage, and against turns that wait for the word of VMs that are gone.
@pytest.mark.parametrize("restart", [False, True])
def test_lost_vms_delay_no_turn_while_the_store_is_available(
    restart: bool,
) -> None:
    fleet = TokenFleet(vms=VMS)
    vms = fleet.vms
    fleet.run_turns(vms[-1], "before", 1)
    for vm in vms[:LOST]:
        if restart:
            fleet.restart(vm, after_s=0.5)
        else:
            vm.kill()
    survivors = fleet.vms
    waits: list[float] = []
    for number in range(10):
        vm = survivors[number % len(survivors)]
        waits += fleet.run_turns(vm, f"new-{number}", 8, used_share=1.0)
    fleet.advance(1.5)
    for number, vm in enumerate(fleet.vms):
        waits += fleet.run_turns(vm, f"later-{number}", 8, used_share=1.0)
    assert max(waits) < MAX_WAIT_S


# Guards against VMs that vouch for grants which were lost in an outage.
def test_vms_that_restarted_in_an_outage_vouch_for_nothing() -> None:
    fleet = TokenFleet(vms=4)
    fleet.advance(1.0)
    fleet.fail_store()
    fleet.advance(0.5)
    one, other, *rest = fleet.vms
    waits = fleet.run_turns(one, "loop", 4, used_share=1.0, give_up_s=1.0)
    assert max(waits) < 1.0
    for vm in (one, other, *rest):
        fleet.restart(vm, after_s=0.2)
    fleet.advance(0.5)
    fleet.restore_store()
    fleet.advance(3.0)
    used = 4
    for vm in fleet.vms:
        waits = fleet.run_turns(vm, "loop", 3, used_share=1.0, give_up_s=0.6)
        used += sum(wait_s < 0.6 for wait_s in waits)
    assert used <= 9
