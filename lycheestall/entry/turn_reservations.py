"""Reserves tokens for turns, in the ledger or at a deciding VM."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..clock import sleep
from ..ids import Offset, ProgramId
from ..logs import Logger
from .ledger_writer import LedgerWriter, ReservationResult
from .members import Members
from .outage import OutageMode, OutageTracker
from .outage_allocator import OutageAllocator, OutageDecision, OutageGrant
from .peer_messages import (
    AskGranted,
    AskTokens,
    GrantedTokens,
    SettleTokens,
    TokenAnswer,
    Understood,
)
from .peer_rpc import PeerClient
from .token_allocator import ReservationDecision, TokenAllocator, TurnId
from .token_ledger import HolderId, TokenLedger

__all__ = ["TurnReservations"]

DECIDER_TIMEOUT_S = 0.3
"""Timeout of a call to a deciding VM."""

DECIDERS_RETRY_S = 0.4
"""Retry delay for a caller whose deciding VM didn't reply."""

AGREEMENT_DELAY_S = 0.5
"""Seconds in which VMs agree that the store is unavailable."""

STORE_RETRY_S = 0.9
"""Retry delay for a caller while no VM can decide; callers accept a delay of
at most a third of the time left to their deadline."""

SETTLE_ATTEMPTS = 3
"""Attempts to report a turn's usage to its deciding VM."""

SETTLE_RETRY_S = 0.5
"""Seconds between these attempts."""

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
        self._decider_by_turn: dict[TurnId, HolderId] = {}
        self._budget_by_program: dict[ProgramId, int] = {}
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
        decider = self._decider_by_turn.pop(turn, None)
        if decider is None:
            self._writer.settle(program, turn, used)
            return
        budget = self._budget_by_program.get(program, 0)
        if used:
            self._allocator.add_outage_grant(
                program, used, budget=budget, now=self._clock.seconds()
            )
            self._writer.wake()
        if decider == self._holder:
            self._outage_allocator.settle(program, self._holder, turn, used)
            return
        result = ensureDeferred(
            self._settle_at_decider(decider, program, turn, used)
        )
        result.addErrback(self._settle_failed, program)

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
                budget=self._budget_by_program.get(grant.program, 0),
                now=self._clock.seconds(),
            )
        self._budget_by_program.clear()
        self._logger.info(
            "outage grants checked", granted=len(grants), missing=missing
        )
        self._writer.wake()

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
