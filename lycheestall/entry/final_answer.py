"""How a request ends: its answer, or a refusal that is true."""

from __future__ import annotations

from enum import Enum

from .attempt_outcomes import AttemptOutcome, NotRun, NotSent, WholeAnswer
from .configuration import Route, ServiceId
from .exchange import Exchange
from .ledger_writer import ReservationResult
from .request_facts import RequestFacts
from .retry_policy import AttemptHistory
from .run_parts import RunParts
from .stream_forwarder import StreamForwarder
from .token_allocator import ReservationDecision
from .turn_budget import TurnBudget

__all__ = ["EarlyEnd", "FinalAnswer"]

BUSY_RETRY_S = 0.15
"""When a caller should come back to a service whose targets are full."""

NO_TARGET_RETRY_S = 0.4
"""When a caller should come back to a service without targets."""

UNPROVEN_RETRY_S = 0.9
"""When a caller should come back whose program's records may be missing."""

HELD_RETRY_S = 0.4
"""When tokens that another VM holds ahead should be free again."""


class EarlyEnd(Enum):
    """Why a request ends before its answer."""

    CALLER_LEFT = "caller left"
    TIME_OVER = "time over"


class FinalAnswer:
    """Ends one request, with its line in the decision log.

    Args:
        parts: What all requests share.
        exchange: The request and its answer.
        facts: What its headers say.
        route: Its route.
        history: Its attempts so far.
        budget: Its tokens.
        forwarder: Its stream, None if it is no stream.
        version: Version of the configuration that decided.

    Attributes:
        spare: A target's answer that it failed, kept while another
            target is asked.
    """

    def __init__(
        self,
        parts: RunParts,
        exchange: Exchange,
        facts: RequestFacts,
        route: Route,
        history: AttemptHistory,
        budget: TurnBudget,
        forwarder: StreamForwarder | None,
        *,
        version: int,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._facts = facts
        self._route = route
        self._history = history
        self._budget = budget
        self._version = version
        self._forwarder = forwarder
        self.spare: WholeAnswer | None = None

    @property
    def events(self) -> int:
        """Events of the stream that the caller was sent."""
        return 0 if self._forwarder is None else self._forwarder.events

    def deliver(self, answer: WholeAnswer) -> None:
        """Sends a target's answer."""
        headers = self._parts.headers.caller_headers(answer.head.headers)
        self._exchange.answer(answer.head.status, headers, answer.body)
        self.done("served")

    def ended_early(self, reason: EarlyEnd | None, *, sent: bool) -> None:
        """Ends a request whose caller has left or whose time is over.

        Args:
            reason: Which of both.
            sent: Whether a target may have run it.
        """
        if reason is EarlyEnd.CALLER_LEFT:
            self.done("caller left")
            return
        if self._deliver_spare():
            return
        if self._exchange.started:
            self._exchange.abort()
            self.done("broken off at its deadline")
        elif sent:
            self._exchange.refuse(504, "no answer in time")
            self.done("timed out")
        else:
            self.refuse(503, "no target in time", BUSY_RETRY_S)

    def no_tokens(self, answer: ReservationResult) -> None:
        """Refuses a turn whose tokens were not granted."""
        if answer is ReservationDecision.SPENT:
            self.refuse(402, "the program's token budget is spent", None)
        elif answer is ReservationDecision.HELD_ELSEWHERE:
            self.refuse(503, "tokens are held by another VM", HELD_RETRY_S)
        elif answer is ReservationDecision.RECOVERING:
            settled_in_s = self._parts.tokens.recovery_left_s()
            self.refuse(503, "an outage is being settled", settled_in_s)
        elif answer is ReservationDecision.UNPROVEN:
            self.refuse(503, "tokens may be unrecorded", UNPROVEN_RETRY_S)
        else:
            retry_s = self._parts.tokens.decider_retry_s()
            self.refuse(503, "budgets can't be checked now", retry_s)

    def no_target(self, service: ServiceId) -> None:
        """Ends a request that there is nobody to send to."""
        if self._deliver_spare():
            return
        if self._history.may_have_run:
            self.give_up("no target to repeat it at")
            return
        if self._parts.table.usable(service) and self._history.sends:
            self.refuse(503, "all targets are full", BUSY_RETRY_S)
        else:
            self.refuse(503, "no target is up", NO_TARGET_RETRY_S)

    def failed(self, outcome: AttemptOutcome) -> None:
        """Ends a request after its last attempt failed."""
        if self._deliver_spare():
            return
        may_have_run = self._history.may_have_run
        if isinstance(outcome, NotRun | NotSent) and not may_have_run:
            self.refuse(503, "no target took the request", BUSY_RETRY_S)
            return
        self.give_up("the answer was lost")

    def give_up(self, reason: str) -> None:
        """Ends a request that may have run; nothing is known of it."""
        if self._exchange.started:
            self._exchange.abort()
        else:
            self._exchange.refuse(502, reason)
        self.done(reason)

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Refuses a request that has not run."""
        self._exchange.refuse(status, reason, retry_after_s=retry_after_s)
        self.done(reason)

    def done(self, outcome: str) -> None:
        """Notes how it ended."""
        received_at = self._exchange.request.received_at
        self._parts.log.ended(
            self._facts,
            route=self._route,
            version=self._version,
            target=self._history.last_target or "",
            status=self._exchange.status,
            sends=self._history.sends,
            tokens=self._budget.tokens_of(self.events),
            took_s=self._parts.clock.seconds() - received_at,
            outcome=outcome,
            known_tokens=self._budget.recorded,
        )

    def _deliver_spare(self) -> bool:
        if self.spare is None or self._exchange.ended:
            return False
        self.deliver(self.spare)
        return True
