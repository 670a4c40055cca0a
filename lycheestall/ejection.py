"""Keeps work from engines that fail more than others."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .ids import TargetId

__all__ = ["OutlierEjection"]

FAILURES_IN_A_ROW = 3
EJECT_S = 5.0
MOST_EJECT_S = 60.0
FLOOR_SHARE = 0.5
ERROR_SMOOTHING = 0.1


@dataclass(slots=True)
class _Health:
    in_a_row: int = 0
    ejections: int = 0
    until: float = 0.0
    probing: bool = False
    error_share: float = 0.0


class OutlierEjection:
    """Ejects an engine for a while after failures in a row.

    The time doubles with each ejection in a row. Afterwards one call
    goes to the engine as a probe; its success ends the ejection. Never
    more than half of the engines are ejected: at the floor, failing
    engines stay in use, since work spread thin beats work piled up.
    """

    def __init__(self) -> None:
        """Starts with every engine in good health."""
        self._health_by_target: dict[TargetId, _Health] = {}

    def failed(self, target: TargetId, now: float, *, hard: bool) -> bool:
        """Counts a failure.

        Args:
            target: The engine.
            now: The time.
            hard: Whether the engine is known to be down, so that one
                failure is enough.

        Returns:
            Whether the engine is ejected from now on.
        """
        health = self._health(target)
        health.in_a_row += 1
        health.error_share += ERROR_SMOOTHING * (1.0 - health.error_share)
        if now < health.until:
            return False
        if not hard and health.in_a_row < FAILURES_IN_A_ROW:
            return False
        eject_s = min(EJECT_S * 2**health.ejections, MOST_EJECT_S)
        health.ejections += 1
        health.until = now + eject_s
        health.probing = False
        return True

    def answered(self, target: TargetId) -> bool:
        """Counts an answer; returns whether it ended an ejection."""
        health = self._health(target)
        returned = health.ejections > 0
        health.in_a_row = 0
        health.ejections = 0
        health.until = 0.0
        health.probing = False
        health.error_share *= 1.0 - ERROR_SMOOTHING
        return returned

    def sent(self, target: TargetId) -> None:
        """Marks a call to an engine that was ejected as its probe."""
        health = self._health_by_target.get(target)
        if health is not None and health.ejections:
            health.probing = True

    def probe_ended(self, target: TargetId) -> None:
        """Lets another probe go out; the last one said nothing."""
        self._health(target).probing = False

    def error_share(self, target: TargetId) -> float:
        """Returns the smoothed share of calls that failed."""
        health = self._health_by_target.get(target)
        return health.error_share if health is not None else 0.0

    def usable(
        self, targets: Sequence[TargetId], now: float
    ) -> list[TargetId]:
        """Returns the engines that may get work, never below the floor.

        Args:
            targets: Engines that could take the work.
            now: The time.
        """
        usable = [t for t in targets if not self._ejected(t, now)]
        least = -int(-len(targets) * FLOOR_SHARE // 1)
        if len(usable) >= least:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._health(t).until)
        return usable + ejected[: least - len(usable)]

    def forget(self, target: TargetId) -> None:
        """Drops an engine that has left."""
        self._health_by_target.pop(target, None)

    def _ejected(self, target: TargetId, now: float) -> bool:
        health = self._health_by_target.get(target)
        if health is None or not health.ejections:
            return False
        return now < health.until or health.probing

    def _health(self, target: TargetId) -> _Health:
        return self._health_by_target.setdefault(target, _Health())
