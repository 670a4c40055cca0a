"""Reserves tokens for turns, in the ledger or at a deciding VM."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from ..ids import ProgramId
from ..logs import Logger
from .deciding_vms import DecidingVms
from .ledger_catch_up import LedgerCatchUp
from .ledger_writer import LedgerWriter, ReservationResult
from .membership import Members
from .outage import OutageMode, OutageTracker
from .outage_allocator import OutageAllocator
from .outage_recovery import GrantKnowledge, OutageRecovery
from .outages.budget_refusals import BudgetRefusal, RefusalReason
from .outages.settled_groups import SettledGroups
from .peer_messages import (
    AskGranted,
    AskTokens,
    AskUnrecorded,
    GrantedTokens,
    SettleTokens,
    TokenAnswer,
    UnrecordedReport,
)
from .peer_rpc import PeerClient
from .reservation_decision import ReservationDecision
from .token_allocator import TokenAllocator, TurnId
from .token_ledger import HolderId, TokenLedger, TurnRef
from .unrecorded_grants import TurnGrant, UnrecordedGrants

__all__ = ["TurnReservations"]

DECIDERS_RETRY_S = 0.4
"""Retry delay for a caller whose deciding VM didn't reply."""

AGREEMENT_DELAY_S = 0.5
"""Seconds in which VMs agree that the store is unavailable."""

STORE_RETRY_S = 0.9
"""Retry delay for a caller while no VM can decide; callers accept a delay of
at most a third of the time left to their deadline."""


class TurnReservations:
    """Reserves and settles the tokens of turns.

    Args:
        holder: This VM's ID in the ledger.
        writer: Writes to the ledger.
        allocator: This VM's share of the token budgets.
        ledger: Allocations of all VMs.
        outage: Tracks outages of the store.
        outage_allocator: What this VM grants as a deciding VM.
        grants: Unrecorded grants.
        settled: Groups without unrecorded grants.
        catch_up: Collects what this VM must know to decide.
        members: The VMs of the system.
        peers: Calls them.
        clock: Times the calls.
        logger: Receives grants made without the store.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        writer: LedgerWriter,
        allocator: TokenAllocator,
        ledger: TokenLedger,
        outage: OutageTracker,
        outage_allocator: OutageAllocator,
        grants: UnrecordedGrants,
        settled: SettledGroups,
        catch_up: LedgerCatchUp,
        members: Members,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._writer = writer
        self._allocator = allocator
        self._ledger = ledger
        self._outage = outage
        self._outage_allocator = outage_allocator
        self._grants = grants
        self._catch_up = catch_up
        self._members = members
        self._clock = clock
        self._deciders = DecidingVms(
            holder=holder,
            ledger=ledger,
            outage=outage,
            outage_allocator=outage_allocator,
            grants=grants,
            allocator=allocator,
            members=members,
            peers=peers,
            clock=clock,
            logger=logger,
        )
        self._recovery = OutageRecovery(
            holder=holder,
            outage=outage,
            members=members,
            grants=grants,
            settled=settled,
            peers=peers,
            clock=clock,
            logger=logger,
        )
        self._last_outage_complete = False

    def reserve(
        self, program: ProgramId, turn: TurnId, *, max_tokens: int, budget: int
    ) -> Deferred[ReservationResult] | ReservationResult:
        """Reserves the tokens of a turn.

        Returns:
            The decision or a Deferred of it; None if no VM can decide.
        """
        result: Deferred[ReservationResult] | ReservationResult = (
            self._writer.reserve(
                program,
                turn,
                max_tokens=max_tokens,
                budget=budget,
                grants_known=self._recovery.is_settled(program),
            )
        )
        if result is ReservationDecision.RECOVERING:
            result = ensureDeferred(
                self._reserve_in_recovery(program, turn, max_tokens, budget)
            )
        if isinstance(result, Deferred):
            final_result: Deferred[ReservationResult] = result.addCallback(
                self._or_ask_decider, program, turn, max_tokens, budget
            )
            return final_result
        return self._or_ask_decider(result, program, turn, max_tokens, budget)

    def grants_known(self, program: ProgramId) -> bool:
        """Returns whether all unrecorded grants of a program are known."""
        return self._recovery.is_settled(program)

    def recorded_tokens(self, program: ProgramId) -> int:
        """Returns the program's committed tokens according to the ledger."""
        return self._ledger.total(program).committed

    def recovery_retry_s(self) -> float:
        """Returns the retry delay for a caller whose grants are unknown."""
        return self._recovery.retry_s()

    def decider_retry_s(self) -> float:
        """Returns the retry delay for a caller that no VM could decide for."""
        now = self._clock.seconds()
        if self._outage.mode(now) is OutageMode.DECIDERS:
            return DECIDERS_RETRY_S
        if now - self._writer.store_unavailable_since < AGREEMENT_DELAY_S:
            return AGREEMENT_DELAY_S
        return STORE_RETRY_S

    def take_refusal(self, turn: TurnId) -> BudgetRefusal:
        """Returns why a turn got no decision."""
        now = self._clock.seconds()
        reason = self._deciders.refusals.take(turn)
        if not self._writer.store_unavailable:
            return BudgetRefusal(reason or RefusalReason.STORE_SLOW, 0.0)
        if reason is None:
            reason = RefusalReason.NO_AGREEMENT
            if self._outage.mode(now) is OutageMode.ALONE:
                reason = RefusalReason.AGREEMENT_EXPIRED
        age_s = now - self._writer.store_unavailable_since
        return BudgetRefusal(reason, age_s)

    def settle(self, program: ProgramId, turn: TurnId, used: int) -> None:
        """Replaces a turn's reservation by the tokens that it used.

        Args:
            program: The program.
            turn: The turn, which was granted.
            used: Tokens that were sent to the caller.
        """
        self._writer.settle(program, turn, used)
        if self._deciders.decided(turn):
            self._deciders.settle(program, turn, used)

    def step(self) -> None:
        """Notes regularly that this VM runs."""
        self._recovery.step()

    def started(self) -> None:
        """Notes that this VM has read the ledger for the first time."""
        self._recovery.begin(knows_own=False)

    def outage_ended(self) -> None:
        """Goes back to the ledger, which grants of the outage may lack."""
        self._last_outage_complete = self._catch_up.complete
        self._catch_up.reset()
        self._outage.outage_ended(self._clock.seconds())
        self._outage_allocator.end_outage()
        self._recovery.begin(knows_own=self._last_outage_complete)

    def decide(
        self, message: AskTokens
    ) -> Deferred[TokenAnswer] | TokenAnswer:
        """Decides on a turn of any VM as its deciding VM."""
        return self._deciders.decide(message)

    def report_unrecorded(self, message: AskUnrecorded) -> UnrecordedReport:
        """Reports a program's unrecorded grants to a peer.

        If this VM decides on the program, it stops granting its turns.
        """
        deciding = (
            self._outage.mode(self._clock.seconds()) is OutageMode.DECIDERS
        )
        clean = not deciding and not self._writer.store_unavailable
        complete = self._last_outage_complete
        if self._outage.participated:
            complete = self._catch_up.complete
        if self._members.may_have_lost_grants(message.program):
            complete = False
        return UnrecordedReport(
            self._holder,
            was_decider=self._close_program(message) and complete,
            deciding=deciding,
            clean=clean and not self._grants.all(),
            grants=tuple(self._grants.of(message.program)),
        )

    def report_grants(self, message: AskGranted) -> GrantedTokens:
        """Reports a program's grants to a peer of an earlier build."""
        if not self._close_program(message):
            return GrantedTokens(known=False, tokens=0)
        tokens = self._grants.tokens(message.program)
        return GrantedTokens(known=True, tokens=tokens)

    def settle_for_peer(self, message: SettleTokens) -> None:
        """Settles a peer's turn that this VM granted."""
        turn = TurnRef(message.holder, message.turn)
        self._grants.settle(message.program, turn, message.used)

    def _close_program(self, message: AskUnrecorded | AskGranted) -> bool:
        # Returns whether this VM was the program's only decider.
        members = self._members.view()
        if not self._outage.was_decider(
            message.program, message.view, members
        ):
            return False
        if self._outage.participated:
            self._outage_allocator.close_program(
                message.program, message.holder
            )
        return True

    async def _reserve_in_recovery(
        self, program: ProgramId, turn: TurnId, max_tokens: int, budget: int
    ) -> ReservationResult:
        knowledge = await self._recovery.find(program)
        if knowledge is GrantKnowledge.UNKNOWN:
            return ReservationDecision.RECOVERING
        if knowledge is GrantKnowledge.DOUBTFUL:
            self._allocator.doubt(program, budget=budget)
        result = self._writer.reserve(
            program, turn, max_tokens=max_tokens, budget=budget
        )
        if isinstance(result, Deferred):
            decision: ReservationResult = await result
            return decision
        return result

    def _or_ask_decider(
        self,
        result: ReservationResult,
        program: ProgramId,
        turn: TurnId,
        max_tokens: int,
        budget: int,
    ) -> Deferred[ReservationResult] | ReservationResult:
        if result is not None:
            return result
        decision = self._deciders.ask(
            program, turn, max_tokens=max_tokens, budget=budget
        )
        if isinstance(decision, Deferred):
            final_decision: Deferred[ReservationResult] = decision.addCallback(
                self._decider_replied, program, turn, max_tokens, budget
            )
            return final_decision
        return self._decider_replied(
            decision, program, turn, max_tokens, budget
        )

    def _decider_replied(
        self,
        decision: ReservationResult,
        program: ProgramId,
        turn: TurnId,
        max_tokens: int,
        budget: int,
    ) -> ReservationResult:
        if decision is ReservationDecision.GRANTED:
            now = self._clock.seconds()
            ref = TurnRef(self._holder, turn)
            self._grants.add(TurnGrant(program, ref, max_tokens), now=now)
            self._allocator.add_outage_turn(
                program, turn, max_tokens=max_tokens, budget=budget, now=now
            )
            self._writer.wake()
        return decision
