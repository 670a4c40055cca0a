"""Ends a request with a response or an accurate error."""

from __future__ import annotations

from enum import Enum

from ..accounts import Account
from ..attempt_outcomes import (
    AttemptOutcome,
    NotRun,
    NotSent,
    Unreachable,
    WholeAnswer,
)
from ..configuration import Route, ServiceId
from ..ledger_writer import ReservationResult
from ..message_metadata import RequestMetadata
from ..quotas.quota_permit import QuotaDenied
from ..request_dependencies import RequestDependencies
from ..reservation_decision import ReservationDecision
from ..retry_policy import AttemptHistory
from ..stream_forwarder import StreamForwarder
from ..stream_version import StreamVersion
from ..turn_budget import TurnBudget
from .ending import Ending
from .exchange import Exchange
from .response_progress import ResponseState

__all__ = ["EarlyEnd", "FinalResponse"]

BUSY_RETRY_S = 0.15
"""Retry delay for callers when all targets of a service are full."""

NO_TARGET_RETRY_S = 0.4
"""Retry delay for callers when a service has no targets."""

UNPROVEN_RETRY_S = 0.9
"""Retry delay for callers when a program's tokens may be unrecorded."""

UNKNOWN_VERSION_RETRY_S = 0.1
"""Retry delay for callers when nobody knows which software version began the
stream that they resume; waiting for long would not help."""

ISOLATED_RETRY_S = 0.6
"""Retry delay for callers when neither this VM nor its peers reach targets;
lost links are probed more often than that."""

SHUTTING_DOWN_RETRY_S = 0.05
"""Retry delay for callers whose VM shuts down; others serve them at once."""

HELD_RETRY_S = 0.4
"""Retry delay for callers until tokens that another VM holds in advance
should be free again."""


CUT_OFF = Ending(
    502,
    "the VM ends before the answer has come",
    outcome_if_started="broken off at the VM's end",
)
TIMED_OUT = Ending(
    504,
    "no answer in time",
    outcome="timed out",
    outcome_if_started="broken off at its deadline",
)
NOT_DURABLE = Ending(504, "turn not durable in time")


class EarlyEnd(Enum):
    """Why a request ended before it had a response."""

    CALLER_DISCONNECTED = "caller left"
    DEADLINE_PASSED = "time over"
    SHUTTING_DOWN = "shutting down"


class FinalResponse:
    """Sends the final response of a request and logs how it ended.

    Args:
        deps: Dependencies shared by all requests.
        exchange: The request and its response.
        metadata: The request's metadata.
        route: The request's route.
        history: The attempts so far.
        budget: The token accounting of the request.
        forwarder: Forwards the stream; None if the route has none.
        stream_version: The software version that must run the request.
        version: Version of the configuration that was used.
        account: The account that the request belongs to, if any.

    Attributes:
        fallback: A target's error response, sent if no retry gives a
            better one.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        history: AttemptHistory,
        budget: TurnBudget,
        forwarder: StreamForwarder | None,
        stream_version: StreamVersion,
        *,
        version: int,
        account: Account | None = None,
    ) -> None:
        self._account = account
        self._deps = deps
        self._exchange = exchange
        self._metadata = metadata
        self._route = route
        self._history = history
        self._budget = budget
        self._version = version
        self._forwarder = forwarder
        self._stream_version = stream_version
        self.fallback: WholeAnswer | None = None

    @property
    def events_sent(self) -> int:
        """Number of stream events sent to the caller."""
        return 0 if self._forwarder is None else self._forwarder.events_sent

    def send(self, response: WholeAnswer) -> None:
        """Sends a target's response.

        It breaks off a stream that has begun, since it isn't the rest of it.
        """
        self._respond(response)
        self.log_end("served" if self._complete else "broken off")

    def end_early(self, reason: EarlyEnd | None, *, sent: bool) -> None:
        """Ends a request whose caller left, or that has no time left.

        Args:
            reason: Why it ends.
            sent: Whether a target may have run the request.
        """
        if reason is EarlyEnd.CALLER_DISCONNECTED:
            self.log_end("caller left")
        elif reason is EarlyEnd.SHUTTING_DOWN and sent:
            self._end(CUT_OFF)
        elif reason is EarlyEnd.SHUTTING_DOWN:
            self.refuse_shutting_down()
        elif sent:
            self._end(TIMED_OUT)
        else:
            self.refuse(503, "no target in time", BUSY_RETRY_S)

    def refuse_tokens(self, decision: ReservationResult) -> None:
        """Refuses a turn whose tokens were not reserved."""
        if decision is ReservationDecision.SPENT:
            self.refuse(402, "the program's token budget is spent", None)
        elif decision is ReservationDecision.HELD_ELSEWHERE:
            self.refuse(503, "tokens are held by another VM", HELD_RETRY_S)
        elif decision is ReservationDecision.RECOVERING:
            retry_s = self._deps.reservations.recovery_retry_s()
            self.refuse(503, "an outage is being settled", retry_s)
        elif decision is ReservationDecision.UNPROVEN:
            self.refuse(503, "tokens may be unrecorded", UNPROVEN_RETRY_S)
        else:
            self._deps.log.turns.budget_unchecked(
                self._metadata, self._budget.take_refusal()
            )
            retry_s = self._deps.reservations.decider_retry_s()
            self.refuse(503, "budgets can't be checked now", retry_s)

    def refuse_shutting_down(self) -> None:
        """Refuses a request that may last longer than the VM does."""
        self.refuse(503, "shutting down", SHUTTING_DOWN_RETRY_S)

    def refuse_isolated(self) -> None:
        """Refuses a request because no VM is known to reach any target."""
        self.refuse(503, "no target is reached", ISOLATED_RETRY_S)

    def refuse_unknown_version(self) -> None:
        """Refuses to resume a stream whose software version is unknown."""
        self.refuse(
            503,
            "the software version of the stream is unknown",
            UNKNOWN_VERSION_RETRY_S,
        )

    def end_at_limits(self, retry_after_s: float) -> None:
        """Ends a request whose targets are all at their limits.

        Args:
            retry_after_s: Seconds until one of them takes a request.
        """
        if self._history.may_have_run:
            self.fail("all targets to repeat it at are at their limits")
            return
        self.refuse(503, "all targets are at their limits", retry_after_s)

    def end_over_quota(self, denied: QuotaDenied) -> None:
        """Ends a request that its account's quota doesn't admit."""
        if self._history.may_have_run:
            self.fail("no quota left to repeat it")
            return
        status = 429 if denied.refusal.over_quota else 503
        self.refuse(status, denied.refusal.value, denied.retry_after_s)

    def end_without_target(self, service: ServiceId) -> None:
        """Ends a request for which no target is available."""
        if self._history.may_have_run:
            self.fail("no target to repeat it at")
            return
        usable = self._deps.table.usable(
            service, self._stream_version.required
        )
        if usable and self._history.attempts:
            self.refuse(503, "all targets are full", BUSY_RETRY_S)
        elif self._stream_version.required is not None:
            self.refuse(
                503,
                "no target of the stream's software version is up",
                NO_TARGET_RETRY_S,
            )
        else:
            self.refuse(503, "no target is up", NO_TARGET_RETRY_S)

    def end_after_failure(self, outcome: AttemptOutcome) -> None:
        """Ends a request whose last attempt failed."""
        may_have_run = self._history.may_have_run
        if (
            isinstance(outcome, NotRun | NotSent | Unreachable)
            and not may_have_run
        ):
            self.refuse(503, "no target took the request", BUSY_RETRY_S)
            return
        self.fail("the answer was lost")

    def end_unrecorded(self) -> None:
        """Ends a turn that has run and could not be made durable."""
        self._end(NOT_DURABLE)

    def fail(self, reason: str) -> None:
        """Ends a request that may have run, with an unknown result."""
        self._end(Ending(502, reason))

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Refuses a request that was not run."""
        self._end(Ending(status, reason, retry_after_s))

    def log_end(self, outcome: str) -> None:
        """Logs how the request ended."""
        received_at = self._exchange.request.received_at
        self._deps.log.request_ended(
            self._metadata,
            route=self._route,
            version=self._version,
            target=self._history.last_target or "",
            status=self._exchange.status,
            attempts=self._history.attempts,
            tokens=self._budget.tokens_for_events(self.events_sent),
            took_s=self._deps.clock.seconds() - received_at,
            outcome=outcome,
            recorded_tokens=self._budget.recorded_tokens,
            account=self._account,
            response=self._exchange.state,
        )

    @property
    def _complete(self) -> bool:
        return self._exchange.state is ResponseState.COMPLETE

    def _end(self, ending: Ending) -> None:
        fallback = self.fallback
        if fallback is not None:
            self._respond(fallback)
        else:
            self._exchange.send_error(
                ending.status,
                ending.reason,
                retry_after_s=ending.retry_after_s,
            )
        if fallback is not None and self._complete:
            self.log_end("served")
            return
        self.log_end(ending.logged_outcome(started=not self._complete))

    def _respond(self, response: WholeAnswer) -> None:
        head = response.head
        headers = self._deps.headers.caller_headers(head.headers)
        self._exchange.respond(head.status, headers, response.body)
