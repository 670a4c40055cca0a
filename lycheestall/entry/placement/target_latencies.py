"""Detects targets that respond much later than others."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from ...ids import TargetId
from .latency_baselines import LatencyBaselines

__all__ = ["SlowResponses", "TargetLatencies"]

SLOW_FACTOR = 2.5
"""A target is slow if its relative latency exceeds the median target's by
this factor."""

DECAY_S = 2.5
"""Time constant in seconds of the exponential decay of observations; short,
so that a target that has recovered is selected again."""

PRIOR_WEIGHT = 0.4
"""Weight of the prior that a target is as fast as others, so that one late
response does not make it slow."""

REPORT_FACTOR = 4.0
"""Responses that take at least this multiple of the typical time are reported
to other VMs."""

MAX_WEIGHT = 3.0
"""Upper limit on the weight of a target's observations, so that a target
that many VMs have reported is selected again as soon as any other."""

RECENT_S = 0.5
"""Time constant in seconds with which the last response loses its meaning for
the length of a target's queue now."""

MAX_SLOW_SHARE = 0.5
"""Largest share of a service's targets that is skipped as slow."""

_SLOW_LOG = math.log(SLOW_FACTOR)
_REPORT_LOG = math.log(REPORT_FACTOR)


@dataclass(frozen=True, slots=True)
class SlowResponses:
    """Slow responses of one target.

    Attributes:
        target: The target.
        count: Number of slow responses.
        log_ratio_sum: Sum of the logarithms of their relative latencies.
    """

    target: TargetId
    count: int
    log_ratio_sum: float


@dataclass(slots=True)
class _RelativeLatency:
    """Decaying mean of a target's relative latencies.

    The relative latency of a response is its time divided by the typical
    time of its route.

    Attributes:
        log_ratio_sum: Weighted sum of the logarithms.
        weight: Sum of the weights.
        at: Time up to which both sums are decayed.
        observed_at: Time of the newest observation.
    """

    log_ratio_sum: float = 0.0
    weight: float = 0.0
    at: float = 0.0
    observed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decays the weight of earlier observations."""
        factor = math.exp((self.at - now) / DECAY_S)
        self.log_ratio_sum *= factor
        self.weight *= factor
        self.at = now

    def add(self, log_ratio_sum: float, weight: float) -> None:
        """Adds observations of the time up to which the sums are decayed."""
        self.observed_at = self.at
        self.log_ratio_sum += log_ratio_sum
        self.weight += weight
        if self.weight > MAX_WEIGHT:
            self.log_ratio_sum *= MAX_WEIGHT / self.weight
            self.weight = MAX_WEIGHT

    def mean_log_ratio(self) -> float:
        """Returns the mean, drawn towards 0 if there are few observations."""
        return self.log_ratio_sum / (self.weight + PRIOR_WEIGHT)


class TargetLatencies:
    """Compares the response times of targets.

    Routes differ in their typical response time, so responses are compared
    by their relative latency. Its logarithm is averaged; a few responses are
    enough to detect a target that takes several times as long as others.

    Attributes:
        baselines: The typical response time of each route.
    """

    def __init__(self) -> None:
        self.baselines = LatencyBaselines()
        self._by_target: dict[TargetId, _RelativeLatency] = {}
        self._slow_responses: dict[TargetId, SlowResponses] = {}

    def record_response(
        self, target: TargetId, route_name: str, took_s: float, now: float
    ) -> None:
        """Records a response time.

        Args:
            target: Target that responded.
            route_name: Name of the route.
            took_s: Seconds until the response.
            now: Current time.
        """
        log_ratio = self.baselines.record(route_name, took_s)
        if log_ratio is not None:
            self._add(target, log_ratio, now)

    def record_no_response(
        self, target: TargetId, route_name: str, waited_s: float, now: float
    ) -> None:
        """Records a wait without a response.

        The wait is a lower bound on the response time, so it only counts
        if it exceeds the typical time.

        Args:
            target: Target that did not respond.
            route_name: Name of the route.
            waited_s: Seconds waited.
            now: Current time.
        """
        baseline = self.baselines.get(route_name)
        if baseline is None:
            return
        log_ratio = baseline.log_ratio(waited_s)
        if log_ratio > 0:
            self._add(target, log_ratio, now)

    def excess(self, target: TargetId, now: float) -> float:
        """Returns by how much a target is likely to exceed typical times.

        Args:
            target: The target.
            now: Current time.

        Returns:
            The logarithm of the factor; 0 for a target as fast as is
            typical, or one without recent responses.
        """
        latency = self._by_target.get(target)
        if latency is None:
            return 0.0
        age_s = now - latency.observed_at
        latency.decay(now)
        recency = math.exp(-age_s / RECENT_S)
        return max(0.0, latency.mean_log_ratio() * recency)

    def slow(self, targets: Sequence[TargetId], now: float) -> set[TargetId]:
        """Returns the targets that are slow compared with the median.

        Args:
            targets: The candidate targets of one service.
            now: Current time.
        """
        known = {
            target: self._mean_log_ratio(target, now)
            for target in targets
            if target in self._by_target
        }
        if not known:
            return set()
        lowest = min(0.0, min(known.values()))
        if max(known.values()) <= lowest + _SLOW_LOG:
            # The median is no lower than the lowest.
            return set()
        ratios = [(known.get(target, 0.0), target) for target in targets]
        median = statistics.median_low(ratio for ratio, _ in ratios)
        limit = median + _SLOW_LOG
        slow_ratios = [pair for pair in ratios if pair[0] > limit]
        slow_ratios.sort(reverse=True)
        max_slow = int(len(targets) * MAX_SLOW_SHARE)
        return {target for _, target in slow_ratios[:max_slow]}

    def take_slow_responses(self) -> tuple[SlowResponses, ...]:
        """Returns and clears the slow responses to report to other VMs."""
        pending, self._slow_responses = self._slow_responses, {}
        return tuple(pending.values())

    def add_remote(self, report: SlowResponses, now: float) -> None:
        """Adds slow responses that another VM has observed."""
        latency = self._by_target.setdefault(
            report.target, _RelativeLatency(at=now)
        )
        latency.decay(now)
        latency.add(report.log_ratio_sum, report.count)

    def _add(self, target: TargetId, log_ratio: float, now: float) -> None:
        latency = self._by_target.setdefault(target, _RelativeLatency(at=now))
        latency.decay(now)
        latency.add(log_ratio, 1.0)
        if log_ratio < _REPORT_LOG:
            return
        before = self._slow_responses.get(target)
        count = 1 + (before.count if before else 0)
        total = log_ratio + (before.log_ratio_sum if before else 0.0)
        self._slow_responses[target] = SlowResponses(target, count, total)

    def _mean_log_ratio(self, target: TargetId, now: float) -> float:
        latency = self._by_target.get(target)
        if latency is None:
            return 0.0
        latency.decay(now)
        return latency.mean_log_ratio()

    def forget(self, target: TargetId) -> None:
        """Drops the observations of a target."""
        self._by_target.pop(target, None)
        self._slow_responses.pop(target, None)
