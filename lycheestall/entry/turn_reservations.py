"""Reserves tokens for turns, in the ledger or at a deciding VM."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from ..ids import Offset, ProgramId
from ..logs import Logger
from .deciding_vms import DECIDER_TIMEOUT_S, DecidingVms
from .ledger_writer import LedgerWriter, ReservationResult
from .members import Members
from .outage import OutageMode, OutageTracker
from .outage_allocator import OutageAllocator, OutageGrant
from .peer_messages import (
    AskGranted,
    AskTokens,
    GrantedTokens,
    SettleTokens,
    TokenAnswer,
)
from .peer_rpc import PeerClient
from .token_allocator import ReservationDecision, TokenAllocator, TurnId
from .token_ledger import HolderId, TokenLedger

__all__ = ["TurnReservations"]

DECIDERS_RETRY_S = 0.4
"""Retry delay for a caller whose deciding VM didn't reply."""

AGREEMENT_DELAY_S = 0.5
"""Seconds in which VMs agree that the store is unavailable."""

STORE_RETRY_S = 0.9
"""Retry delay for a caller while no VM can decide; callers accept a delay of
at most a third of the time left to their deadline."""

RECORD_CHECK_S = 0.5
"""Seconds between checks whether all grants are recorded."""

OWN_RECORD_WINDOW_S = 0.7
"""Seconds after an outage in which each VM records its own turns; shorter than
``outage.RECOVERY_S``, so that the grants of VMs that are gone are recorded
before turns may start by the ledger alone."""


class TurnReservations:
    """Reserves and settles the tokens of turns.

    Args:
        holder: This VM's ID in the ledger.
        writer: Writes to the ledger.
        allocator: This VM's share of the token budgets.
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
        writer: LedgerWriter,
        allocator: TokenAllocator,
        ledger: TokenLedger,
        outage: OutageTracker,
        outage_allocator: OutageAllocator,
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
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._deciders = DecidingVms(
            holder=holder,
            ledger=ledger,
            outage=outage,
            outage_allocator=outage_allocator,
            members=members,
            peers=peers,
            clock=clock,
            logger=logger,
        )
        self._programs_with_known_grants: set[ProgramId] = set()

    def reserve(
        self, program: ProgramId, turn: TurnId, *, max_tokens: int, budget: int
    ) -> Deferred[ReservationResult] | ReservationResult:
        """Reserves the tokens of a turn.

        Returns:
            The decision or a Deferred of it; None if no VM can decide.
        """
        result: Deferred[ReservationResult] | ReservationResult = (
            self._writer.reserve(
                program, turn, max_tokens=max_tokens, budget=budget
            )
        )
        if result is ReservationDecision.RECOVERING:
            result = self._reserve_in_recovery(
                program, turn, max_tokens, budget
            )
        if isinstance(result, Deferred):
            final_result: Deferred[ReservationResult] = result.addCallback(
                self._or_ask_decider, program, turn, max_tokens, budget
            )
            return final_result
        return self._or_ask_decider(result, program, turn, max_tokens, budget)

    def recorded_tokens(self, program: ProgramId) -> int:
        """Returns the program's committed tokens according to the ledger."""
        return self._ledger.total(program).committed

    def recovery_left_s(self) -> float:
        """Returns the seconds until the grants of an outage are recorded."""
        return self._outage.recovery_left_s(self._clock.seconds())

    def decider_retry_s(self) -> float:
        """Returns the retry delay for a caller that no VM could decide for."""
        now = self._clock.seconds()
        if self._outage.mode(now) is OutageMode.DECIDERS:
            return DECIDERS_RETRY_S
        if now - self._writer.store_unavailable_since < AGREEMENT_DELAY_S:
            return AGREEMENT_DELAY_S
        return STORE_RETRY_S

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

    def outage_ended(self, position: Offset) -> None:
        """Makes sure that all grants of the outage get into the ledger.

        Each VM records the turns that it ran. Grants still missing after
        ``OWN_RECORD_WINDOW_S`` belong to VMs that are gone; the deciding VM
        records those.

        Args:
            position: Ledger offset read so far.
        """
        self._outage.outage_ended(self._clock.seconds())
        grants = self._outage_allocator.grants()
        self._outage_allocator.end_outage()
        self._programs_with_known_grants.clear()
        recovery_left_s = self.recovery_left_s()
        if recovery_left_s > 0:
            self._clock.callLater(recovery_left_s, self._recovery_ended)
        if grants:
            self._clock.callLater(
                OWN_RECORD_WINDOW_S,
                self._record_missing_grants,
                grants,
                position,
            )

    def _record_missing_grants(
        self, grants: list[OutageGrant], position: Offset
    ) -> None:
        missing = 0
        for grant in grants:
            if grant.holder == self._holder:
                continue
            last_offset = self._ledger.last_offset(grant.program, grant.holder)
            if last_offset >= position:
                continue
            missing += 1
            self._allocator.add_outage_grant(
                grant.program,
                grant.tokens,
                budget=self._deciders.budget(grant.program),
                now=self._clock.seconds(),
            )
        self._deciders.forget_budgets()
        self._logger.info(
            "outage grants checked", granted=len(grants), missing=missing
        )
        self._writer.wake()

    def decide(self, message: AskTokens) -> TokenAnswer:
        """Decides on a turn of any VM as its deciding VM."""
        return self._deciders.decide(message)

    def report_grants(self, message: AskGranted) -> GrantedTokens:
        """Reports a program's grants to a peer and stops granting more."""
        members = self._members.view()
        now = self._clock.seconds()
        if not self._outage.was_decider(
            message.program, message.view, members, now
        ):
            return GrantedTokens(known=False, tokens=0)
        tokens = self._outage_allocator.close_program(
            message.program, message.holder
        )
        return GrantedTokens(known=True, tokens=tokens)

    def settle_for_peer(self, message: SettleTokens) -> None:
        """Settles a peer's turn that this VM granted."""
        self._outage_allocator.settle(
            message.program, message.holder, message.turn, message.used
        )

    def _reserve_in_recovery(
        self, program: ProgramId, turn: TurnId, max_tokens: int, budget: int
    ) -> Deferred[ReservationResult] | ReservationResult:
        if program in self._programs_with_known_grants:
            return self._writer.reserve(
                program,
                turn,
                max_tokens=max_tokens,
                budget=budget,
                outage_grants_known=True,
            )
        members = self._members.view()
        decider = self._outage.last_outage_decider(program, members)
        if decider is None:
            return ReservationDecision.RECOVERING
        view = self._outage.last_outage_view(members)
        message = AskGranted(self._holder, view.digest, program)
        if decider == self._holder:
            reply = self.report_grants(message)
            return self._grants_reported(
                reply, program, turn, max_tokens, budget
            )
        member = self._members.get(decider)
        if member is None:
            return ReservationDecision.RECOVERING
        asked = self._peers.call(
            member.address, message, timeout_s=DECIDER_TIMEOUT_S
        )
        result: Deferred[ReservationResult] = asked.addCallback(
            self._grants_reported, program, turn, max_tokens, budget
        )
        return result

    def _grants_reported(
        self,
        reply: Any,
        program: ProgramId,
        turn: TurnId,
        max_tokens: int,
        budget: int,
    ) -> Deferred[ReservationResult] | ReservationResult:
        known = isinstance(reply, GrantedTokens) and reply.known
        self._logger.info(
            "asked what an outage's decider granted",
            program=program,
            turn=turn,
            known=known,
            tokens=reply.tokens if known else None,
        )
        if not known:
            return ReservationDecision.RECOVERING
        if self.recovery_left_s() > 0:
            self._allocator.set_unrecorded_outage_tokens(
                program, reply.tokens, budget=budget
            )
            self._programs_with_known_grants.add(program)
        return self._writer.reserve(
            program,
            turn,
            max_tokens=max_tokens,
            budget=budget,
            outage_grants_known=True,
        )

    def _recovery_ended(self) -> None:
        if self.recovery_left_s() > 0:
            return
        self._programs_with_known_grants.clear()
        self._allocator.clear_unrecorded_outage_tokens()
        if self._writer.store_unavailable:
            return
        if self._allocator.has_due_records():
            self._clock.callLater(RECORD_CHECK_S, self._recovery_ended)
            return
        self._outage_allocator.forget_previous()

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
            self._allocator.add_outage_turn(
                program,
                turn,
                max_tokens=max_tokens,
                budget=budget,
                now=self._clock.seconds(),
            )
            self._writer.wake()
        return decision
