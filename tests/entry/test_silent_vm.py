"""Token budgets in an outage that begins as a VM falls silent."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred

from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.token_allocator import TurnId
from lycheestall.ids import ProgramId
from tests.entry.token_fleet import FleetVm, TokenFleet

MAX_TOKENS = 280
BUDGET = 2240
PROGRAMS = 10
GIVE_UP_S = 0.35
FIRST_TURN_S = 0.3


def ask(vm: FleetVm, program: str, turn: int) -> list[Any]:
    """Asks for a turn; returns a list that receives the decision."""
    results: list[Any] = []
    result = vm.service.reservations.reserve(
        ProgramId(program), TurnId(turn), max_tokens=MAX_TOKENS, budget=BUDGET
    )
    if isinstance(result, Deferred):
        result.addBoth(results.append)
    else:
        results.append(result)
    return results


# Guards against one silent VM that limits all programs to a single turn.
@pytest.mark.parametrize("vms", [12, 80, 300])
def test_new_programs_go_on_beside_a_silent_vm(vms: int) -> None:
    fleet = TokenFleet(vms=vms)
    fleet.vms[0].kill()
    fleet.fail_store()
    asked = fleet.vms[2:10]
    waits: list[float] = []
    for number in range(PROGRAMS):
        vm = asked[number % len(asked)]
        waits += fleet.run_turns(vm, f"new-{number}", 4, give_up_s=GIVE_UP_S)
    in_time = sum(wait_s < FIRST_TURN_S for wait_s in waits)
    # The programs that the silent VM decides on are refused.
    assert in_time >= len(waits) - 2 * 4


# Guards against granting a second time what a VM has recorded just before it
# fell silent, and nobody else has read.
@pytest.mark.parametrize("burst", range(1, 9))
@pytest.mark.parametrize("delay_s", [0.02, 0.04, 0.3])
def test_a_burst_before_a_silence_exceeds_no_budget(
    burst: int, delay_s: float
) -> None:
    fleet = TokenFleet(vms=12, seed=burst)
    silent = fleet.vms[0]
    granted: list[list[Any]] = []
    for number in range(PROGRAMS):
        for turn in range(burst):
            number_of_turn = 1000 + number * 10 + turn
            granted.append(ask(silent, f"p-{number}", number_of_turn))
    fleet.advance(delay_s)
    silent.kill()
    granted = [list(results) for results in granted]
    fleet.fail_store()
    fleet.advance(0.5)
    decision = [ReservationDecision.GRANTED]
    for number in range(PROGRAMS):
        results = granted[number * burst : (number + 1) * burst]
        turns = sum(result == decision for result in results)
        vm = fleet.vms[number % 5 + 1]
        waits = fleet.run_turns(
            vm, f"p-{number}", 9, used_share=1.0, give_up_s=0.1
        )
        turns += sum(wait_s < 0.1 for wait_s in waits)
        assert turns * MAX_TOKENS <= BUDGET + MAX_TOKENS
