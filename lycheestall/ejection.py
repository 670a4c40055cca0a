"""Keeps work from engines that fail more than others."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .ids import TargetId

__all__ = ["OutlierEjection"]

EJECTION_FAILURES = 3
EJECT_S = 5.0
MAX_EJECT_S = 60.0
MIN_USABLE_SHARE = 0.5
ERROR_SMOOTHING = 0.1


@dataclass(slots=True)
class _Health:
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
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

    def record_failure(
        self, target: TargetId, now: float, *, down: bool
    ) -> bool:
        """Counts a failure.

        Args:
            target: The engine.
            now: The time.
            down: Whether the engine is known to be down, so that one
                failure is enough.

        Returns:
            Whether the engine is ejected from now on.
        """
        health = self._health(target)
        health.consecutive_failures += 1
        health.error_share += ERROR_SMOOTHING * (1.0 - health.error_share)
        if now < health.ejected_until:
            return False
        if not down and health.consecutive_failures < EJECTION_FAILURES:
            return False
        eject_s = min(EJECT_S * 2**health.consecutive_ejections, MAX_EJECT_S)
        health.consecutive_ejections += 1
        health.ejected_until = now + eject_s
        health.probing = False
        return True

    def record_answer(self, target: TargetId) -> bool:
        """Counts an answer; returns whether it ended an ejection."""
        health = self._health(target)
        returned = health.consecutive_ejections > 0
        health.consecutive_failures = 0
        health.consecutive_ejections = 0
        health.ejected_until = 0.0
        health.probing = False
        health.error_share *= 1.0 - ERROR_SMOOTHING
        return returned

    def record_sent(self, target: TargetId) -> None:
        """Marks a call to an engine that was ejected as its probe."""
        health = self._health_by_target.get(target)
        if health is not None and health.consecutive_ejections:
            health.probing = True

    def probe_inconclusive(self, target: TargetId) -> None:
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
        min_usable = -int(-len(targets) * MIN_USABLE_SHARE // 1)
        if len(usable) >= min_usable:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._health(t).ejected_until)
        return usable + ejected[: min_usable - len(usable)]

    def forget(self, target: TargetId) -> None:
        """Drops an engine that has left."""
        self._health_by_target.pop(target, None)

    def _ejected(self, target: TargetId, now: float) -> bool:
        health = self._health_by_target.get(target)
        if health is None or not health.consecutive_ejections:
            return False
        return now < health.ejected_until or health.probing

    def _health(self, target: TargetId) -> _Health:
        return self._health_by_target.setdefault(target, _Health())
