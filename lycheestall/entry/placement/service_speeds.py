"""The speeds of a service's targets, compared with each other."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field

from ...ids import TargetId
from ..target_table import TargetRegistration
from .speed_estimates import SpeedSums
from .target_speeds import TargetSpeeds
from .work import WorkKind

__all__ = ["ServiceSpeeds", "compare_speeds"]

PRIOR_WEIGHT = 0.5
"""Weight of the prior that a target is as fast as is typical, so that a new
one gets the share of a typical one until it is measured."""

MIN_WEIGHT = 2.0
"""Weight from which a target's speed counts in the comparison."""

MIN_COMPARED = 3
"""Targets needed to tell whether they differ."""

UNEVEN_VARIANCE = 0.04
"""Variance between targets, beyond that of the observations, from which
their speeds differ: a standard deviation of about 20 % of the time."""

CHANCE_FACTOR = 1.5
"""Multiple of the variance expected by chance that is subtracted, so that
equal targets seldom seem to differ."""

EVEN_SHARE = 0.5
"""Share of ``UNEVEN_VARIANCE`` below which an uneven service is even again."""

DEFAULT_LOG_UNIT = {
    WorkKind.READ: math.log(1e-5),
    WorkKind.GENERATE: math.log(0.04),
    WorkKind.PLAIN: 0.0,
}
"""Logarithms of the seconds for a unit before anything is measured."""


@dataclass(frozen=True, slots=True)
class ServiceSpeeds:
    """The speeds of a service's targets at one time.

    Attributes:
        typical: Typical logarithm of the seconds for a unit of the main kind
            of work.
        typical_read: The same for prompt tokens.
        log_unit: By target, for the main kind of work; only targets that
            were measured.
        log_read: The same for prompt tokens.
        weight: Weight of a target's observations.
        uneven: Whether the speeds differ.
        unit_by_target: Seconds for a unit of the main kind of work.
        typical_unit_s: The same for a target that was not measured.
    """

    typical: float
    typical_read: float
    log_unit: dict[TargetId, float] = field(default_factory=dict)
    log_read: dict[TargetId, float] = field(default_factory=dict)
    weight: dict[TargetId, float] = field(default_factory=dict)
    uneven: bool = False
    unit_by_target: dict[TargetId, float] = field(default_factory=dict)
    typical_unit_s: float = 1.0

    def relative(self, target: TargetId) -> float:
        """Returns the logarithm of a target's time over the typical one."""
        return self.log_unit.get(target, self.typical) - self.typical

    def unit_s(self, target: TargetId) -> float:
        """Returns a target's seconds for a unit of the main kind of work."""
        return self.unit_by_target.get(target, self.typical_unit_s)

    def read_s(self, target: TargetId) -> float:
        """Returns a target's seconds to read a prompt token.

        A target whose reading was not measured is taken to read as much
        faster than others as it generates.
        """
        known = self.log_read.get(target)
        if known is None:
            known = self.typical_read + self.relative(target)
        return math.exp(known)


def compare_speeds(
    speeds: TargetSpeeds,
    registrations: Sequence[TargetRegistration],
    *,
    kind: WorkKind,
    now: float,
    was_uneven: bool,
) -> ServiceSpeeds:
    """Returns the speeds of a service's targets.

    Args:
        speeds: What was observed.
        registrations: The targets.
        kind: The main kind of work of the service.
        now: Current time.
        was_uneven: Whether the speeds differed before; then they are taken
            to differ until they are clearly equal.
    """
    main = _sums(speeds, registrations, kind, now)
    typical = _typical(main, kind)
    limit = UNEVEN_VARIANCE * (EVEN_SHARE if was_uneven else 1.0)
    read: dict[TargetId, SpeedSums] = {}
    if kind is WorkKind.GENERATE:
        read = _sums(speeds, registrations, WorkKind.READ, now)
    typical_read = _typical(read, WorkKind.READ)
    log_unit = {t: _with_prior(s, typical) for t, s in main.items()}
    return ServiceSpeeds(
        typical=typical,
        typical_read=typical_read,
        log_unit=log_unit,
        log_read={
            t: _with_prior(s, typical_read + _relative(main, t, typical))
            for t, s in read.items()
        },
        weight={target: sums.weight for target, sums in main.items()},
        uneven=_variance_between(main) > limit,
        unit_by_target={t: math.exp(log) for t, log in log_unit.items()},
        typical_unit_s=math.exp(typical),
    )


def _sums(
    speeds: TargetSpeeds,
    registrations: Sequence[TargetRegistration],
    kind: WorkKind,
    now: float,
) -> dict[TargetId, SpeedSums]:
    found = (
        (registration.target, speeds.get(registration.target, kind, now))
        for registration in registrations
    )
    return {target: sums for target, sums in found if sums is not None}


def _typical(by_target: dict[TargetId, SpeedSums], kind: WorkKind) -> float:
    # Each target counts once: fast ones get more work, and would otherwise
    # make themselves typical.
    weight = sum(s.weight / (s.weight + 1.0) for s in by_target.values())
    if weight < 1e-6:
        return DEFAULT_LOG_UNIT[kind]
    total = sum(s.log_sum / (s.weight + 1.0) for s in by_target.values())
    return total / weight


def _relative(
    by_target: dict[TargetId, SpeedSums], target: TargetId, typical: float
) -> float:
    sums = by_target.get(target)
    return 0.0 if sums is None else _with_prior(sums, typical) - typical


def _with_prior(sums: SpeedSums, prior: float) -> float:
    weight = sums.weight + PRIOR_WEIGHT
    return (sums.log_sum + PRIOR_WEIGHT * prior) / weight


def _variance_between(by_target: dict[TargetId, SpeedSums]) -> float:
    # The variance of the means, less what the scatter of the observations
    # alone would make of it.
    known = [s for s in by_target.values() if s.weight >= MIN_WEIGHT]
    if len(known) < MIN_COMPARED:
        return 0.0
    # statistics.pvariance is exact and takes longer than all the rest.
    middle = statistics.fmean(s.mean for s in known)
    between = statistics.fmean((s.mean - middle) ** 2 for s in known)
    squares = sum(s.variance * s.weight for s in known)
    scatter = squares / sum(s.weight - 1.0 for s in known)
    by_chance = scatter * statistics.fmean(1.0 / s.weight for s in known)
    return between - CHANCE_FACTOR * by_chance
