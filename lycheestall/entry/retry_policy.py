"""Decides what follows an attempt that gave no complete response."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..ids import TargetId
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    Unreachable,
    WholeAnswer,
)
from .configuration import RetrySafety
from .http_client_connection import BreakReason

__all__ = [
    "AttemptHistory",
    "NextStep",
    "choose_next_step",
    "same_target_delay_s",
]

SAME_TARGET_RETRY_DELAY_S = 0.03
"""Delay before a retry at the same target."""

FULL_TARGET_RETRY_UNIT_S = 0.025
"""Unit of the delay before a target that was full is asked again. The delay
doubles with each attempt of the request, from 0.1 s after the second one to
0.8 s after the fifth, since a slot may take as long to become free."""

MAX_TOTAL_ATTEMPTS = 6
"""Attempts for one request, including those that did not run it."""


class NextStep(Enum):
    """What follows an attempt."""

    GIVE_UP = "give_up"
    SAME_TARGET = "same_target"
    OTHER_TARGET = "other_target"
    ANY_TARGET = "any_target"


@dataclass(slots=True)
class AttemptHistory:
    """The attempts of one request so far.

    Attributes:
        attempts: Number of attempts.
        possible_executors: Targets that may have run the request and
            are still up and reached.
        executors: Those of them that have run it, as far as a broken or a
            whole response tells; one that was overdue may have kept it in its
            queue.
        may_have_run: Whether any target may have run the request,
            including one that is gone.
        excluded: Targets that must not be chosen again.
        full: Those of them that refused the request because they were full.
        last_target: The target of the last attempt.
    """

    attempts: int = 0
    possible_executors: set[TargetId] = field(default_factory=set)
    executors: set[TargetId] = field(default_factory=set)
    may_have_run: bool = False
    excluded: set[TargetId] = field(default_factory=set)
    full: set[TargetId] = field(default_factory=set)
    last_target: TargetId | None = None

    def record(self, target: TargetId, outcome: AttemptOutcome) -> None:
        """Adds an attempt and its outcome."""
        self.attempts += 1
        if isinstance(outcome, NotSent):
            # The target no longer accepts connections, so a run there ended.
            self._run_ended(target)
        elif isinstance(outcome, Unreachable):
            # It is cut off, so that its run doesn't count any more.
            self._run_ended(target)
        elif isinstance(outcome, NotRun):
            self.excluded.add(target)
            if outcome.reason is NotRunReason.FULL:
                self.full.add(target)
        elif isinstance(outcome, Broken | WholeAnswer):
            self.possible_executors.add(target)
            self.may_have_run = True
            if not _is_overdue(outcome):
                self.executors.add(target)

    def _run_ended(self, target: TargetId) -> None:
        self.possible_executors.discard(target)
        self.executors.discard(target)
        self.excluded.add(target)

    def executors_exhausted(self, max_attempts: int) -> bool:
        """Returns whether no further target may run the request.

        Args:
            max_attempts: Maximum number of targets that may run it.
        """
        executors = len(self.executors)
        return executors > 0 and executors >= max_attempts

    def readmit_full(self) -> bool:
        """Allows targets that were full again; returns whether any were."""
        readmitted = bool(self.full)
        self.excluded -= self.full
        self.full.clear()
        return readmitted


def choose_next_step(
    outcome: AttemptOutcome,
    history: AttemptHistory,
    *,
    retry_safety: RetrySafety,
    max_attempts: int,
) -> NextStep:
    """Returns what follows an attempt.

    A request that was not run goes to another target. One that may have
    run is retried only if it is idempotent or a stream that can be
    resumed. Once as many targets as the route allows may have run it, it
    is retried at the same target, which adds no target, also if that one
    is full now. A broken stream
    is resumed at its target, whose cache still has the prompt; an overdue
    one is resumed at another target.

    Args:
        outcome: How the attempt ended.
        history: All attempts, including this one.
        retry_safety: Whether the request may be run more than once.
        max_attempts: Maximum number of targets that may run it.
    """
    if history.attempts >= MAX_TOTAL_ATTEMPTS:
        return NextStep.GIVE_UP
    if (
        isinstance(outcome, NotRun)
        and outcome.reason is NotRunReason.FULL
        and history.executors_exhausted(max_attempts)
    ):
        # Another target would be one more that may run it.
        return NextStep.SAME_TARGET
    if isinstance(outcome, NotSent | NotRun | Unreachable):
        return NextStep.OTHER_TARGET
    if retry_safety is RetrySafety.ONCE:
        return NextStep.GIVE_UP
    if isinstance(outcome, WholeAnswer):
        if outcome.failed and len(history.possible_executors) < max_attempts:
            return NextStep.OTHER_TARGET
        return NextStep.GIVE_UP
    if not isinstance(outcome, Broken):
        return NextStep.GIVE_UP
    if len(history.possible_executors) < max_attempts and (
        retry_safety is RetrySafety.IDEMPOTENT
        or outcome.reason is BreakReason.OVERDUE
    ):
        return NextStep.OTHER_TARGET
    return NextStep.SAME_TARGET


def _is_overdue(outcome: AttemptOutcome) -> bool:
    return (
        isinstance(outcome, Broken) and outcome.reason is BreakReason.OVERDUE
    )


def same_target_delay_s(outcome: AttemptOutcome, attempts: int) -> float:
    """Returns the delay before a retry at the same target.

    Args:
        outcome: How the last attempt there ended.
        attempts: Attempts of the request so far.
    """
    if isinstance(outcome, NotRun):
        return float(FULL_TARGET_RETRY_UNIT_S * 2**attempts)
    return SAME_TARGET_RETRY_DELAY_S
