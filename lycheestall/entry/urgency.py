"""How urgent a request is to a model engine."""

from __future__ import annotations

__all__ = ["urgency"]

MOST_URGENT = 1
LEAST_URGENT = 8
URGENCY_PER_RANK = 3
"""Steps between two ranks, so that a rank outweighs lateness."""


def urgency(rank: int, *, finish_s: float | None, late: bool) -> int:
    """Returns an engine's urgency, from 0 (first) to 9.

    The route's rank decides; inside a rank, programs that are about to
    miss their time go first, and those that have missed it last.

    Args:
        rank: The route's rank, 0 is the highest.
        finish_s: Seconds until the program should end, if it said so.
        late: Whether that time has passed.
    """
    level = MOST_URGENT + 1 + rank * URGENCY_PER_RANK
    if late:
        level += 1
    elif finish_s is not None and finish_s < 1.0:
        level -= 1
    return max(MOST_URGENT, min(level, LEAST_URGENT))
