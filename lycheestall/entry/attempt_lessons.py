"""What an attempt teaches about its target."""

from __future__ import annotations

from ..ids import TargetId
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRunReason,
    NotSent,
    Stopped,
    StreamEnded,
    WholeAnswer,
)
from .http_client_connection import BreakReason
from .run_parts import RunParts

__all__ = ["AttemptLessons"]

_LOST_TARGET = (BreakReason.CLOSED, BreakReason.RESET)


class AttemptLessons:
    """Passes the outcomes of one request on to those who choose targets.

    Args:
        parts: What all requests share.
        kind: What kind of request it is; kinds take their own time.
        fingerprint: What requests that crash targets are known by.
    """

    def __init__(
        self, parts: RunParts, *, kind: str, fingerprint: str
    ) -> None:
        self._parts = parts
        self._kind = kind
        self._fingerprint = fingerprint

    @property
    def crashes_targets(self) -> bool:
        """Whether requests like this one have crashed their targets."""
        return self._parts.refused(self._fingerprint)

    def learn(
        self,
        target: TargetId,
        outcome: AttemptOutcome,
        *,
        sent_at: float,
        began_at: float | None,
        time_over: bool,
    ) -> None:
        """Takes the outcome of an attempt.

        Args:
            target: Who was asked.
            outcome: How it ended.
            sent_at: When it was asked.
            began_at: When the first event came, None if none came.
            time_over: Whether the request's time is over.
        """
        chooser = self._parts.chooser
        now: float = self._parts.clock.seconds()
        if isinstance(outcome, NotSent):
            chooser.record_failure(target, now, hard=True)
        elif isinstance(outcome, Broken):
            chooser.record_failure(target, now, hard=False)
            if outcome.reason is BreakReason.OVERDUE:
                self._unanswered(target, now - sent_at, now)
                self._parts.timeouts.repeated()
            elif outcome.reason in _LOST_TARGET:
                self._parts.crashed(self._fingerprint)
        elif isinstance(outcome, Stopped):
            if outcome.sent and began_at is None:
                self._unanswered(target, now - sent_at, now)
            if outcome.sent and time_over:
                chooser.record_failure(target, now, hard=False)
        elif isinstance(outcome, WholeAnswer) and outcome.failed:
            chooser.record_failure(target, now, hard=False)
        elif isinstance(outcome, WholeAnswer | StreamEnded):
            ended_at = now if began_at is None else max(began_at, sent_at)
            self._answered(target, ended_at - sent_at, now)
        elif outcome.reason is NotRunReason.OTHER_INSTANCE:
            chooser.record_failure(target, now, hard=True)

    def overdue(self, target: TargetId, *, sent_at: float) -> None:
        """Notes that an answer is overdue; it is still waited for.

        Args:
            target: Who was asked.
            sent_at: When it was asked.
        """
        now: float = self._parts.clock.seconds()
        self._unanswered(target, now - sent_at, now)

    def _answered(self, target: TargetId, took_s: float, now: float) -> None:
        self._parts.chooser.record_response(target, self._kind, took_s, now)
        self._parts.timeouts.answered()

    def _unanswered(
        self, target: TargetId, waited_s: float, now: float
    ) -> None:
        self._parts.chooser.record_no_response(
            target, self._kind, waited_s, now
        )
