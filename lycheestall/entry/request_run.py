"""Takes one request from its arrival to its final answer."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    Stopped,
    StreamEnded,
    WholeAnswer,
)
from .configuration import Repeat, Route, Service, ServiceId
from .crash_reports import fingerprint
from .exchange import Exchange
from .http_messages import request_bytes
from .request_facts import RequestFacts
from .retry_policy import AttemptHistory, NextStep, next_step
from .run_parts import RunParts
from .stream_forwarder import StreamForwarder
from .target_attempt import TargetAttempt
from .target_connection import BreakReason
from .target_table import TargetEntry
from .token_books import BookDecision, TurnId
from .turn_budget import TurnBudget
from .urgency import urgency

__all__ = ["RequestRun"]

BUSY_RETRY_S = 0.15
"""When a caller should come back to a service whose targets are full."""

NO_TARGET_RETRY_S = 0.4
"""When a caller should come back to a service without targets."""

STORE_RETRY_S = 0.9
"""When a caller should come back while the store is away; callers wait
for at most a third of their time."""

HELD_RETRY_S = 0.4
"""When tokens that another VM holds ahead should be free again."""

RESUME_PAUSE_S = 0.03
"""Pause before the same target is asked again."""


class _End(Enum):
    """Why a run ends before its answer."""

    CALLER_LEFT = "caller left"
    TIME_OVER = "time over"


class RequestRun:
    """One request.

    Args:
        parts: What all runs share.
        exchange: The request and its answer.
        facts: What its headers say.
        route: Its route.
        service: The service that the route sends it to.
        version: Version of the configuration that decided.
        turn: A number of its own.
    """

    def __init__(
        self,
        parts: RunParts,
        exchange: Exchange,
        facts: RequestFacts,
        route: Route,
        service: Service | None,
        service_id: ServiceId,
        *,
        version: int,
        turn: TurnId,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._request = exchange.request
        self._facts = facts
        self._route = route
        self._service = service
        self._service_id = service_id
        self._version = version
        self._budget = TurnBudget(
            parts.tokens, parts.clock, facts, service, turn=turn
        )
        limit_s = route.timeout_s
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s)
        self._deadline = self._request.received_at + limit_s
        self._history = AttemptHistory()
        self._forwarder: StreamForwarder | None = None
        self._attempt: TargetAttempt | None = None
        self._waiting: Deferred[Any] | None = None
        self._end: _End | None = None
        self._last_target = ""
        self._sent_at = 0.0

    async def run(self) -> None:
        """Answers the request."""
        clock = self._parts.clock
        self._exchange.on_gone = lambda: self._stop(_End.CALLER_LEFT)
        remaining_s = self._deadline - clock.seconds()
        timer = clock.callLater(
            max(0.0, remaining_s), self._stop, _End.TIME_OVER
        )
        try:
            await self._serve()
        finally:
            if timer.active():
                timer.cancel()
            if not self._exchange.ended:
                self._give_up("internal error")

    async def _serve(self) -> None:
        self._print = fingerprint(self._request)
        if self._parts.refused(self._print):
            self._refuse(503, "the request crashes its targets", 5.0)
            return
        if not self._budget.limited:
            await self._send_until_answered()
            return
        if not await self._reserved():
            return
        try:
            await self._send_until_answered()
        finally:
            self._budget.settle(self._events)

    async def _reserved(self) -> bool:
        answer = await self._budget.reserve()
        if answer is BookDecision.GRANTED:
            if self._end is None:
                return True
            self._budget.settle(0)
        if self._end is not None:
            self._ended_early(sent=False)
        elif answer is BookDecision.SPENT:
            self._refuse(402, "the program's token budget is spent", None)
        elif answer is BookDecision.HELD_ELSEWHERE:
            self._refuse(503, "tokens are held by another VM", HELD_RETRY_S)
        elif answer is BookDecision.UNPROVEN:
            self._refuse(503, "tokens may be unrecorded", STORE_RETRY_S)
        else:
            self._refuse(503, "budgets can't be checked now", STORE_RETRY_S)
        return False

    async def _send_until_answered(self) -> None:
        if self._route.is_stream:
            self._forwarder = StreamForwarder(
                self._exchange,
                resume_after=self._facts.resume_after,
                clock=self._parts.clock,
            )
        again: TargetEntry | None = None
        while True:
            entry = again or self._choose()
            if self._end is not None:
                self._ended_early(sent=self._history.may_have_run)
                return
            if entry is None:
                self._no_target()
                return
            outcome = await self._send(entry)
            self._history.note(entry.target, outcome)
            if self._settle_outcome(outcome):
                return
            step = next_step(
                outcome,
                self._history,
                repeat=self._repeat(),
                max_attempts=self._route.max_attempts,
            )
            self._parts.log.attempt(
                self._facts, entry, outcome, next_step=step
            )
            if step is NextStep.GIVE_UP:
                self._failed(outcome)
                return
            again = None
            if step is NextStep.OTHER_TARGET:
                self._history.avoid.add(entry.target)
                if isinstance(outcome, Broken) and self._choose() is None:
                    step = NextStep.SAME_TARGET
            if step is NextStep.SAME_TARGET:
                again = self._parts.table.get(entry.target)
                await self._pause(RESUME_PAUSE_S)

    @property
    def _events(self) -> int:
        return 0 if self._forwarder is None else self._forwarder.events

    def _choose(self) -> TargetEntry | None:
        parts = self._facts.prompt_parts
        affinity: str | None = None
        if self._service is not None and self._service.engine is not None:
            own = parts[1] if len(parts) > 1 else None
            affinity = own.part if own is not None else self._facts.line
        return self._parts.chooser.choose(
            self._service_id,
            affinity=affinity,
            tie_break=self._facts.attempt,
            avoid=self._history.avoid,
            now=self._parts.clock.seconds(),
        )

    async def _send(self, entry: TargetEntry) -> AttemptOutcome:
        parts = self._parts
        attempt = TargetAttempt(
            parts.pool_of(entry),
            parts.headers,
            attempt=self._facts.attempt,
            forwarder=self._forwarder,
            bodiless=self._request.method == b"HEAD",
        )
        self._attempt = attempt
        self._last_target = entry.target
        parts.chooser.sent(entry.target)
        self._sent_at = parts.clock.seconds()
        try:
            attempt.start(lambda: self._bytes_for(entry))
            outcome = await attempt.outcome
        finally:
            self._attempt = None
            parts.chooser.ended(entry.target)
        self._learn(entry, outcome)
        return outcome

    def _bytes_for(self, entry: TargetEntry) -> bytes:
        request = self._request
        now = self._parts.clock.seconds()
        level: int | None = None
        if self._service is not None and self._service.engine is not None:
            finish_s = self._facts.finish_s
            level = urgency(
                self._route.rank,
                finish_s=finish_s,
                late=finish_s is not None and finish_s <= 0,
            )
        resume_after = self._facts.resume_after
        if self._forwarder is not None:
            resume_after = self._forwarder.last_event
        headers = self._parts.headers.target_headers(
            request.headers,
            target=entry.target,
            remaining_s=self._deadline - now,
            urgency=level,
            resume_after=resume_after,
        )
        return request_bytes(
            request.method, request.url, headers, request.body
        )

    def _learn(self, entry: TargetEntry, outcome: AttemptOutcome) -> None:
        chooser = self._parts.chooser
        now = self._parts.clock.seconds()
        if isinstance(outcome, NotSent):
            chooser.failed(entry.target, now, hard=True)
        elif isinstance(outcome, Broken):
            chooser.failed(entry.target, now, hard=False)
            if outcome.reason is not BreakReason.MALFORMED:
                self._parts.crashed(self._print)
        elif isinstance(outcome, WholeAnswer | StreamEnded):
            took_s = self._first_byte_at(now) - self._sent_at
            chooser.answered(entry.target, self._route.name, took_s, now)
        elif (
            isinstance(outcome, NotRun)
            and outcome.reason is NotRunReason.OTHER_INSTANCE
        ):
            chooser.failed(entry.target, now, hard=True)

    def _first_byte_at(self, now: float) -> float:
        if self._forwarder is None or self._forwarder.first_event_at is None:
            return now
        return max(self._forwarder.first_event_at, self._sent_at)

    def _settle_outcome(self, outcome: AttemptOutcome) -> bool:
        if isinstance(outcome, StreamEnded):
            self._done("served")
            return True
        if isinstance(outcome, WholeAnswer):
            if self._exchange.started:
                # A resumed stream was answered with something else.
                self._exchange.abort()
                self._done("broken off")
                return True
            headers = self._parts.headers.caller_headers(outcome.head.headers)
            self._exchange.answer(outcome.head.status, headers, outcome.body)
            self._done("served")
            return True
        if isinstance(outcome, Stopped):
            self._ended_early(sent=outcome.sent or self._history.may_have_run)
            return True
        return False

    def _repeat(self) -> Repeat:
        repeat = self._route.repeat
        if repeat is not Repeat.RESUMABLE:
            return repeat
        forwarder = self._forwarder
        if forwarder is not None and forwarder.events > 0:
            return repeat if forwarder.resumable else Repeat.ONCE
        return repeat

    async def _pause(self, delay_s: float) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting = waiting
        timer = self._parts.clock.callLater(delay_s, waiting.callback, None)
        try:
            await waiting
        except CancelledError:
            return
        finally:
            self._waiting = None
            if timer.active():
                timer.cancel()

    def _stop(self, reason: _End) -> None:
        if self._end is not None:
            return
        self._end = reason
        if self._attempt is not None:
            self._attempt.stop()
        elif self._waiting is not None:
            self._waiting.cancel()
        else:
            self._budget.stop_waiting()

    def _ended_early(self, *, sent: bool) -> None:
        if self._end is _End.CALLER_LEFT:
            self._done("caller left")
            return
        if self._exchange.started:
            self._exchange.abort()
            self._done("broken off at its deadline")
        elif sent:
            self._exchange.refuse(504, "no answer in time")
            self._done("timed out")
        else:
            self._refuse(503, "no target in time", BUSY_RETRY_S)

    def _no_target(self) -> None:
        if self._history.may_have_run:
            self._give_up("no target to repeat it at")
            return
        usable = self._parts.table.usable(self._service_id)
        if usable and self._history.sends:
            self._refuse(503, "all targets are full", BUSY_RETRY_S)
        else:
            self._refuse(503, "no target is up", NO_TARGET_RETRY_S)

    def _failed(self, outcome: AttemptOutcome) -> None:
        may_have_run = self._history.may_have_run
        if isinstance(outcome, NotRun | NotSent) and not may_have_run:
            self._refuse(503, "no target took the request", BUSY_RETRY_S)
            return
        self._give_up("the answer was lost")

    def _give_up(self, reason: str) -> None:
        if self._exchange.started:
            self._exchange.abort()
        else:
            self._exchange.refuse(502, reason)
        self._done(reason)

    def _refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self._exchange.refuse(status, reason, retry_after_s=retry_after_s)
        self._done(reason)

    def _done(self, outcome: str) -> None:
        self._parts.log.ended(
            self._facts,
            route=self._route,
            version=self._version,
            target=self._last_target,
            status=self._exchange.status,
            sends=self._history.sends,
            tokens=self._budget.tokens_of(self._events),
            took_s=self._parts.clock.seconds() - self._request.received_at,
            outcome=outcome,
            known_tokens=self._budget.recorded,
        )
