"""Entry VMs' token budgets over one store, in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lycheestall.entry.crash_reports import CrashReports
from lycheestall.entry.ledger_writer import LedgerWriter, TurnAnswer
from lycheestall.entry.store import KeyedRecord, Topic
from lycheestall.entry.store_health import StoreHealth
from lycheestall.entry.token_books import BookDecision, TokenBooks, TurnId
from lycheestall.entry.token_ledger import HolderId, TokenLedger
from lycheestall.entry.topic_follower import TopicFollower
from lycheestall.ids import ProgramId
from lycheestall.logs import get_logger
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore


class LedgerVm:
    """One life of one VM, as far as budgets go."""

    def __init__(self, name: str, log: MemoryLog, clock: Clock) -> None:
        self.holder = HolderId(name)
        self.clock = clock
        self.store = MemoryStore(log, page=3)
        self.ledger = TokenLedger()
        self.books = TokenBooks(
            self.holder, self.ledger, doubtful=lambda: False
        )
        self.crashes = CrashReports(self.holder)
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
            books=self.books,
            crashes=self.crashes,
            holder=self.holder,
            clock=clock,
            health=self.health,
            logger=logger,
            hold_off=lambda: False,
        )

    def _apply(self, record: KeyedRecord) -> None:
        self.writer.saw(record)
        grant = self.ledger.apply(record)
        if grant is None:
            self.crashes.apply(record)
        elif grant.holder != self.holder:
            self.books.others_recorded(grant.program, self.clock.seconds())
            self.writer.wake()


@dataclass
class Turn:
    """A turn that a caller has asked for."""

    vm: LedgerVm
    turn: TurnId
    answer: list[TurnAnswer] = field(default_factory=list)


class LedgerWorld:
    """VMs, a program that loops through them, and what it was handed.

    Args:
        seed: Decides on faults and on the tokens of turns.
        vms: How many VMs there are.
    """

    def __init__(self, *, seed: int, vms: int = 4) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.log = MemoryLog()
        self._lives = 0
        self._turns = 0
        self.vms = [self._vm() for _ in range(vms)]
        self.handed = 0
        self.running: list[Turn] = []

    def ask(
        self, vm: LedgerVm, program: ProgramId, *, most: int, budget: int
    ) -> Turn:
        """Asks for a turn at a VM."""
        self._turns += 1
        turn = Turn(vm, TurnId(self._turns))
        answer = vm.writer.reserve(
            program, turn.turn, most=most, budget=budget
        )
        if isinstance(answer, Deferred):
            answer.addBoth(turn.answer.append)
        else:
            turn.answer.append(answer)
        return turn

    def settle(self, turn: Turn, program: ProgramId, handed: int) -> None:
        """Ends a turn."""
        self.handed += handed
        turn.vm.writer.settle(program, turn.turn, handed)

    def restart(self, vm: LedgerVm) -> None:
        """Kills a VM; a new life takes its place."""
        vm.store.fault = Fault.REFUSES
        self.vms[self.vms.index(vm)] = self._vm()
        self.running = [turn for turn in self.running if turn.vm is not vm]

    def advance(self, seconds: float) -> None:
        """Lets time pass in small steps."""
        for _ in range(max(1, int(seconds / 0.01))):
            self.clock.advance(0.01)

    def granted(self, turn: Turn) -> bool:
        """Returns whether a turn may run."""
        return turn.answer == [BookDecision.GRANTED]

    def _vm(self) -> LedgerVm:
        self._lives += 1
        return LedgerVm(f"vm-{self._lives}", self.log, self.clock)
