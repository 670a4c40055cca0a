"""Processes a request from its arrival to its final response."""

from __future__ import annotations

from twisted.internet.defer import CancelledError, Deferred

from ..clock import sleep
from .accounts import Account
from .attempt_feedback import AttemptFeedback
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    PermitExpired,
    Stopped,
    StreamEnded,
    WholeAnswer,
)
from .attempt_runner import AttemptRunner
from .configuration import RetrySafety, Route, Service, ServiceId
from .crashes.crash_reports import fingerprint_request
from .kept_turn import KeptTurn
from .limit_waits import max_wait_s, retry_after_s
from .message_metadata import RequestMetadata
from .quotas.request_quota import RequestQuota
from .request_dependencies import RequestDependencies
from .reservation_decision import ReservationDecision
from .responses import Exchange
from .responses.final_response import EarlyEnd, FinalResponse
from .retry_options import RetryOptions
from .retry_policy import (
    AttemptHistory,
    NextStep,
    choose_next_step,
    same_target_delay_s,
)
from .shutdown.request_drain import RequestDrain
from .stream_forwarder import StreamForwarder
from .stream_version import StreamVersion
from .target_admission import Admission, AtLimits, TargetAdmission
from .target_request import TargetRequest
from .target_table import TargetRegistration
from .token_allocator import TurnId
from .turn_budget import TurnBudget

__all__ = ["RequestProcessor"]

FULL_TARGETS_RETRY_DELAY_S = 0.05
"""Delay before a stream is sent again to targets that were full."""


class RequestProcessor:
    """Processes one request.

    Args:
        deps: Dependencies shared by all requests.
        exchange: The request and its response.
        metadata: The request's metadata.
        route: The request's route.
        service: Settings of the route's service, None if it is not
            configured.
        service_id: ID of the route's service.
        version: Version of the configuration that was used.
        turn: Unique number of the request.
        account: The account that the request belongs to, if any.
        authenticated: Whether the configuration has accounts.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        service: Service | None,
        service_id: ServiceId,
        *,
        version: int,
        turn: TurnId,
        account: Account | None = None,
        authenticated: bool = False,
    ) -> None:
        self._deps = deps
        self._account = account
        self._exchange = exchange
        self._metadata = metadata
        self._route = route
        self._service_id = service_id
        self._history = AttemptHistory()
        self._budget = TurnBudget(
            deps.reservations, deps.clock, metadata, service, turn=turn
        )
        # Empty for anonymous requests; None where there are no accounts.
        owner = None if account is None else str(account.account)
        self._turn = KeptTurn(
            deps,
            metadata,
            route,
            exchange.request.body,
            owner=owner or ("" if authenticated else None),
        )
        self._stream_version = StreamVersion(deps, metadata, route, service_id)
        self._forwarder: StreamForwarder | None = None
        # The answer to a HEAD request is whole with its head.
        if route.is_stream and exchange.request.method != b"HEAD":
            self._forwarder = StreamForwarder(
                exchange,
                resume_after=metadata.resume_after,
                clock=deps.clock,
                on_first_event=self._bind_stream,
                keep_output=self._turn.kept,
            )
        self._final = FinalResponse(
            deps,
            exchange,
            metadata,
            route,
            self._history,
            self._budget,
            self._forwarder,
            self._stream_version,
            version=version,
            account=account,
        )
        limit_s = route.timeout_s
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
        self._deadline = exchange.request.received_at + limit_s
        self._drain = RequestDrain(
            deps.drain_window,
            deps.clock,
            self._history,
            route_name=route.name,
            received_at=exchange.request.received_at,
            deadline=self._deadline,
        )
        self._quota = RequestQuota(
            deps.quotas,
            deps.log.quotas,
            metadata,
            account,
            now=deps.clock.seconds,
            version=version,
            deadline=self._deadline,
            has_tokens=lambda: bool(self._budget.recorded_tokens),
        )
        self._feedback = AttemptFeedback(
            deps,
            route_name=route.name,
            fingerprint=fingerprint_request(exchange.request),
        )
        self._attempts = AttemptRunner(
            deps,
            exchange,
            metadata,
            route,
            self._forwarder,
            self._feedback,
            TargetRequest(
                deps.headers,
                deps.clock,
                exchange.request,
                metadata,
                route,
                service,
                deadline=self._deadline,
                authenticated=authenticated,
                account=account,
            ),
            body=lambda: self._turn.body,
            may_repeat=lambda: (
                self._options.retry_safety is not RetrySafety.ONCE
            ),
        )
        self._admission = TargetAdmission(
            chooser=deps.chooser,
            permits=deps.permits,
            table=deps.table,
            log=deps.log,
            clock=deps.clock,
            metadata=metadata,
            service=service,
            service_id=service_id,
            history=self._history,
            stream_version=self._stream_version,
            object_key=metadata.object_key if route.session_affinity else None,
        )
        self._options = RetryOptions(
            exchange, route, self._history, self._admission, self._forwarder
        )
        self._sleeping: Deferred[None] | None = None
        self._early_end: EarlyEnd | None = None

    async def process(self) -> None:
        """Processes the request until its response has ended."""
        clock = self._deps.clock
        self._exchange.on_disconnect = lambda: self._stop(
            EarlyEnd.CALLER_DISCONNECTED
        )
        remaining_s = self._deadline - clock.seconds()
        timer = clock.callLater(
            max(0.0, remaining_s), self._stop, EarlyEnd.DEADLINE_PASSED
        )
        try:
            await self._process()
        finally:
            if timer.active():
                timer.cancel()
            self._quota.release()
            if self._early_end is None:
                self._drain.ended()
            if not self._exchange.ended:
                self._final.fail("internal error")

    def shut_down(self) -> None:
        """Ends the request at once, since the VM's process is about to end."""
        self._stop(EarlyEnd.SHUTTING_DOWN)

    async def _process(self) -> None:
        if not self._drain.admits():
            self._final.refuse_shutting_down()
            return
        if self._feedback.crashes_targets:
            self._final.refuse(503, "the request crashes its targets", 5.0)
            return
        if self._deps.relay.isolated:
            self._final.refuse_isolated()
            return
        if not await self._acquire_quota():
            return
        if not await self._find_stream_version():
            return
        # The conversation is looked up while the tokens are reserved.
        self._turn.start_loading()
        if not self._budget.has_budget:
            await self._run_turn()
            return
        if not await self._reserve_tokens():
            self._turn.cancel()
            return
        try:
            await self._run_turn()
        finally:
            self._budget.settle(self._final.events_sent)

    async def _acquire_quota(self) -> bool:
        """Gets a permit and waits until it is valid, or ends the request.

        Returns:
            Whether the request may go on.
        """
        may_have_run = self._history.may_have_run
        denied = await self._quota.acquire(may_have_run=may_have_run)
        delay_s = self._quota.delay_s
        if delay_s > 0 and self._early_end is None:
            await self._sleep(delay_s)
        if self._early_end is not None:
            self._final.end_early(self._early_end, sent=may_have_run)
            return False
        if denied is not None:
            self._final.end_over_quota(denied)
        return denied is None

    async def _find_stream_version(self) -> bool:
        if not self._stream_version.must_be_found:
            return True
        found = await self._stream_version.find()
        if self._early_end is not None:
            self._final.end_early(self._early_end, sent=False)
            return False
        if not found:
            self._final.refuse_unknown_version()
        return found

    async def _run_turn(self) -> None:
        refusal = await self._turn.loaded()
        if self._early_end is not None:
            self._final.end_early(self._early_end, sent=False)
        elif refusal is not None:
            self._final.refuse(
                refusal.status, refusal.reason, refusal.retry_after_s
            )
        else:
            await self._attempt_until_final()

    async def _reserve_tokens(self) -> bool:
        decision = await self._budget.reserve()
        if decision is ReservationDecision.GRANTED:
            if self._early_end is None:
                return True
            self._budget.settle(0)
        if self._early_end is not None:
            self._final.end_early(self._early_end, sent=False)
        else:
            self._final.refuse_tokens(decision)
        return False

    async def _attempt_until_final(self) -> None:
        same_target: TargetRegistration | None = None
        while True:
            await self._stream_version.check_targets()
            if same_target is not None:
                same_target = self._admission.get_usable(same_target.target)
            admission = await self._admit(same_target)
            if self._early_end is not None:
                self._final.end_early(
                    self._early_end, sent=self._history.may_have_run
                )
                return
            if not self._drain.admits():
                self._final.refuse_shutting_down()
                return
            if admission is None and self._waits_for_full_targets():
                await self._sleep(FULL_TARGETS_RETRY_DELAY_S)
                continue
            if admission is None:
                self._final.end_without_target(self._service_id)
                return
            if isinstance(admission, AtLimits):
                self._final.end_at_limits(
                    retry_after_s(
                        admission.retry_after_s,
                        first_turn=self._starts_program(),
                    )
                )
                return
            if not await self._acquire_quota():
                return
            if not self._admission.is_usable(admission):
                same_target = None
                continue
            registration = admission.registration
            self._history.last_target = registration.target
            outcome = await self._attempts.run(
                self._quota.limit(admission),
                can_retry_elsewhere=self._options.can_retry_elsewhere(
                    registration
                ),
                deadline_passed=lambda: (
                    self._early_end is EarlyEnd.DEADLINE_PASSED
                ),
            )
            self._quota.record(outcome)
            if isinstance(outcome, PermitExpired):
                self._attempts.log_failed(outcome, NextStep.ANY_TARGET)
                continue
            self._history.record(registration.target, outcome)
            if isinstance(outcome, StreamEnded):
                await self._finish_stream()
                return
            if self._finish_with(registration, outcome):
                return
            step = choose_next_step(
                outcome,
                self._history,
                retry_safety=self._options.retry_safety,
                max_attempts=self._route.max_attempts,
            )
            self._attempts.log_failed(outcome, step)
            if step is NextStep.GIVE_UP:
                self._final.end_after_failure(outcome)
                return
            same_target = None
            if step is NextStep.OTHER_TARGET:
                self._history.excluded.add(registration.target)
                if (
                    isinstance(outcome, Broken)
                    and not self._admission.has_other_target()
                ):
                    step = NextStep.SAME_TARGET
            if step is NextStep.SAME_TARGET:
                same_target = self._admission.get_usable(registration.target)
                await self._sleep(
                    same_target_delay_s(outcome, self._history.attempts)
                )

    def _waits_for_full_targets(self) -> bool:
        # A stream that has begun can't go on at any other target.
        if self._stream_version.required is None:
            return False
        return self._history.readmit_full()

    def _bind_stream(self) -> None:
        registration = self._attempts.registration
        assert registration is not None
        self._stream_version.bind(registration)

    async def _finish_stream(self) -> None:
        assert self._forwarder is not None
        kept = await self._turn.keep(
            self._forwarder.output, give_up_at=self._deadline
        )
        if kept:
            self._forwarder.finish()
            self._stream_version.ended()
            self._final.log_end("served")
            return
        if self._early_end is EarlyEnd.CALLER_DISCONNECTED:
            self._final.log_end("caller left")
            return
        self._final.end_unrecorded()

    async def _admit(
        self, same_target: TargetRegistration | None
    ) -> Admission | AtLimits | None:
        now = self._deps.clock.seconds()
        first_turn = self._starts_program()
        wait_s = max_wait_s(
            first_turn=first_turn,
            may_have_run=self._history.may_have_run,
            remaining_s=self._deadline - now,
        )
        admission: Admission | AtLimits | None
        if same_target is None and self._history.executors_exhausted(
            self._route.max_attempts
        ):
            # Without one, its run has ended or is about to.
            same_target = self._usable_executor()
        if same_target is not None:
            admission = await self._admission.wait_for(
                same_target, max_wait_s=wait_s
            )
        else:
            admission = await self._admission.choose(
                max_wait_s=wait_s, yields=first_turn
            )
        if isinstance(admission, Admission):
            delay_s = admission.permit.starts_at - self._deps.clock.seconds()
            if delay_s > 0 and self._early_end is None:
                await self._sleep(delay_s)
        return admission

    def _usable_executor(self) -> TargetRegistration | None:
        """Returns a target that has run the request and may run it again."""
        for target in sorted(self._history.executors):
            registration = self._admission.get_usable(target)
            if registration is not None:
                return registration
        return None

    def _starts_program(self) -> bool:
        if self._history.may_have_run:
            return False
        return self._budget.is_first_turn

    def _finish_with(
        self, registration: TargetRegistration, outcome: AttemptOutcome
    ) -> bool:
        if isinstance(outcome, WholeAnswer):
            if outcome.failed and self._options.should_retry_elsewhere(
                registration, outcome
            ):
                self._final.fallback = outcome
                return False
            self._final.send(outcome)
            return True
        if isinstance(outcome, Stopped):
            self._final.end_early(
                self._early_end,
                sent=outcome.sent or self._history.may_have_run,
            )
            return True
        return False

    async def _sleep(self, delay_s: float) -> None:
        self._sleeping = sleep(self._deps.clock, delay_s)
        try:
            await self._sleeping
        except CancelledError:
            return
        finally:
            self._sleeping = None

    def _stop(self, reason: EarlyEnd) -> None:
        if self._early_end is not None:
            return
        self._early_end = reason
        if self._attempts.stop():
            return
        if self._sleeping is not None:
            self._sleeping.cancel()
        else:
            self._budget.cancel_reservation()
            self._turn.cancel()
