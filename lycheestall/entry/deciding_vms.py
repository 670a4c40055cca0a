"""Turns that deciding VMs grant while the store is unavailable."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..clock import sleep
from ..ids import ProgramId
from ..logs import Logger
from .ledger_writer import ReservationResult
from .members import Members
from .outage import OutageTracker
from .outage_allocator import OutageAllocator, OutageDecision
from .peer_messages import AskTokens, SettleTokens, TokenAnswer, Understood
from .peer_rpc import PeerClient
from .token_allocator import ReservationDecision, TurnId
from .token_ledger import HolderId, TokenLedger

__all__ = ["DECIDER_TIMEOUT_S", "DecidingVms"]

DECIDER_TIMEOUT_S = 0.3
"""Timeout of a call to a deciding VM."""

SETTLE_ATTEMPTS = 3
"""Attempts to report a turn's usage to its deciding VM."""

SETTLE_RETRY_S = 0.5
"""Seconds between these attempts."""


class DecidingVms:
    """Asks deciding VMs for turns, and decides for other VMs.

    Args:
        holder: This VM's ID in the ledger.
        ledger: Allocations of all VMs.
        outage: Tracks outages of the store.
        outage_allocator: What this VM grants as a deciding VM.
        members: The VMs of the system.
        peers: Calls them.
        clock: Times the calls.
        logger: Receives grants made without the store.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        ledger: TokenLedger,
        outage: OutageTracker,
        outage_allocator: OutageAllocator,
        members: Members,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._outage = outage
        self._outage_allocator = outage_allocator
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._decider_by_turn: dict[TurnId, HolderId] = {}
        self._budget_by_program: dict[ProgramId, int] = {}

    def decided(self, turn: TurnId) -> bool:
        """Returns whether a deciding VM was asked for a turn."""
        return turn in self._decider_by_turn

    def budget(self, program: ProgramId) -> int:
        """Returns the budget of a program that was asked about."""
        return self._budget_by_program.get(program, 0)

    def forget_budgets(self) -> None:
        """Forgets the budgets of the programs of an outage."""
        self._budget_by_program.clear()

    def ask(
        self, program: ProgramId, turn: TurnId, *, max_tokens: int, budget: int
    ) -> Deferred[ReservationResult] | ReservationResult:
        """Asks a program's deciding VM to grant a turn.

        Returns:
            The decision or a Deferred of it; None if no VM can decide.
        """
        decider = self._outage.decider(program, self._clock.seconds())
        if decider is None:
            return None
        self._budget_by_program[program] = budget
        message = AskTokens(
            self._holder,
            self._outage.view_digest,
            program,
            turn,
            max_tokens,
            budget,
            self._ledger.total(program).limit,
        )
        self._decider_by_turn[turn] = decider
        if decider == self._holder:
            return self._decided(self.decide(message), program, turn)
        member = self._members.get(decider)
        if member is None:
            del self._decider_by_turn[turn]
            return None
        reply = self._peers.call(
            member.address, message, timeout_s=DECIDER_TIMEOUT_S
        )
        decided: Deferred[ReservationResult] = reply.addCallbacks(
            self._decided,
            self._ask_failed,
            callbackArgs=(program, turn),
            errbackArgs=(program, turn),
        )
        return decided

    def decide(self, message: AskTokens) -> TokenAnswer:
        """Decides on a turn of any VM as its deciding VM."""
        now = self._clock.seconds()
        if not self._outage.is_decider(message.program, message.view, now):
            return TokenAnswer(granted=False, spent=False)
        self._budget_by_program[message.program] = message.budget
        decision = self._outage_allocator.reserve(
            message.program,
            message.holder,
            message.turn,
            max_tokens=message.max_tokens,
            budget=message.budget,
            recorded_limit=message.recorded_limit,
        )
        return TokenAnswer(
            granted=decision is OutageDecision.GRANTED,
            spent=decision is OutageDecision.SPENT,
        )

    def settle(self, program: ProgramId, turn: TurnId, used: int) -> None:
        """Tells a turn's deciding VM what the turn has used."""
        decider = self._decider_by_turn.pop(turn)
        if decider == self._holder:
            self._outage_allocator.settle(program, self._holder, turn, used)
            return
        result = ensureDeferred(
            self._settle_at_decider(decider, program, turn, used)
        )
        result.addErrback(self._settle_failed, program)

    def _ask_failed(
        self, failure: Failure, program: ProgramId, turn: TurnId
    ) -> Failure:
        # The caller has stopped waiting, but the decider may have granted
        # the turn.
        self.settle(program, turn, 0)
        return failure

    def _decided(
        self, reply: Any, program: ProgramId, turn: TurnId
    ) -> ReservationResult:
        granted = isinstance(reply, TokenAnswer) and reply.granted
        self._logger.info(
            "asked a deciding VM",
            program=program,
            turn=turn,
            decider=self._decider_by_turn.get(turn),
            view=self._outage.view_digest,
            granted=granted,
        )
        if granted:
            return ReservationDecision.GRANTED
        if reply is None:
            # The decider may have granted the turn, with its reply lost.
            self.settle(program, turn, 0)
            return None
        self._decider_by_turn.pop(turn, None)
        if isinstance(reply, TokenAnswer) and reply.spent:
            return ReservationDecision.SPENT
        return None

    async def _settle_at_decider(
        self, decider: HolderId, program: ProgramId, turn: TurnId, used: int
    ) -> None:
        message = SettleTokens(self._holder, program, turn, used)
        for _ in range(SETTLE_ATTEMPTS):
            member = self._members.get(decider)
            if member is None:
                return
            reply = await self._peers.call(
                member.address, message, timeout_s=DECIDER_TIMEOUT_S
            )
            if isinstance(reply, Understood):
                return
            await sleep(self._clock, SETTLE_RETRY_S)
        self._logger.warning(
            "decider did not confirm a turn's settlement",
            program=program,
            turn=turn,
            decider=decider,
        )

    def _settle_failed(self, failure: Failure, program: ProgramId) -> None:
        self._logger.error(
            "settling a turn at its decider failed",
            program=program,
            error=failure.getTraceback(),
        )
