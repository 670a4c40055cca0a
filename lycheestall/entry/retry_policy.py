"""What may follow when a target did not give a whole answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..ids import TargetId
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    WholeAnswer,
)
from .configuration import RetrySafety
from .http_client_connection import BreakReason

__all__ = ["AttemptHistory", "NextStep", "next_step"]

MAX_SENDS = 6
"""Targets asked for one request, those that refused it included."""


class NextStep(Enum):
    """What to do after an attempt."""

    GIVE_UP = "give_up"
    SAME_TARGET = "same_target"
    OTHER_TARGET = "other_target"


@dataclass(slots=True)
class AttemptHistory:
    """The attempts of one request so far.

    Attributes:
        sends: Attempts made.
        ran: Targets that may have run the request and are still up.
        may_have_run: Whether any target may have run it, also one that
            is gone.
        avoid: Targets that are not to be asked again.
        last_target: Whom the last attempt went to.
    """

    sends: int = 0
    ran: set[TargetId] = field(default_factory=set)
    may_have_run: bool = False
    avoid: set[TargetId] = field(default_factory=set)
    last_target: TargetId | None = None

    def note(self, target: TargetId, outcome: AttemptOutcome) -> None:
        """Takes the outcome of an attempt."""
        self.sends += 1
        if isinstance(outcome, NotSent):
            # Nothing listens any more: what ran there has ended.
            self.ran.discard(target)
            self.avoid.add(target)
        elif isinstance(outcome, NotRun):
            self.avoid.add(target)
        elif isinstance(outcome, Broken | WholeAnswer):
            self.ran.add(target)
            self.may_have_run = True


def next_step(
    outcome: AttemptOutcome,
    history: AttemptHistory,
    *,
    repeat: RetrySafety,
    max_attempts: int,
) -> NextStep:
    """Returns what may follow an attempt.

    A request that no target ran goes to another target. One that may
    have run is repeated only if it is idempotent or a stream that can be
    resumed; beyond the targets that the route allows it goes to the same
    target again, which counts as one. A broken stream is resumed where
    its prompt is still in memory, an overdue one elsewhere.

    Args:
        outcome: How the attempt ended.
        history: All attempts, this one included.
        repeat: How often the request may be run.
        max_attempts: Targets that may run it.
    """
    if history.sends >= MAX_SENDS:
        return NextStep.GIVE_UP
    if isinstance(outcome, NotSent | NotRun):
        return NextStep.OTHER_TARGET
    if repeat is RetrySafety.ONCE:
        return NextStep.GIVE_UP
    if isinstance(outcome, WholeAnswer):
        if outcome.failed and len(history.ran) < max_attempts:
            return NextStep.OTHER_TARGET
        return NextStep.GIVE_UP
    if not isinstance(outcome, Broken):
        return NextStep.GIVE_UP
    if len(history.ran) < max_attempts and (
        repeat is RetrySafety.IDEMPOTENT
        or outcome.reason is BreakReason.OVERDUE
    ):
        return NextStep.OTHER_TARGET
    return NextStep.SAME_TARGET
