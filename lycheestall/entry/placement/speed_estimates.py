"""Estimates how long targets take for a unit of work."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ...ids import TargetId
from .work import WorkKind

__all__ = ["SpeedEstimates", "SpeedKey", "SpeedSums"]

TIME_CONSTANT_S = 40.0
"""Time constant of the decay of observations: the speed of a target lasts."""

MOMENT_S = 0.6
"""Length of a moment of slowness. All observations of a target within it
weigh as much as one, so that a moment doesn't pass for a slow target."""

CLIP_LOG = 0.5
"""Largest distance from the mean at which an observation counts, as a
logarithm, once the mean is known."""

KNOWN_WEIGHT = 3.0
"""Weight from which a mean is known well enough to clip observations."""

MAX_ESTIMATES = 8192
"""Estimates kept; the one that was updated longest ago is dropped first."""


class SpeedKey(NamedTuple):
    """A target and a kind of work."""

    target: TargetId
    kind: WorkKind


@dataclass(slots=True)
class SpeedSums:
    """Weighted sums of the logarithms of the seconds for a unit of work.

    Attributes:
        log_sum: Sum of the logarithms.
        square_sum: Sum of their squares.
        weight: Sum of the weights.
    """

    log_sum: float = 0.0
    square_sum: float = 0.0
    weight: float = 0.0

    @property
    def mean(self) -> float:
        """The weighted mean of the logarithms."""
        return self.log_sum / self.weight

    @property
    def variance(self) -> float:
        """The weighted variance of the logarithms."""
        return max(0.0, self.square_sum / self.weight - self.mean**2)

    def add(self, other: SpeedSums, share: float = 1.0) -> None:
        """Adds a share of other sums."""
        self.log_sum += other.log_sum * share
        self.square_sum += other.square_sum * share
        self.weight += other.weight * share

    def scale(self, factor: float) -> None:
        """Multiplies the weights."""
        self.log_sum *= factor
        self.square_sum *= factor
        self.weight *= factor


@dataclass(slots=True)
class _Estimate:
    """Decaying sums of one target and kind of work.

    Attributes:
        sums: The sums.
        at: Time up to which they are decayed.
        credit: Weight that an observation may have now.
    """

    sums: SpeedSums
    at: float
    credit: float = 1.0

    def decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.at)
        self.sums.scale(math.exp(-elapsed_s / TIME_CONSTANT_S))
        self.credit = min(1.0, self.credit + elapsed_s / MOMENT_S)
        self.at = now

    def add(self, sums: SpeedSums) -> None:
        weight = min(sums.weight, self.credit)
        if weight <= 0.0:
            return
        self.credit -= weight
        if self.sums.weight < KNOWN_WEIGHT:
            self.sums.add(sums, weight / sums.weight)
            return
        known = self.sums.mean
        mean = min(max(sums.mean, known - CLIP_LOG), known + CLIP_LOG)
        square = mean * mean + sums.variance
        self.sums.add(SpeedSums(mean * weight, square * weight, weight))


class SpeedEstimates:
    """Decaying estimates by target and kind of work.

    A moment of slowness is told from a slow target by its duration:
    observations of the same moment share the weight of one, and a single
    observation moves a known mean by a bounded step.
    """

    def __init__(self) -> None:
        self._by_key: dict[SpeedKey, _Estimate] = {}

    def __iter__(self) -> Iterator[SpeedKey]:
        return iter(list(self._by_key))

    def record(self, key: SpeedKey, log_unit_s: float, now: float) -> None:
        """Adds one observation.

        Args:
            key: The target and the kind of work.
            log_unit_s: Logarithm of the seconds for a unit of work.
            now: Current time.
        """
        self.add(key, SpeedSums(log_unit_s, log_unit_s**2, 1.0), now)

    def add(self, key: SpeedKey, sums: SpeedSums, now: float) -> None:
        """Adds observations of one VM.

        Args:
            key: The target and the kind of work.
            sums: The observations.
            now: Current time.
        """
        if sums.weight <= 0.0:
            return
        # The order of the entries is the order of their last updates.
        estimate = self._by_key.pop(key, None)
        if estimate is None:
            estimate = _Estimate(SpeedSums(), now)
        estimate.decay(now)
        estimate.add(sums)
        self._by_key[key] = estimate
        if len(self._by_key) > MAX_ESTIMATES:
            del self._by_key[next(iter(self._by_key))]

    def get(self, key: SpeedKey, now: float) -> SpeedSums | None:
        """Returns the decayed sums, None without observations."""
        estimate = self._by_key.get(key)
        if estimate is None:
            return None
        estimate.decay(now)
        return estimate.sums

    def forget(self, target: TargetId) -> None:
        """Drops the observations of a target."""
        for kind in WorkKind:
            self._by_key.pop(SpeedKey(target, kind), None)
