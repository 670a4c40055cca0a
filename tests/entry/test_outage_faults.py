"""Budgets over outages with VMs that die, stand still or restart in them."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.entry.memory_store import Fault
from tests.entry.outage_simulation import OutageSimulation, OutageVm, Turn

MAX_TOKENS = 280
BUDGET = 3000
VMS = 4
PROGRAMS = 8
STEPS = 100
LAST_TURNS = 8


class _FaultyOutages:
    """Several turns at once of some programs, over outages and VM faults.

    Args:
        seed: Determines the faults and the turns.
    """

    def __init__(self, seed: int) -> None:
        self.simulation = OutageSimulation(seed=seed, vms=VMS)
        self.rng = self.simulation.random
        self.running: list[Turn] = []
        self.frozen: list[OutageVm] = []
        self.used: Counter[str] = Counter()
        self.served = 0
        # Several restarts put programs in doubt, which hides other faults.
        self._restarts_left = self.rng.choice((0, 1, 1, 1, 2, 4))

    def run(self) -> None:
        """Injects faults and runs turns."""
        for _ in range(STEPS):
            self._fault()
            self._ask(f"loop-{self.rng.randrange(PROGRAMS)}")
            self.simulation.advance(self.rng.choice((0.05, 0.1, 0.2, 0.6)))
            self._end_turns()
        self._spend_the_rest()
        for turn in self.running:
            self.used[turn.program] += MAX_TOKENS if turn.granted else 0

    def _spend_the_rest(self) -> None:
        # Tokens that nobody counted are given out again now.
        while self.frozen:
            self.simulation.wake(self.frozen.pop())
        self.simulation.restore_store()
        self.simulation.advance(4.0)
        for _ in range(LAST_TURNS):
            for number in range(PROGRAMS):
                self._ask(f"loop-{number}")
            self.simulation.advance(0.2)
            self._end_turns()

    def _fault(self) -> None:
        simulation, rng = self.simulation, self.rng
        event = rng.random()
        vm = rng.choice(simulation.vms)
        vm.ledger_polled_only = rng.random() < 0.7
        if event < 0.06:
            simulation.fail_store()
        elif event < 0.12:
            simulation.restore_store()
        elif event < 0.16:
            vm.direct.fault = Fault.NONE
        elif event < 0.19:
            simulation.fail_store(vm)
        elif event < 0.24:
            self._restart(vm)
        elif event < 0.27 and not self.frozen:
            simulation.freeze(vm)
            self.frozen.append(vm)
        elif event < 0.32 and self.frozen:
            simulation.wake(self.frozen.pop())

    def _restart(self, vm: OutageVm) -> None:
        if vm in self.frozen or not self._restarts_left:
            return
        self._restarts_left -= 1
        for turn in list(self.running):
            if turn.vm is not vm:
                continue
            # Its caller may have got all of the turn.
            self.used[turn.program] += MAX_TOKENS if turn.granted else 0
            self.running.remove(turn)
        self.simulation.restart(vm)

    def _ask(self, program: str) -> None:
        awake = [vm for vm in self.simulation.vms if vm not in self.frozen]
        vm = self.rng.choice(awake)
        for _ in range(self.rng.randrange(1, 4)):
            self.running.append(
                self.simulation.ask(
                    vm, program, max_tokens=MAX_TOKENS, budget=BUDGET
                )
            )

    def _end_turns(self) -> None:
        for turn in list(self.running):
            if turn.vm in self.frozen:
                continue
            if turn.results and not turn.granted:
                self.running.remove(turn)
            elif turn.granted and self.rng.random() < 0.5:
                self.running.remove(turn)
                tokens = self.rng.randrange(MAX_TOKENS // 2, MAX_TOKENS + 1)
                self.used[turn.program] += tokens
                self.served += 1
                turn.vm.reservations.settle(turn.program, turn.turn_id, tokens)


# Guards against grants that are lost or counted by nobody when VMs fail in an
# outage, right after it, or in the next one.
@pytest.mark.parametrize("seed", range(40))
def test_vm_faults_in_outages_exceed_no_budget(seed: int) -> None:
    outages = _FaultyOutages(seed)
    outages.run()
    assert max(outages.used.values()) <= BUDGET + MAX_TOKENS
    assert outages.served >= 3 * PROGRAMS
