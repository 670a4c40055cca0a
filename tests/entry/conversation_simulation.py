"""Simulation of VMs that keep conversations over one store.

It runs on a fake clock. Callers' own records of what was answered are the
measure, never what the VMs believe.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import (
    Deferred,
    ensureDeferred,
    maybeDeferred,
    succeed,
)
from twisted.internet.task import Clock

from lycheestall.conversations import (
    Chain,
    ConversationTurn,
    ConversationTurnId,
    prompt_body,
)
from lycheestall.entry.conversation_lookup import (
    FoundConversation,
    LookupResult,
    TurnNotFound,
)
from lycheestall.entry.conversation_service import ConversationService
from lycheestall.entry.entry_metrics import EntryMetrics
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.store import KeyedRecord, Topic
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, ProgramId, ZoneId
from lycheestall.logs import get_logger
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore

STEP_S = 0.05
RETENTION_S = 60.0
PATIENCE_S = 20.0
"""Seconds that a caller waits for the end of a response."""
ZONES = 3


class SimulatedPeers:
    """Calls other VMs without delay; links can be cut."""

    def __init__(self, simulation: ConversationSimulation, own: Address):
        self._simulation = simulation
        self._own = own
        self.calls = 0

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns the reply; None if the peer is gone or cut off."""
        self.calls += 1
        peer = self._simulation.by_address.get(address)
        cut = {self._own, address} & self._simulation.isolated
        if peer is None or cut or self._own not in self._simulation.by_address:
            return succeed(None)
        received: Any = decode(encode(message))
        reply: Any = maybeDeferred(peer.service.handle_message, received)
        return reply


class ConversationVm:
    """The conversations of one run of a VM's process."""

    def __init__(
        self, name: str, number: int, simulation: ConversationSimulation
    ) -> None:
        self.holder = HolderId(name)
        self.address = Address(f"10.0.0.{number}", 1)
        self.zone = ZoneId(f"zone-{number % ZONES}")
        self.store = MemoryStore(simulation.log, page=3)
        self.members = Members()
        self.members_complete = True
        self.peers = SimulatedPeers(simulation, self.address)
        peers: Any = self.peers
        self.service = ConversationService(
            holder=self.holder,
            members=self.members,
            members_complete=lambda: self.members_complete,
            store=self.store,
            peers=peers,
            max_bytes=simulation.max_bytes,
            clock=simulation.clock,
            unix_clock=simulation.clock.seconds,
            logger=get_logger(),
            metrics=EntryMetrics(vm=name),
        )


@dataclass
class Answer:
    """A turn that a VM was asked to keep.

    Attributes:
        turn: The turn.
        prompt: The whole prompt that the target has received.
        kept: Whether the response ended whole; None while it waits.
        answered_at: When the response ended.
    """

    turn: ConversationTurn
    prompt: bytes
    kept: bool | None = None
    answered_at: float = 0.0


class ConversationSimulation:
    """Several VMs and callers who remember what they were answered."""

    def __init__(
        self, *, seed: int = 1, vms: int = 6, max_bytes: int = 4_000_000
    ) -> None:
        self.random = random.Random(seed)
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.log = MemoryLog()
        self.max_bytes = max_bytes
        self.by_address: dict[Address, ConversationVm] = {}
        self.isolated: set[Address] = set()
        self.answers: list[Answer] = []
        self._incarnations = 0
        self._turns = 0
        for number in range(vms):
            self._start(number)

    @property
    def vms(self) -> list[ConversationVm]:
        """The VMs that run."""
        return list(self.by_address.values())

    def ask(
        self,
        vm: ConversationVm,
        previous: Answer | None = None,
        *,
        program: str = "p",
        retention_s: float = RETENTION_S,
    ) -> Answer | TurnNotFound:
        """Runs one turn at a VM and asks it to keep it."""
        self._turns += 1
        chain: Chain | None = None
        if previous is not None:
            result = self.find(vm, previous.turn.turn_id, program)
            if isinstance(result, TurnNotFound):
                return result
            chain = result.chain
        turn_input = f"ask {self._turns};".encode()
        turn = ConversationTurn(
            turn_id=ConversationTurnId(f"turn-{self._turns}"),
            ancestors=() if chain is None else chain.ids_newest_first,
            input=turn_input,
            output=f"answer {self._turns}\n".encode(),
            retention_s=retention_s,
        )
        answer = Answer(turn, prompt_body(chain, turn_input))
        self.answers.append(answer)
        kept = ensureDeferred(
            vm.service.keep(
                turn,
                chain,
                ProgramId(program),
                give_up_at=self.clock.seconds() + PATIENCE_S,
            )
        )
        kept.addCallback(self._answered, answer)
        return answer

    def find(
        self, vm: ConversationVm, turn_id: str, program: str = "p"
    ) -> LookupResult:
        """Looks a conversation up at a VM."""
        results: list[LookupResult] = []
        found: Any = maybeDeferred(
            vm.service.find, ConversationTurnId(turn_id), ProgramId(program)
        )
        found.addCallback(results.append)
        assert results, "the lookup waits for something"
        return results[0]

    def expected_prompt(self, answer: Answer) -> bytes:
        """What a turn that continues from an answer must begin with."""
        return answer.prompt + answer.turn.output

    def check(self, vm: ConversationVm, answer: Answer) -> LookupResult:
        """Checks that a VM doesn't forget or change an answered turn."""
        result = self.find(vm, answer.turn.turn_id)
        if isinstance(result, FoundConversation):
            prompt = prompt_body(result.chain, b"")
            assert prompt == self.expected_prompt(answer)
        else:
            assert not result.certain, f"{answer.turn.turn_id} denied"
        return result

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs the VMs' loops."""
        for _ in range(max(1, round(seconds / STEP_S))):
            for vm in self.vms:
                ensureDeferred(vm.service.recorder.write_due())
                vm.service.remove_expired()
            self.clock.advance(STEP_S)

    def set_store_fault(self, fault: Fault, *vms: ConversationVm) -> None:
        """Sets the store's fault for some VMs, or for all."""
        for vm in vms or tuple(self.vms):
            vm.store.fault = fault

    def kill(self, vm: ConversationVm) -> None:
        """Kills a VM for good."""
        del self.by_address[vm.address]
        vm.store.fault = Fault.REFUSES

    def restart(self, vm: ConversationVm) -> ConversationVm:
        """Kills a VM and starts another run in its place."""
        fault = vm.store.fault
        self.kill(vm)
        started = self._start(int(vm.address.host.rsplit(".", 1)[1]))
        started.store.fault = fault
        return started

    def sweep_all(self) -> None:
        """Makes each VM look through all of its shards."""
        for vm in self.vms:
            for _ in range(vm.store.turn_shards):
                ensureDeferred(vm.service.sweep())

    def record_keys(self) -> set[bytes]:
        """Keys of the records of turns in the store."""
        return {record.key for record in self.log.newest(Topic.TURNS)}

    def pick(self, condition: Callable[[ConversationVm], bool]) -> Any:
        """Returns a VM that meets a condition."""
        return next(vm for vm in self.vms if condition(vm))

    def _answered(self, kept: bool, answer: Answer) -> None:
        answer.kept = kept
        answer.answered_at = self.clock.seconds()

    def _start(self, number: int) -> ConversationVm:
        self._incarnations += 1
        vm = ConversationVm(f"vm-{self._incarnations}", number, self)
        self.by_address[vm.address] = vm
        for one in self.vms:
            for other in self.vms:
                self._introduce(one, other)
        return vm

    def _introduce(self, one: ConversationVm, other: ConversationVm) -> None:
        write = join_record(Member(other.holder, other.address, other.zone))
        offset = Offset(int(other.holder.removeprefix("vm-")))
        one.members.apply(KeyedRecord(offset, write.key, write.value))
