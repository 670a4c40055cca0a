"""Simulation of the token budgets of several VMs over one store.

It runs on a fake clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lycheestall.entry.crashes.crash_reports import CrashReports
from lycheestall.entry.ledger_writer import LedgerWriter, ReservationResult
from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.store import KeyedRecord, Topic
from lycheestall.entry.store_health import StoreHealth
from lycheestall.entry.token_allocator import TokenAllocator, TurnId
from lycheestall.entry.token_ledger import HolderId, TokenLedger
from lycheestall.entry.topic_follower import TopicFollower
from lycheestall.entry.unrecorded_grants import UnrecordedGrants
from lycheestall.ids import ProgramId
from lycheestall.logs import get_logger
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore


class LedgerVm:
    """The token budgets of one run of a VM's process."""

    def __init__(self, name: str, log: MemoryLog, clock: Clock) -> None:
        self.holder = HolderId(name)
        self.clock = clock
        self.store = MemoryStore(log, page=3)
        self.ledger = TokenLedger()
        self.allocator = TokenAllocator(
            self.holder, self.ledger, UnrecordedGrants(self.ledger)
        )
        self.crashes = CrashReports(clock)
        logger = get_logger()
        self.health = StoreHealth(
            logger, "ledger", on_recovered=lambda now: None
        )
        self.follower = TopicFollower(
            self.store,
            Topic.LEDGER,
            clock=clock,
            health=self.health,
            apply=self._apply,
        )
        self.writer = LedgerWriter(
            store=self.store,
            follower=self.follower,
            allocator=self.allocator,
            crashes=self.crashes,
            holder=self.holder,
            clock=clock,
            health=self.health,
            logger=logger,
            grants_known=lambda program: True,
            recovering=lambda: False,
        )

    def _apply(self, record: KeyedRecord) -> None:
        self.writer.observe(record)
        update = self.ledger.apply(record)
        if update is None:
            self.crashes.apply(record)
        elif update.holder != self.holder:
            self.allocator.other_vm_recorded(
                update.program, self.clock.seconds()
            )
            self.writer.wake()


@dataclass
class Turn:
    """A turn that a caller has asked for."""

    vm: LedgerVm
    turn_id: TurnId
    results: list[ReservationResult] = field(default_factory=list)


class LedgerSimulation:
    """Several VMs, the turns of a program, and the tokens that it was sent.

    Args:
        seed: Determines the faults and the tokens of turns.
        vms: Number of VMs.
    """

    def __init__(self, *, seed: int, vms: int = 4) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.log = MemoryLog()
        self._incarnations = 0
        self._turns = 0
        self.vms = [self._vm() for _ in range(vms)]
        self.used = 0
        self.running: list[Turn] = []

    def ask(
        self, vm: LedgerVm, program: ProgramId, *, max_tokens: int, budget: int
    ) -> Turn:
        """Asks a VM for a turn."""
        self._turns += 1
        turn = Turn(vm, TurnId(self._turns))
        result = vm.writer.reserve(
            program, turn.turn_id, max_tokens=max_tokens, budget=budget
        )
        if isinstance(result, Deferred):
            result.addBoth(turn.results.append)
        else:
            turn.results.append(result)
        return turn

    def settle(self, turn: Turn, program: ProgramId, used: int) -> None:
        """Ends a turn."""
        self.used += used
        turn.vm.writer.settle(program, turn.turn_id, used)

    def restart(self, vm: LedgerVm) -> None:
        """Kills a VM and starts a new one in its place."""
        vm.store.fault = Fault.REFUSES
        self.vms[self.vms.index(vm)] = self._vm()
        self.running = [turn for turn in self.running if turn.vm is not vm]

    def advance(self, seconds: float) -> None:
        """Advances the clock in small steps."""
        for _ in range(max(1, int(seconds / 0.01))):
            self.clock.advance(0.01)

    def granted(self, turn: Turn) -> bool:
        """Returns whether a turn may run."""
        return turn.results == [ReservationDecision.GRANTED]

    def _vm(self) -> LedgerVm:
        self._incarnations += 1
        return LedgerVm(f"vm-{self._incarnations}", self.log, self.clock)
