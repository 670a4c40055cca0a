"""Feeds the outcomes of attempts back into target selection."""

from __future__ import annotations

from ..ids import TargetId
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRunReason,
    NotSent,
    PermitExpired,
    Stopped,
    StreamEnded,
    Unreachable,
    WholeAnswer,
)
from .http_client_connection import CONNECTION_LOST, BreakReason
from .placement.work import CompletedStream
from .request_dependencies import RequestDependencies

__all__ = ["AttemptFeedback"]


class AttemptFeedback:
    """Reports the outcomes of one request's attempts.

    They update target selection, attempt timeouts and crash reports.

    Args:
        deps: Dependencies shared by all requests.
        route_name: Name of the request's route.
        fingerprint: Identifies the request in crash reports.
    """

    def __init__(
        self, deps: RequestDependencies, *, route_name: str, fingerprint: str
    ) -> None:
        self._deps = deps
        self._route_name = route_name
        self.fingerprint = fingerprint

    @property
    def crashes_targets(self) -> bool:
        """Whether the request is blocked because it crashes targets."""
        return self._deps.is_blocked(self.fingerprint)

    def record_outcome(
        self,
        target: TargetId,
        outcome: AttemptOutcome,
        *,
        started_at: float,
        first_event_at: float | None,
        deadline_passed: bool,
        relayed: bool,
        stream: CompletedStream | None = None,
    ) -> None:
        """Reports the outcome of an attempt.

        Args:
            target: The target of the attempt.
            outcome: How the attempt ended.
            started_at: When the attempt started.
            first_event_at: When the first event arrived, if any did.
            deadline_passed: Whether the request's deadline has passed.
            relayed: Whether a peer has sent it, which then reports crashes.
            stream: Times of the stream, if this attempt received all of it.
        """
        chooser = self._deps.chooser
        now: float = self._deps.clock.seconds()
        if isinstance(outcome, PermitExpired | Unreachable):
            return
        if isinstance(outcome, WholeAnswer | StreamEnded):
            self._deps.request_answered(self.fingerprint)
        if isinstance(outcome, NotSent):
            chooser.record_failure(target, now, down=True)
        elif isinstance(outcome, Broken):
            if outcome.reason is BreakReason.LINK_LOST:
                return
            chooser.record_failure(target, now, down=False)
            if outcome.reason is BreakReason.OVERDUE:
                self._record_no_response(target, now - started_at, now)
                self._deps.timeouts.record_retry(
                    self._route_name, now - started_at
                )
            elif outcome.reason in CONNECTION_LOST and not relayed:
                self._deps.crash_reporter.connection_lost(
                    target, self.fingerprint
                )
        elif isinstance(outcome, Stopped):
            if outcome.sent and first_event_at is None:
                self._record_no_response(target, now - started_at, now)
            if outcome.sent and deadline_passed:
                chooser.record_failure(target, now, down=False)
        elif isinstance(outcome, WholeAnswer) and outcome.failed:
            chooser.record_failure(target, now, down=False)
        elif isinstance(outcome, WholeAnswer | StreamEnded):
            responded_at = (
                now
                if first_event_at is None
                else max(first_event_at, started_at)
            )
            took_s = responded_at - started_at
            if stream is not None:
                chooser.record_stream(target, stream, now)
            elif isinstance(outcome, WholeAnswer):
                chooser.record_plain_speed(
                    target, self._route_name, took_s, now
                )
            self._record_response(target, took_s, now)
        elif outcome.reason is NotRunReason.OTHER_INSTANCE:
            chooser.record_failure(target, now, down=True)

    def record_overdue(self, target: TargetId, *, started_at: float) -> None:
        """Reports an overdue response that is still waited for.

        Args:
            target: The target of the attempt.
            started_at: When the attempt started.
        """
        now: float = self._deps.clock.seconds()
        self._record_no_response(target, now - started_at, now)

    def _record_response(
        self, target: TargetId, took_s: float, now: float
    ) -> None:
        self._deps.chooser.record_response(
            target, self._route_name, took_s, now
        )
        self._deps.timeouts.record_response()

    def _record_no_response(
        self, target: TargetId, waited_s: float, now: float
    ) -> None:
        self._deps.chooser.record_no_response(
            target, self._route_name, waited_s, now
        )
