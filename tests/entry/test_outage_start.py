"""How soon after the start of an outage programs get their turns."""

from __future__ import annotations

import pytest

from tests.entry import token_fleet
from tests.entry.token_fleet import TokenFleet

FIRST_TURN_S = 0.3
SLOW_REPLY_S = 0.03
NEW_PROGRAMS = 8
TURNS = 4


def waits_in_outage(fleet: TokenFleet) -> list[float]:
    """Returns the seconds that turns wait from the outage's start on.

    A known program goes on at another VM, then new ones start.

    Args:
        fleet: The VMs, of which the first two serve no program.
    """
    vms = fleet.vms[2:]
    waits = fleet.run_turns(vms[1], "known", TURNS)
    for number in range(NEW_PROGRAMS):
        vm = vms[number % len(vms)]
        waits += fleet.run_turns(vm, f"new-{number}", TURNS)
    return waits


# Guards against an outage that is over before all VMs have told what they know
# of the ledger, while every program is refused.
@pytest.mark.parametrize("vms", [12, 80, 300])
def test_programs_go_on_at_the_start_of_an_outage(vms: int) -> None:
    fleet = TokenFleet(vms=vms)
    fleet.run_turns(fleet.vms[2], "known", 2)
    fleet.advance(0.3)
    fleet.fail_store()
    assert max(waits_in_outage(fleet)) < FIRST_TURN_S


# Guards against programs that wait for records of a VM which was killed after
# it had told them.
@pytest.mark.parametrize("vms", [12, 80])
def test_a_kill_in_an_outage_delays_no_other_program(vms: int) -> None:
    fleet = TokenFleet(vms=vms)
    fleet.run_turns(fleet.vms[2], "known", 2)
    fleet.advance(0.3)
    fleet.fail_store()
    fleet.clock.callLater(0.1, fleet.vms[0].kill)
    waits = waits_in_outage(fleet)
    in_time = sum(wait_s < FIRST_TURN_S for wait_s in waits)
    # The programs that the killed VM decides on are refused.
    assert in_time >= len(waits) - TURNS


# Guards against VMs that collect anew what a restart before the outage left
# in doubt.
def test_programs_go_on_after_a_restart_of_all_vms() -> None:
    fleet = TokenFleet(vms=12)
    for vm in fleet.vms:
        fleet.restart(vm)
    fleet.advance(4.0)
    fleet.run_turns(fleet.vms[2], "known", 2)
    fleet.advance(0.3)
    fleet.fail_store()
    assert max(waits_in_outage(fleet)) < FIRST_TURN_S


# Guards against a second outage that finds what the first one collected or
# agreed on still in use.
def test_programs_go_on_in_a_second_outage() -> None:
    fleet = TokenFleet(vms=12)
    fleet.run_turns(fleet.vms[2], "known", 2)
    fleet.fail_store()
    fleet.advance(3.0)
    fleet.restore_store()
    fleet.advance(1.0)
    fleet.fail_store()
    assert max(waits_in_outage(fleet)) < FIRST_TURN_S


# Guards against ages of reads that grow too young, reply by reply, as VMs pass
# on what others have told: after half a second of it, what the silent VM may
# have recorded seemed unread for the whole outage.
def test_slow_replies_leave_a_silent_vm_alone_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(token_fleet, "PEER_DELAY_S", SLOW_REPLY_S)
    fleet = TokenFleet(vms=24)
    fleet.vms[1].kill()
    for number in range(40):
        vm = fleet.vms[2 + number % 20]
        fleet.run_turns(vm, f"before-{number}", 1)
        fleet.advance(0.05)
    fleet.fail_store()
    fleet.advance(2.0)
    waits = waits_in_outage(fleet)
    in_time = sum(wait_s < FIRST_TURN_S for wait_s in waits)
    # The programs that the killed VM decides on are refused.
    assert in_time >= len(waits) - TURNS
