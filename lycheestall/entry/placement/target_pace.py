"""How fast a target is, for the timeouts of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TargetPace"]


@dataclass(frozen=True, slots=True)
class TargetPace:
    """The learned speed of a target, and whether its service is under load.

    Attributes:
        relative_time: The target's time for a unit of work over the typical
            one; 1 if it isn't known.
        busy: Whether the targets of the service are under load.
    """

    relative_time: float = 1.0
    busy: bool = False
