"""Simulation of entry VMs that share a store and call each other.

It runs on a fake clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import (
    Deferred,
    ensureDeferred,
    maybeDeferred,
    succeed,
)
from twisted.internet.task import Clock

from lycheestall.entry.failure_detector import (
    MEMBER_CHECK_INTERVAL_S,
    MISSES_UNTIL_FAILED,
)
from lycheestall.entry.ledger_writer import ReservationResult
from lycheestall.entry.membership import Members
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.routed_store import RoutedStore
from lycheestall.entry.store import Topic
from lycheestall.entry.store_health import StoreHealth
from lycheestall.entry.token_allocator import TurnId
from lycheestall.entry.token_ledger import HolderId, TokenLedger
from lycheestall.entry.token_service import TokenService
from lycheestall.entry.turn_reservations import TurnReservations
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, ProgramId, ZoneId
from lycheestall.logs import get_logger
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore

STEP_S = 0.05
TURN_S = 0.3
"""Seconds that a turn lasts."""


class Network:
    """Connects the VMs; links between pairs can be cut."""

    def __init__(self) -> None:
        self.by_address: dict[Address, OutageVm] = {}
        self.frozen: set[Address] = set()
        self.cut_links: set[frozenset[Address]] = set()

    def reaches(self, one: Address, other: Address) -> bool:
        """Returns whether a call gets through."""
        if other in self.frozen:
            return False
        return frozenset((one, other)) not in self.cut_links


class FakePeerClient:
    """Calls other VMs of the simulation without delay."""

    def __init__(self, network: Network, own: Address) -> None:
        self._network = network
        self._own = own
        self.ended = False

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns the reply, or None if the peer is gone or cut off."""
        peer = self._network.by_address.get(address)
        if self.ended or self._own in self._network.frozen:
            return succeed(None)
        if peer is None or not self._network.reaches(self._own, address):
            return succeed(None)
        received: Any = decode(encode(message))
        return peer.handle_message(received)


class OutageVm:
    """The token budgets of one run of a VM's process.

    Attributes:
        ledger_polled_only: Whether the ledger is read as seldom as the
            process does without a reason; otherwise in each step.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        log: MemoryLog,
        network: Network,
        clock: Clock,
    ) -> None:
        logger = get_logger()
        self.holder = HolderId(name)
        self.ledger_polled_only = False
        self.address = address
        self.direct = MemoryStore(log)
        self.peers = FakePeerClient(network, address)
        peers: Any = self.peers
        self.store = RoutedStore(self.direct, peers, clock, logger)
        health = StoreHealth(
            logger,
            "ledger",
            on_recovered=self._on_recovered,
            on_unavailable=lambda: self.service.store_lost(),
        )
        self.service = TokenService(
            holder=self.holder,
            address=address,
            zone=ZoneId("zone"),
            members=Members(),
            store=self.store,
            health=health,
            peers=peers,
            reactor=clock,
            logger=logger,
        )

    @property
    def reservations(self) -> TurnReservations:
        """Reserves and settles the tokens of turns."""
        return self.service.reservations

    @property
    def ledger(self) -> TokenLedger:
        """Allocations of all VMs."""
        return self.service.ledger

    def step(self) -> None:
        """Does what the VM's polling loops do."""
        if not self.ledger_polled_only:
            ensureDeferred(self.service.follower.read())
        self.store.read(Topic.TARGETS, Offset(0))
        ensureDeferred(self.service.poll())
        ensureDeferred(self.service.survey())
        ensureDeferred(self.service.catch_up())

    def leave(self) -> None:
        """Shuts down as planned."""
        ensureDeferred(self.service.leave())

    def handle_message(self, message: Any) -> Deferred[PeerReply | None]:
        """Returns the reply to a message of a peer."""
        reply: Any = maybeDeferred(self.service.handle_message, message)
        return reply

    def _on_recovered(self, now: float) -> None:
        self.service.store_recovered()


@dataclass
class Turn:
    """A turn that a caller has asked for."""

    vm: OutageVm
    program: ProgramId
    turn_id: TurnId
    results: list[ReservationResult] = field(default_factory=list)

    @property
    def granted(self) -> bool:
        """Whether the turn may run."""
        return self.results == [ReservationDecision.GRANTED]


class OutageSimulation:
    """Several VMs, started with the store available.

    Args:
        seed: Determines what is random.
        vms: Number of VMs.
    """

    def __init__(self, *, seed: int = 1, vms: int = 5) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.log = MemoryLog()
        self.network = Network()
        self._incarnations = 0
        self._turns = 0
        self._store_fails = False
        self.vms: list[OutageVm] = []
        for number in range(vms):
            self.vms.append(self._vm(Address(f"10.0.0.{number + 1}", 1)))
        self.advance(0.5)

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs all VMs' loops."""
        for _ in range(max(1, round(seconds / STEP_S))):
            for vm in self.vms:
                if vm.address not in self.network.frozen:
                    vm.step()
            self.clock.advance(STEP_S)

    def fail_store(self, *vms: OutageVm) -> None:
        """Makes the store fail for some VMs, or for all if none is given."""
        self._store_fails = self._store_fails or not vms
        for vm in vms or tuple(self.vms):
            vm.direct.fault = Fault.REFUSES

    def fail_ledger(self) -> None:
        """Makes only the ledger topic of the store fail, for all VMs."""
        for vm in self.vms:
            vm.direct.refused_topics = {Topic.LEDGER}

    def restore_store(self) -> None:
        """Makes the store available to all VMs."""
        self._store_fails = False
        for vm in self.vms:
            if vm.address not in self.network.frozen:
                vm.direct.fault = Fault.NONE
            vm.direct.refused_topics = set()

    def kill(self, vm: OutageVm) -> None:
        """Kills a VM for good."""
        self.vms.remove(vm)
        vm.peers.ended = True
        del self.network.by_address[vm.address]
        vm.direct.fault = Fault.REFUSES

    def restart(self, vm: OutageVm) -> OutageVm:
        """Kills a VM and starts a new one at its address."""
        self.kill(vm)
        return self.start_again(vm)

    def start_again(self, vm: OutageVm) -> OutageVm:
        """Starts a new VM at the address of one that was killed."""
        restarted = self._vm(vm.address)
        if self._store_fails:
            restarted.direct.fault = Fault.REFUSES
        self.vms.append(restarted)
        return restarted

    def add(self) -> OutageVm:
        """Starts a VM at a new address."""
        added = self._vm(Address(f"10.0.1.{self._incarnations}", 1))
        self.vms.append(added)
        return added

    def detect_failures(self) -> None:
        """Lets VMs call each other until one that is gone is removed."""
        for _ in range(MISSES_UNTIL_FAILED):
            for vm in self.vms:
                if vm.address not in self.network.frozen:
                    ensureDeferred(vm.service.detect_failures())
            self.advance(MEMBER_CHECK_INTERVAL_S)

    def freeze(self, vm: OutageVm) -> None:
        """Stops a VM's process; it calls nobody and doesn't reply."""
        self.network.frozen.add(vm.address)
        vm.direct.fault = Fault.REFUSES

    def wake(self, vm: OutageVm) -> None:
        """Lets a frozen VM go on."""
        self.network.frozen.discard(vm.address)
        if not self._store_fails:
            vm.direct.fault = Fault.NONE

    def ask(
        self, vm: OutageVm, program: str, *, max_tokens: int, budget: int
    ) -> Turn:
        """Asks a VM for a turn."""
        self._turns += 1
        turn = Turn(vm, ProgramId(program), TurnId(self._turns))
        result = vm.reservations.reserve(
            turn.program, turn.turn_id, max_tokens=max_tokens, budget=budget
        )
        if isinstance(result, Deferred):
            result.addBoth(turn.results.append)
        else:
            turn.results.append(result)
        return turn

    def spend(
        self,
        vm: OutageVm,
        program: str,
        *,
        max_tokens: int,
        budget: int,
        turns: int,
        pause_s: float = 0.0,
    ) -> list[Turn]:
        """Runs a program's turns at one VM, each after the one before.

        Args:
            vm: The VM.
            program: The program.
            max_tokens: What each turn uses.
            budget: The program's budget.
            turns: Number of turns that are asked for.
            pause_s: Seconds between two turns.
        """
        asked: list[Turn] = []
        for _ in range(turns):
            turn = self.ask(vm, program, max_tokens=max_tokens, budget=budget)
            self.advance(TURN_S)
            asked.append(turn)
            if turn.granted:
                vm.reservations.settle(turn.program, turn.turn_id, max_tokens)
            if pause_s:
                self.advance(pause_s)
        return asked

    def run_loop(
        self, program: str, *, max_tokens: int, budget: int, turns: int
    ) -> int:
        """Runs turns one by one at random VMs; returns the tokens used."""
        used = 0
        for _ in range(turns):
            vm = self.random.choice(self.vms)
            turn = self.ask(vm, program, max_tokens=max_tokens, budget=budget)
            self.advance(0.1)
            if turn.granted:
                used += max_tokens
                vm.reservations.settle(turn.program, turn.turn_id, max_tokens)
        return used

    def _vm(self, address: Address) -> OutageVm:
        self._incarnations += 1
        name = f"vm-{self._incarnations}"
        vm = OutageVm(name, address, self.log, self.network, self.clock)
        self.network.by_address[address] = vm
        return vm
