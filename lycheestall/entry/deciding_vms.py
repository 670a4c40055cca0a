"""Turns that deciding VMs grant while the store is unavailable."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..clock import sleep
from ..ids import ProgramId
from ..logs import Logger
from .ledger_writer import ReservationResult
from .membership import Members
from .outage import OutageTracker
from .outage_allocator import OutageAllocator, OutageDecision
from .outages.budget_refusals import BudgetRefusals, RefusalReason
from .peer_messages import (
    AskTokens,
    HoldGrant,
    SettleTokens,
    TokenAnswer,
    Understood,
)
from .peer_rpc import PeerClient
from .reservation_decision import ReservationDecision
from .token_allocator import TokenAllocator, TurnId
from .token_ledger import HolderId, TokenLedger, TurnRef
from .unrecorded_grants import TurnGrant, UnrecordedGrants

__all__ = ["DECIDER_TIMEOUT_S", "DecidingVms"]

DECIDER_TIMEOUT_S = 0.3
"""Timeout of a call to a deciding VM."""

COPY_TIMEOUT_S = 0.12
"""Timeout of a call that asks a peer to remember a grant; two of them fit into
the time that the asking VM waits."""

COPY_ATTEMPTS = 2
"""Peers that are asked to remember a grant before the turn is refused."""

SETTLE_ATTEMPTS = 3
"""Attempts to report a turn's usage to its deciding VM."""

SETTLE_RETRY_S = 0.5
"""Seconds between these attempts."""


class DecidingVms:
    """Asks deciding VMs for turns, and decides for other VMs.

    A grant counts once two VMs of the deciding VM's group know of it.

    Args:
        holder: This VM's ID in the ledger.
        ledger: Allocations of all VMs.
        outage: Tracks outages of the store.
        outage_allocator: What this VM grants as a deciding VM.
        grants: Unrecorded grants.
        allocator: Names turns whose grants may be known to others only.
        members: The VMs of the system.
        peers: Calls them.
        clock: Times the calls.
        logger: Receives grants made without the store.

    Attributes:
        refusals: Why turns were not granted.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        ledger: TokenLedger,
        outage: OutageTracker,
        outage_allocator: OutageAllocator,
        grants: UnrecordedGrants,
        allocator: TokenAllocator,
        members: Members,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._outage = outage
        self._outage_allocator = outage_allocator
        self._grants = grants
        self._allocator = allocator
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._decider_by_turn: dict[TurnId, HolderId] = {}
        self.refusals = BudgetRefusals()

    def decided(self, turn: TurnId) -> bool:
        """Returns whether a deciding VM was asked for a turn."""
        return turn in self._decider_by_turn

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
        reply: Any
        if decider == self._holder:
            reply = self.decide(message)
            if not isinstance(reply, Deferred):
                return self._decided(reply, program, turn, budget)
        else:
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
            callbackArgs=(program, turn, budget),
            errbackArgs=(program, turn, budget),
        )
        return decided

    def decide(
        self, message: AskTokens
    ) -> Deferred[TokenAnswer] | TokenAnswer:
        """Decides on a turn of any VM as its deciding VM."""
        now = self._clock.seconds()
        if not self._outage.is_decider(message.program, message.view, now):
            return TokenAnswer(granted=False, spent=False)
        decision = self._outage_allocator.reserve(
            message.program,
            message.holder,
            message.turn,
            max_tokens=message.max_tokens,
            budget=message.budget,
            recorded_limit=message.recorded_limit,
            now=now,
        )
        if decision is not OutageDecision.GRANTED:
            self._log_declined(message, decision)
            spent = decision is OutageDecision.SPENT
            return TokenAnswer(granted=False, spent=spent)
        group = self._outage.group
        if len(group) == 1:
            return TokenAnswer(granted=True, spent=False)
        if message.holder != self._holder and message.holder in group:
            return TokenAnswer(granted=True, spent=False)
        turn = TurnRef(message.holder, message.turn)
        grant = TurnGrant(message.program, turn, message.max_tokens)
        return ensureDeferred(self._copied(grant, message.budget))

    def _log_declined(
        self, message: AskTokens, decision: OutageDecision
    ) -> None:
        program = message.program
        allocator = self._outage_allocator
        self._logger.info(
            "declined a turn without the ledger",
            program=program,
            holder=message.holder,
            turn=message.turn,
            decision=decision.value,
            max_tokens=message.max_tokens,
            budget=message.budget,
            granted=self._grants.tokens(program),
            recorded_limit=self._ledger.total(program).limit,
            reported_limit=message.recorded_limit,
            gap=allocator.ledger_gap.value,
            doubtful=allocator.is_doubtful(program),
            closed=allocator.is_closed(program),
        )

    def settle(self, program: ProgramId, turn: TurnId, used: int) -> None:
        """Tells a turn's deciding VM what the turn has used."""
        decider = self._decider_by_turn.pop(turn)
        self._grants.settle(program, TurnRef(self._holder, turn), used)
        if decider == self._holder:
            return
        result = ensureDeferred(
            self._settle_at_decider(decider, program, turn, used)
        )
        result.addErrback(self._settle_failed, program)

    async def _copied(self, grant: TurnGrant, budget: int) -> TokenAnswer:
        candidates = self._outage.second_holders(grant.program)
        for holder in candidates[:COPY_ATTEMPTS]:
            member = self._members.get(holder)
            if member is None:
                continue
            reply = await self._peers.call(
                member.address, HoldGrant(grant), timeout_s=COPY_TIMEOUT_S
            )
            if isinstance(reply, Understood):
                return TokenAnswer(granted=True, spent=False)
        self._logger.warning(
            "no other VM remembers a grant",
            program=grant.program,
            holder=grant.turn.holder,
            turn=grant.turn.turn,
            asked=len(candidates[:COPY_ATTEMPTS]),
        )
        self._grants.settle(grant.program, grant.turn, 0)
        # One of them may remember it, with its reply lost.
        self._allocator.name_turn(grant.program, grant.turn, budget=budget)
        return TokenAnswer(granted=False, spent=False)

    def _ask_failed(
        self, failure: Failure, program: ProgramId, turn: TurnId, budget: int
    ) -> Failure:
        # The caller has stopped waiting.
        self._give_up(program, turn, budget)
        return failure

    def _decided(
        self, reply: Any, program: ProgramId, turn: TurnId, budget: int
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
            self._give_up(program, turn, budget)
            self.refusals.note(turn, RefusalReason.DECIDER_SILENT)
            return None
        self._decider_by_turn.pop(turn, None)
        if isinstance(reply, TokenAnswer) and reply.spent:
            return ReservationDecision.SPENT
        self.refusals.note(turn, RefusalReason.DECLINED)
        return None

    def _give_up(self, program: ProgramId, turn: TurnId, budget: int) -> None:
        # The decider may have granted the turn, with its reply lost.
        self.settle(program, turn, 0)
        ref = TurnRef(self._holder, turn)
        self._allocator.name_turn(program, ref, budget=budget)

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
