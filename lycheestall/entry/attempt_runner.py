"""Runs the attempts of one request, one after the other."""

from __future__ import annotations

from collections.abc import Callable

from .attempt_feedback import AttemptFeedback
from .attempt_outcomes import AttemptOutcome
from .configuration import Route
from .exchange import Exchange
from .message_metadata import RequestMetadata
from .overdue_timer import start_overdue_timer
from .request_dependencies import RequestDependencies
from .stream_forwarder import StreamForwarder
from .target_admission import Admission
from .target_attempt import TargetAttempt
from .target_request import TargetRequest
from .target_table import TargetRegistration

__all__ = ["AttemptRunner"]


class AttemptRunner:
    """Sends a request to admitted targets and feeds the outcomes back.

    Args:
        deps: Dependencies shared by all requests.
        exchange: The request and its response.
        metadata: The request's metadata.
        route: The request's route.
        forwarder: Forwards the stream; None if the route has none.
        feedback: Learns how the attempts end.
        target_request: Encodes the request.
        body: Returns the body to send.
        deadline: When the request must have been answered.

    Attributes:
        registration: The target of the last attempt; None before the first.
        new_connection: Whether the last attempt asked for a new connection.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        forwarder: StreamForwarder | None,
        feedback: AttemptFeedback,
        target_request: TargetRequest,
        *,
        body: Callable[[], bytes],
        deadline: float,
    ) -> None:
        self._deps = deps
        self._exchange = exchange
        self._metadata = metadata
        self._route = route
        self._forwarder = forwarder
        self._feedback = feedback
        self._target_request = target_request
        self._body = body
        self._deadline = deadline
        self.registration: TargetRegistration | None = None
        self.new_connection = False
        self._attempt: TargetAttempt | None = None
        self._started_at = 0.0

    async def run(
        self,
        admission: Admission,
        *,
        can_retry_elsewhere: bool,
        deadline_passed: Callable[[], bool],
    ) -> AttemptOutcome:
        """Runs one attempt and returns its outcome.

        Args:
            admission: The target and the permit to send to it.
            can_retry_elsewhere: Whether another target may run the request,
                so that an overdue attempt is ended.
            deadline_passed: Returns whether the deadline ended the attempt.
        """
        registration = admission.registration
        self.registration = registration
        deps = self._deps
        attempt = TargetAttempt(
            deps.pool_of(registration),
            deps.headers,
            request_id=self._metadata.request_id,
            forwarder=self._forwarder,
            is_head_request=self._exchange.request.method == b"HEAD",
            on_response=lambda head, response: deps.announcements.observe(
                self._metadata, registration, head, response
            ),
            on_heard=lambda: deps.links.heard(
                registration.target, deps.clock.seconds()
            ),
        )
        self._attempt = attempt
        deps.chooser.request_started(registration.target)
        self._started_at = deps.clock.seconds()
        timer = start_overdue_timer(
            deps,
            self._route,
            attempt,
            can_retry_elsewhere=can_retry_elsewhere,
            remaining_s=self._deadline - self._started_at,
            on_overdue=lambda: self._report_overdue(registration),
        )
        try:
            attempt.start(lambda: self._encode_for(admission))
            outcome = await attempt.outcome
        finally:
            self._attempt = None
            deps.chooser.request_ended(registration.target)
            if timer is not None and timer.active():
                timer.cancel()
        self.new_connection = attempt.new_connection
        self._record(registration, outcome, deadline_passed())
        return outcome

    def stop(self) -> bool:
        """Ends the attempt in progress; returns whether there is one."""
        if self._attempt is None:
            return False
        self._attempt.stop()
        return True

    def _record(
        self,
        registration: TargetRegistration,
        outcome: AttemptOutcome,
        deadline_passed: bool,
    ) -> None:
        first_event_at = None
        if self._forwarder is not None:
            first_event_at = self._forwarder.first_event_at
        self._feedback.record_outcome(
            registration.target,
            outcome,
            started_at=self._started_at,
            first_event_at=first_event_at,
            deadline_passed=deadline_passed,
        )

    def _report_overdue(self, registration: TargetRegistration) -> None:
        if not self._exchange.started:
            self._feedback.record_overdue(
                registration.target, started_at=self._started_at
            )

    def _encode_for(self, admission: Admission) -> bytes | None:
        if self._deps.clock.seconds() >= admission.permit.expires_at:
            return None
        resume_after = self._metadata.resume_after
        if self._forwarder is not None:
            resume_after = self._forwarder.last_event_id
        if resume_after is not None:
            self._deps.log.stream_resumed(
                self._metadata,
                admission.registration,
                resume_after=resume_after,
            )
        return self._target_request.encode(
            admission.registration.target,
            self._body(),
            resume_after=resume_after,
        )
