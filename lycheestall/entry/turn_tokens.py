"""Tokens for turns: from the ledger, or from a deciding VM without it."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..clock import sleep
from ..ids import Offset, ProgramId
from ..logs import Logger
from .ledger_writer import LedgerWriter, TurnAnswer
from .members import Members
from .outage import Outage, OutageMode
from .outage_books import OutageBooks, OutageDecision, OutageGrant
from .peer_link import PeerCaller
from .peer_messages import (
    AskGranted,
    AskTokens,
    GrantedTokens,
    SettleTokens,
    TokenAnswer,
    Understood,
)
from .token_books import BookDecision, TokenBooks, TurnId
from .token_ledger import HolderId, TokenLedger

__all__ = ["TurnTokens"]

ASK_TIMEOUT_S = 0.3
"""Longest time for a deciding VM's answer."""

DECIDERS_RETRY_S = 0.4
"""When a caller should come back whose deciding VM did not answer."""

AGREE_S = 0.5
"""Seconds in which VMs find out together that the store is away."""

STORE_RETRY_S = 0.9
"""When a caller should come back while nobody can decide; callers wait
for at most a third of their time."""

SETTLE_TRIES = 3
"""Calls that tell a deciding VM how a turn ended."""

SETTLE_PAUSE_S = 0.5
"""Seconds between those calls."""


RECORD_CHECK_S = 0.5
"""Seconds until it is looked again whether all grants are recorded."""

RECORD_FOR_OTHERS_S = 0.7
"""Seconds that VMs have to record their own turns after an outage; ends
while no turn may start by the ledger alone."""


class TurnTokens:
    """Reserves and settles the tokens of turns.

    Args:
        holder: This VM's name in the ledger.
        writer: Writes the ledger.
        books: This VM's share of budgets.
        ledger: All VMs' records.
        outage: How the store's outage looks.
        outage_books: What this VM grants as decider.
        members: The VMs of the system.
        peers: Calls them.
        clock: Times the calls.
        logger: Where grants without the store are logged.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        writer: LedgerWriter,
        books: TokenBooks,
        ledger: TokenLedger,
        outage: Outage,
        outage_books: OutageBooks,
        members: Members,
        peers: PeerCaller,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._writer = writer
        self._books = books
        self._ledger = ledger
        self._outage = outage
        self._outage_books = outage_books
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._decider_by_turn: dict[TurnId, HolderId] = {}
        self._budget_by_program: dict[ProgramId, int] = {}
        self._settled_programs: set[ProgramId] = set()

    def reserve(
        self, program: ProgramId, turn: TurnId, *, most: int, budget: int
    ) -> Deferred[TurnAnswer] | TurnAnswer:
        """Asks for a turn's tokens.

        Returns:
            The decision, at once or later; None when nobody can decide.
        """
        answer: Deferred[TurnAnswer] | TurnAnswer = self._writer.reserve(
            program, turn, most=most, budget=budget
        )
        if answer is BookDecision.SETTLING:
            answer = self._after_outage(program, turn, most, budget)
        if isinstance(answer, Deferred):
            later: Deferred[TurnAnswer] = answer.addCallback(
                self._or_without_store, program, turn, most, budget
            )
            return later
        return self._or_without_store(answer, program, turn, most, budget)

    def recorded(self, program: ProgramId) -> int:
        """Returns the tokens that the ledger has for a program."""
        return self._ledger.total(program).committed

    def settles_in_s(self) -> float:
        """Returns the seconds until grants of an outage are recorded."""
        return self._outage.settles_in_s(self._clock.seconds())

    def decides_in_s(self) -> float:
        """Returns when a refused caller should find somebody to decide."""
        now = self._clock.seconds()
        if self._outage.mode(now) is OutageMode.DECIDERS:
            return DECIDERS_RETRY_S
        if now - self._writer.away_since < AGREE_S:
            return AGREE_S
        return STORE_RETRY_S

    def settle(self, program: ProgramId, turn: TurnId, handed: int) -> None:
        """Ends a turn that was granted.

        Args:
            program: Its program.
            turn: The turn.
            handed: Tokens that went out to the caller.
        """
        decider = self._decider_by_turn.pop(turn, None)
        if decider is None:
            self._writer.settle(program, turn, handed)
            return
        budget = self._budget_by_program.get(program, 0)
        if handed:
            self._books.granted_outside(
                program, handed, budget=budget, now=self._clock.seconds()
            )
            self._writer.wake()
        if decider == self._holder:
            self._outage_books.settle(program, self._holder, turn, handed)
            return
        told = ensureDeferred(self._tell(decider, program, turn, handed))
        told.addErrback(self._tell_failed, program)

    def outage_ended(self, position: Offset) -> None:
        """Sees to it that what was granted comes into the ledger.

        Each VM records the turns that it ran. What is still missing
        after a while was run by VMs that are gone.

        Args:
            position: Up to where the ledger has been read.
        """
        self._outage.ended(self._clock.seconds())
        grants = self._outage_books.grants()
        self._outage_books.end()
        self._settled_programs.clear()
        settled_in_s = self.settles_in_s()
        if settled_in_s > 0:
            self._clock.callLater(settled_in_s, self._settling_ended)
        if grants:
            self._clock.callLater(
                RECORD_FOR_OTHERS_S, self._record_for_others, grants, position
            )

    def _record_for_others(
        self, grants: list[OutageGrant], position: Offset
    ) -> None:
        missing = 0
        for grant in grants:
            if grant.holder == self._holder:
                continue
            recorded = self._ledger.recorded_at(grant.program, grant.holder)
            if recorded >= position:
                continue
            missing += 1
            self._books.granted_outside(
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
        """Decides on a turn of a peer."""
        now = self._clock.seconds()
        if not self._outage.decides(message.program, message.view, now):
            return TokenAnswer(granted=False, spent=False)
        self._budget_by_program[message.program] = message.budget
        decision = self._outage_books.ask(
            message.program,
            message.holder,
            message.turn,
            most=message.most,
            budget=message.budget,
            recorded=message.recorded,
        )
        return TokenAnswer(
            granted=decision is OutageDecision.GRANTED,
            spent=decision is OutageDecision.SPENT,
        )

    def granted(self, message: AskGranted) -> GrantedTokens:
        """Tells a peer what was granted, and grants no more of it."""
        members = self._members.view()
        now = self._clock.seconds()
        if not self._outage.decided(
            message.program, message.view, members, now
        ):
            return GrantedTokens(known=False, tokens=0)
        tokens = self._outage_books.close(message.program, message.holder)
        return GrantedTokens(known=True, tokens=tokens)

    def settled(self, message: SettleTokens) -> None:
        """Ends a turn of a peer."""
        self._outage_books.settle(
            message.program, message.holder, message.turn, message.handed
        )

    def _after_outage(
        self, program: ProgramId, turn: TurnId, most: int, budget: int
    ) -> Deferred[TurnAnswer] | TurnAnswer:
        if program in self._settled_programs:
            return self._writer.reserve(
                program, turn, most=most, budget=budget, settled=True
            )
        members = self._members.view()
        decider = self._outage.last_decider(program, members)
        if decider is None:
            return BookDecision.SETTLING
        view = self._outage.last_view(members)
        message = AskGranted(self._holder, view.digest, program)
        if decider == self._holder:
            reply = self.granted(message)
            return self._told(reply, program, turn, most, budget)
        member = self._members.get(decider)
        if member is None:
            return BookDecision.SETTLING
        asked = self._peers.call(
            member.address, message, timeout_s=ASK_TIMEOUT_S
        )
        told: Deferred[TurnAnswer] = asked.addCallback(
            self._told, program, turn, most, budget
        )
        return told

    def _told(
        self,
        reply: Any,
        program: ProgramId,
        turn: TurnId,
        most: int,
        budget: int,
    ) -> Deferred[TurnAnswer] | TurnAnswer:
        known = isinstance(reply, GrantedTokens) and reply.known
        self._logger.info(
            "asked what an outage's decider granted",
            program=program,
            turn=turn,
            known=known,
            tokens=reply.tokens if known else None,
        )
        if not known:
            return BookDecision.SETTLING
        if self.settles_in_s() > 0:
            self._books.set_outside(program, reply.tokens, budget=budget)
            self._settled_programs.add(program)
        return self._writer.reserve(
            program, turn, most=most, budget=budget, settled=True
        )

    def _settling_ended(self) -> None:
        if self.settles_in_s() > 0:
            return
        self._settled_programs.clear()
        self._books.clear_outside()
        if self._writer.store_away:
            return
        if self._books.pending():
            self._clock.callLater(RECORD_CHECK_S, self._settling_ended)
            return
        self._outage_books.recorded()

    def _or_without_store(
        self,
        answer: TurnAnswer,
        program: ProgramId,
        turn: TurnId,
        most: int,
        budget: int,
    ) -> Deferred[TurnAnswer] | TurnAnswer:
        if answer is not None:
            return answer
        decider = self._outage.decider(program, self._clock.seconds())
        if decider is None:
            return None
        self._budget_by_program[program] = budget
        message = AskTokens(
            self._holder,
            self._outage.view_digest,
            program,
            turn,
            most,
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
            member.address, message, timeout_s=ASK_TIMEOUT_S
        )
        decided: Deferred[TurnAnswer] = reply.addCallbacks(
            self._decided,
            self._ask_ended,
            callbackArgs=(program, turn),
            errbackArgs=(program, turn),
        )
        return decided

    def _ask_ended(
        self, failure: Failure, program: ProgramId, turn: TurnId
    ) -> Failure:
        # Whoever asked waits no more; the decider may have granted it.
        self.settle(program, turn, 0)
        return failure

    def _decided(
        self, reply: Any, program: ProgramId, turn: TurnId
    ) -> TurnAnswer:
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
            return BookDecision.GRANTED
        if reply is None:
            # The answer may have been lost on the way back.
            self.settle(program, turn, 0)
            return None
        self._decider_by_turn.pop(turn, None)
        if isinstance(reply, TokenAnswer) and reply.spent:
            return BookDecision.SPENT
        return None

    async def _tell(
        self, decider: HolderId, program: ProgramId, turn: TurnId, handed: int
    ) -> None:
        message = SettleTokens(self._holder, program, turn, handed)
        for _ in range(SETTLE_TRIES):
            member = self._members.get(decider)
            if member is None:
                return
            reply = await self._peers.call(
                member.address, message, timeout_s=ASK_TIMEOUT_S
            )
            if isinstance(reply, Understood):
                return
            await sleep(self._clock, SETTLE_PAUSE_S)
        self._logger.warning(
            "turn not settled", program=program, turn=turn, decider=decider
        )

    def _tell_failed(self, failure: Failure, program: ProgramId) -> None:
        self._logger.error(
            "settling failed", program=program, error=failure.getTraceback()
        )
