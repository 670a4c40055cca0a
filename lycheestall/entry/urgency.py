"""Urgency of requests to model engines."""

from __future__ import annotations

__all__ = ["urgency"]

MIN_LEVEL = 1
MAX_LEVEL = 8
LEVELS_PER_PRIORITY = 3
"""Levels between two priorities, so that priority outweighs lateness."""


def urgency(
    priority: int, *, program_deadline_s: float | None, late: bool
) -> int:
    """Returns the urgency for an engine, from 0 (most urgent) to 9.

    The route's priority decides first. Within a priority, programs that
    are about to miss their deadline go first and those that have missed it
    last.

    Args:
        priority: The route's priority; 0 is the highest.
        program_deadline_s: Seconds until the program should end, if given.
        late: Whether that time has passed.
    """
    level = MIN_LEVEL + 1 + priority * LEVELS_PER_PRIORITY
    if late:
        level += 1
    elif program_deadline_s is not None and program_deadline_s < 1.0:
        level -= 1
    return max(MIN_LEVEL, min(level, MAX_LEVEL))
