"""What a VM knows of the speed of targets, itself and from other VMs."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ...ids import TargetId
from .speed_estimates import (
    TIME_CONSTANT_S,
    SpeedEstimates,
    SpeedKey,
    SpeedSums,
)
from .work import WorkKind

__all__ = ["TargetSpeeds"]

MIN_UNIT_S = 1e-7
"""Shorter times count as this, so that logarithms stay bounded."""

MAX_PENDING = 256
"""Targets and kinds of work with observations that are not yet reported."""


class TargetSpeeds:
    """Merges a VM's observations with those of all VMs.

    What other VMs report contains this VM's observations as well, so the two
    are not added: the one with more weight counts.
    """

    def __init__(self) -> None:
        self._own = SpeedEstimates()
        self._shared: dict[SpeedKey, SpeedSums] = {}
        self._shared_at = 0.0
        self._pending: dict[SpeedKey, SpeedSums] = {}

    def record(
        self, target: TargetId, kind: WorkKind, unit_s: float, now: float
    ) -> None:
        """Adds one observation.

        Args:
            target: The target.
            kind: The kind of work.
            unit_s: Seconds for a unit of work, without the effect of load.
            now: Current time.
        """
        key = SpeedKey(target, kind)
        log_unit_s = math.log(max(unit_s, MIN_UNIT_S))
        self._own.record(key, log_unit_s, now)
        pending = self._pending.get(key)
        if pending is None:
            if len(self._pending) >= MAX_PENDING:
                return
            pending = self._pending[key] = SpeedSums()
        pending.add(SpeedSums(log_unit_s, log_unit_s**2, 1.0))

    def take_observations(self) -> dict[SpeedKey, SpeedSums]:
        """Returns and clears the observations since the last call."""
        pending, self._pending = self._pending, {}
        return pending

    def set_shared(
        self, sums_by_key: Mapping[SpeedKey, SpeedSums], now: float
    ) -> None:
        """Replaces what all VMs together have observed."""
        self._shared = dict(sums_by_key)
        self._shared_at = now

    def get(
        self, target: TargetId, kind: WorkKind, now: float
    ) -> SpeedSums | None:
        """Returns the observations with the most weight, None without any.

        Args:
            target: The target.
            kind: The kind of work.
            now: Current time.
        """
        key = SpeedKey(target, kind)
        own = self._own.get(key, now)
        shared = self._shared.get(key)
        if shared is None:
            return own
        decay = math.exp((self._shared_at - now) / TIME_CONSTANT_S)
        if own is not None and own.weight >= shared.weight * decay:
            return own
        decayed = SpeedSums()
        decayed.add(shared, decay)
        return decayed

    def forget(self, target: TargetId) -> None:
        """Drops the observations of a target."""
        self._own.forget(target)
        for kind in WorkKind:
            key = SpeedKey(target, kind)
            self._shared.pop(key, None)
            self._pending.pop(key, None)
