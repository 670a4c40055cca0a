"""Ejects targets that fail repeatedly (outlier ejection)."""

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
    """Ejects a target for some time after consecutive failures.

    The time doubles with each consecutive ejection. Afterwards one call is
    sent to the target as a probe; its success ends the ejection. At least
    half of the targets stay in use even if they fail, because ejecting
    more would concentrate the load on too few targets.
    """

    def __init__(self) -> None:
        """Creates the state with all targets healthy."""
        self._health_by_target: dict[TargetId, _Health] = {}
        self._ejected: set[TargetId] = set()

    def record_failure(
        self, target: TargetId, now: float, *, down: bool
    ) -> bool:
        """Records a failure.

        Args:
            target: The target.
            now: The current time.
            down: Whether the target is known to be down, so that one
                failure is enough to eject it.

        Returns:
            Whether this failure ejects the target.
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
        self._ejected.add(target)
        health.ejected_until = now + eject_s
        health.probing = False
        return True

    def record_answer(self, target: TargetId) -> bool:
        """Records an answer; returns whether it ended an ejection."""
        health = self._health(target)
        was_ejected = health.consecutive_ejections > 0
        health.consecutive_failures = 0
        health.consecutive_ejections = 0
        self._ejected.discard(target)
        health.ejected_until = 0.0
        health.probing = False
        health.error_share *= 1.0 - ERROR_SMOOTHING
        return was_ejected

    def record_sent(self, target: TargetId) -> None:
        """Marks a call to a target that was ejected as its probe."""
        health = self._health_by_target.get(target)
        if health is not None and health.consecutive_ejections:
            health.probing = True

    def probe_inconclusive(self, target: TargetId) -> None:
        """Allows another probe after one without a result."""
        self._health(target).probing = False

    def error_share(self, target: TargetId) -> float:
        """Returns the smoothed share of failed calls."""
        health = self._health_by_target.get(target)
        return health.error_share if health is not None else 0.0

    def usable(
        self, targets: Sequence[TargetId], now: float
    ) -> list[TargetId]:
        """Returns the targets that may get calls, at least half of them.

        If too few are left, those whose ejection ends first are added.

        Args:
            targets: The targets to choose from.
            now: The current time.
        """
        if not self._ejected:
            return list(targets)
        usable = [t for t in targets if not self._is_ejected(t, now)]
        min_usable = -int(-len(targets) * MIN_USABLE_SHARE // 1)
        if len(usable) >= min_usable:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._health(t).ejected_until)
        return usable + ejected[: min_usable - len(usable)]

    def forget(self, target: TargetId) -> None:
        """Removes a target that has left."""
        self._health_by_target.pop(target, None)
        self._ejected.discard(target)

    def _is_ejected(self, target: TargetId, now: float) -> bool:
        health = self._health_by_target.get(target)
        if health is None or not health.consecutive_ejections:
            return False
        return now < health.ejected_until or health.probing

    def _health(self, target: TargetId) -> _Health:
        return self._health_by_target.setdefault(target, _Health())
