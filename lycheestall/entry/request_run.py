"""Takes one request from its arrival to its final answer."""

from __future__ import annotations

from twisted.internet.defer import CancelledError, Deferred

from ..clock import Timer, sleep
from .attempt_lessons import AttemptLessons
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    Stopped,
    StreamEnded,
    WholeAnswer,
)
from .configuration import RetrySafety, Route, Service, ServiceId
from .crash_reports import fingerprint
from .exchange import Exchange
from .final_answer import EarlyEnd, FinalAnswer
from .http_messages import request_bytes
from .request_facts import RequestFacts
from .retry_policy import AttemptHistory, NextStep, next_step
from .run_parts import RunParts
from .stream_forwarder import StreamForwarder
from .target_attempt import TargetAttempt
from .target_table import TargetRegistration
from .token_books import BookDecision, TurnId
from .turn_budget import TurnBudget
from .urgency import urgency

__all__ = ["RequestRun"]

ANSWER_LEAST_S = 0.1
"""Shortest time after which an answer is overdue."""

FIRST_EVENT_LEAST_S = 0.4
"""Shortest time after which a first event is overdue; another target has
to read the prompt again."""

RESUME_PAUSE_S = 0.03
"""Pause before the same target is asked again."""

_TARGET_TIMEOUT = 504


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
        self._history = AttemptHistory()
        self._budget = TurnBudget(
            parts.tokens, parts.clock, facts, service, turn=turn
        )
        self._forwarder: StreamForwarder | None = None
        if route.is_stream:
            self._forwarder = StreamForwarder(
                exchange,
                resume_after=facts.resume_after,
                clock=parts.clock,
            )
        self._final = FinalAnswer(
            parts,
            exchange,
            facts,
            route,
            self._history,
            self._budget,
            self._forwarder,
            version=version,
        )
        limit_s = route.timeout_s
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s)
        self._deadline = self._request.received_at + limit_s
        self._lessons = AttemptLessons(
            parts, kind=route.name, fingerprint=fingerprint(exchange.request)
        )
        self._attempt: TargetAttempt | None = None
        self._waiting: Deferred[None] | None = None
        self._end: EarlyEnd | None = None
        self._sent_at = 0.0

    async def run(self) -> None:
        """Answers the request."""
        clock = self._parts.clock
        self._exchange.on_gone = lambda: self._stop(EarlyEnd.CALLER_LEFT)
        remaining_s = self._deadline - clock.seconds()
        timer = clock.callLater(
            max(0.0, remaining_s), self._stop, EarlyEnd.TIME_OVER
        )
        try:
            await self._serve()
        finally:
            if timer.active():
                timer.cancel()
            if not self._exchange.ended:
                self._final.give_up("internal error")

    async def _serve(self) -> None:
        if self._lessons.crashes_targets:
            self._final.refuse(503, "the request crashes its targets", 5.0)
            return
        if not self._budget.limited:
            await self._send_until_answered()
            return
        if not await self._reserved():
            return
        try:
            await self._send_until_answered()
        finally:
            self._budget.settle(self._final.events)

    async def _reserved(self) -> bool:
        answer = await self._budget.reserve()
        if answer is BookDecision.GRANTED:
            if self._end is None:
                return True
            self._budget.settle(0)
        if self._end is not None:
            self._final.ended_early(self._end, sent=False)
        else:
            self._final.no_tokens(answer)
        return False

    async def _send_until_answered(self) -> None:
        again: TargetRegistration | None = None
        while True:
            entry = again or self._choose()
            if self._end is not None:
                self._final.ended_early(
                    self._end, sent=self._history.may_have_run
                )
                return
            if entry is None:
                self._final.no_target(self._service_id)
                return
            outcome = await self._send(entry)
            self._history.note(entry.target, outcome)
            if self._settle_outcome(entry, outcome):
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
                self._final.failed(outcome)
                return
            again = None
            if step is NextStep.OTHER_TARGET:
                self._history.avoid.add(entry.target)
                if isinstance(outcome, Broken) and not self._another():
                    step = NextStep.SAME_TARGET
            if step is NextStep.SAME_TARGET:
                again = self._parts.table.get(entry.target)
                await self._pause(RESUME_PAUSE_S)

    def _another(self, *, than: TargetRegistration | None = None) -> bool:
        avoid = self._history.avoid
        if than is not None:
            avoid = avoid | {than.target}
        return self._parts.chooser.can_choose(self._service_id, avoid=avoid)

    def _choose(self) -> TargetRegistration | None:
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

    async def _send(self, entry: TargetRegistration) -> AttemptOutcome:
        parts = self._parts
        attempt = TargetAttempt(
            parts.pool_of(entry),
            parts.headers,
            attempt=self._facts.attempt,
            forwarder=self._forwarder,
            bodiless=self._request.method == b"HEAD",
        )
        self._attempt = attempt
        self._history.last_target = entry.target
        parts.chooser.request_started(entry.target)
        self._sent_at = parts.clock.seconds()
        timer = self._overdue_timer(entry, attempt)
        try:
            attempt.start(lambda: self._bytes_for(entry))
            outcome = await attempt.outcome
        finally:
            self._attempt = None
            parts.chooser.request_ended(entry.target)
            if timer is not None and timer.active():
                timer.cancel()
        began_at = None
        if self._forwarder is not None:
            began_at = self._forwarder.first_event_at
        self._lessons.learn(
            entry.target,
            outcome,
            sent_at=self._sent_at,
            began_at=began_at,
            time_over=self._end is EarlyEnd.TIME_OVER,
        )
        return outcome

    def _overdue_timer(
        self, entry: TargetRegistration, attempt: TargetAttempt
    ) -> Timer | None:
        timeouts = self._parts.timeouts
        kind = self._route.name
        least_s = ANSWER_LEAST_S
        if self._route.is_stream:
            least_s = FIRST_EVENT_LEAST_S
        timeout_s: float | None = None
        if self._repeatable_elsewhere(entry):
            timeout_s = timeouts.timeout_s(
                kind,
                least_s=least_s,
                remaining_s=self._deadline - self._sent_at,
            )
        clock = self._parts.clock
        timer: Timer
        if timeout_s is not None:
            timer = clock.callLater(timeout_s, attempt.overdue)
            return timer
        overdue_s = timeouts.overdue_s(kind, least_s=least_s)
        if overdue_s is None:
            return None
        timer = clock.callLater(overdue_s, self._overdue, entry)
        return timer

    def _overdue(self, entry: TargetRegistration) -> None:
        if not self._exchange.started:
            self._lessons.overdue(entry.target, sent_at=self._sent_at)

    def _repeatable_elsewhere(self, entry: TargetRegistration) -> bool:
        if self._exchange.started or self._repeat() is RetrySafety.ONCE:
            return False
        ran = self._history.ran | {entry.target}
        if len(ran) >= self._route.max_attempts:
            return False
        return self._another(than=entry)

    def _bytes_for(self, entry: TargetRegistration) -> bytes:
        request = self._request
        now = self._parts.clock.seconds()
        level: int | None = None
        if self._service is not None and self._service.engine is not None:
            finish_s = self._facts.finish_s
            level = urgency(
                self._route.priority,
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

    def _settle_outcome(
        self, entry: TargetRegistration, outcome: AttemptOutcome
    ) -> bool:
        if isinstance(outcome, StreamEnded):
            self._final.done("served")
            return True
        if isinstance(outcome, WholeAnswer):
            if self._exchange.started:
                # A resumed stream was answered with something else.
                self._exchange.abort()
                self._final.done("broken off")
                return True
            if outcome.failed and self._tries_elsewhere(entry, outcome):
                self._final.spare = outcome
                return False
            self._final.deliver(outcome)
            return True
        if isinstance(outcome, Stopped):
            self._final.ended_early(
                self._end, sent=outcome.sent or self._history.may_have_run
            )
            return True
        return False

    def _tries_elsewhere(
        self, entry: TargetRegistration, outcome: WholeAnswer
    ) -> bool:
        if outcome.head.status == _TARGET_TIMEOUT:
            return False
        return self._repeatable_elsewhere(entry)

    def _repeat(self) -> RetrySafety:
        repeat = self._route.retry_safety
        if repeat is not RetrySafety.RESUMABLE:
            return repeat
        forwarder = self._forwarder
        if forwarder is not None and forwarder.events > 0:
            return repeat if forwarder.resumable else RetrySafety.ONCE
        return repeat

    async def _pause(self, delay_s: float) -> None:
        self._waiting = sleep(self._parts.clock, delay_s)
        try:
            await self._waiting
        except CancelledError:
            return
        finally:
            self._waiting = None

    def _stop(self, reason: EarlyEnd) -> None:
        if self._end is not None:
            return
        self._end = reason
        if self._attempt is not None:
            self._attempt.stop()
        elif self._waiting is not None:
            self._waiting.cancel()
        else:
            self._budget.stop_waiting()
