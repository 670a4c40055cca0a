"""How many requests run at each target, of this VM and of all VMs."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ...ids import TargetId

__all__ = ["ReportedLoads", "TargetLoads"]

DECAY_S = 1.0
"""Time constant with which a reported load loses its meaning: most of the
requests that it counts have ended."""

MAX_AGE_S = 5.0
"""Age from which reported loads are not used at all."""


@dataclass(frozen=True, slots=True)
class ReportedLoads:
    """The running requests of other VMs.

    Attributes:
        running: Number of requests by target, without this VM's own.
        coverage: Share of the other VMs that was heard.
        at: Time that the figures are of.
    """

    running: Mapping[TargetId, float] = field(default_factory=dict)
    coverage: float = 0.0
    at: float = -math.inf


class TargetLoads:
    """Estimates the running requests at each target.

    This VM's own requests are counted exactly. Those of other VMs are
    scaled up to the VMs that were not heard, and drawn towards the mean of
    the targets as the report ages. A VM that hears nobody counts its own.
    """

    def __init__(self) -> None:
        self._own: dict[TargetId, int] = {}
        self._reported = ReportedLoads()

    def request_started(self, target: TargetId) -> None:
        """Counts a request as running on a target."""
        self._own[target] = self._own.get(target, 0) + 1

    def request_ended(self, target: TargetId) -> None:
        """Counts a request as finished."""
        running = self._own.get(target, 0) - 1
        if running > 0:
            self._own[target] = running
        else:
            self._own.pop(target, None)

    def own(self, target: TargetId) -> int:
        """Returns the number of this VM's requests at a target."""
        return self._own.get(target, 0)

    def all_own(self) -> dict[TargetId, int]:
        """Returns the numbers of this VM's requests, without zeros."""
        return dict(self._own)

    def set_reported(self, reported: ReportedLoads) -> None:
        """Replaces the running requests of other VMs."""
        self._reported = reported

    def report_age_s(self, now: float) -> float:
        """Returns the age of the reported loads, infinite without any."""
        return now - self._reported.at

    def has_reports(self, now: float) -> bool:
        """Returns whether reported loads are recent enough to be used."""
        return self.report_age_s(now) < MAX_AGE_S

    def mean_reported(self, targets: Iterable[TargetId]) -> float:
        """Returns the mean of what was reported, over targets of a service.

        Args:
            targets: The targets, at least one.
        """
        running = self._reported.running
        return statistics.fmean(running.get(target, 0.0) for target in targets)

    def estimate(self, target: TargetId, now: float, *, mean: float) -> float:
        """Returns the estimated running requests of all VMs at a target.

        Args:
            target: The target.
            now: Current time.
            mean: What was reported of the targets of its service on average.
        """
        own = self.own(target)
        trust = self.trust(now)
        if trust <= 0.0:
            return own
        running = self._reported.running.get(target, 0.0)
        drawn = mean + (running - mean) * trust
        return own + drawn / self._reported.coverage

    def trust(self, now: float) -> float:
        """Returns how much reported loads say of the loads now, 0 to 1."""
        if not self.has_reports(now):
            return 0.0
        decay = math.exp((self._reported.at - now) / DECAY_S)
        return min(self._reported.coverage * decay, 1.0)

    def forget(self, target: TargetId) -> None:
        """Drops what was reported of a target that has started anew."""
        if target not in self._reported.running:
            return
        reported = self._reported
        running = dict(reported.running)
        del running[target]
        self._reported = ReportedLoads(running, reported.coverage, reported.at)
