"""How long requests wait for targets at their limits, and who comes first.

The load that this answers: engines take fewer requests a second than
programs send. A program counts only as a whole, so a turn that is refused
wastes the turns before it. Programs that have begun therefore wait for their
turns; new ones start only while nobody waits, and the number of programs
adapts to what the engines take.
"""

from __future__ import annotations

__all__ = ["max_wait_s", "retry_after_s"]

STARTED_WAIT_S = 0.5
"""Longest wait of a request; beyond that, its caller is better off asking
another VM or giving up."""

RESUME_WAIT_S = 1.5
"""Longest wait of a request that may have run or whose stream has begun; it
can't be refused any more, only broken off."""

WAIT_SHARE = 0.25
"""Largest share of a request's remaining time that it waits."""

MIN_RETRY_S = 0.1
"""Shortest retry delay, since the slots until then may be taken."""

FIRST_TURN_RETRY_S = 0.6
"""Shortest retry delay for a new program; it needs a running one to end."""


def max_wait_s(
    *, first_turn: bool, may_have_run: bool, remaining_s: float
) -> float:
    """Returns the seconds that a request may wait for a target.

    Args:
        first_turn: Whether it would start a new program.
        may_have_run: Whether a target may have run it.
        remaining_s: Seconds until its deadline.
    """
    if may_have_run:
        return max(0.0, min(RESUME_WAIT_S, remaining_s))
    if first_turn:
        return 0.0
    return max(0.0, min(STARTED_WAIT_S, remaining_s * WAIT_SHARE))


def retry_after_s(next_slot_s: float, *, first_turn: bool) -> float:
    """Returns the delay after which a refused caller should retry.

    Args:
        next_slot_s: Seconds until a target takes the next request.
        first_turn: Whether the request would start a new program.
    """
    shortest_s = FIRST_TURN_RETRY_S if first_turn else MIN_RETRY_S
    return max(shortest_s, next_slot_s)
