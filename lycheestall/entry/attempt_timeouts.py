"""Timeouts of attempts that may be retried at another target."""

from __future__ import annotations

import math

from .placement.latency_baselines import LatencyBaseline, LatencyBaselines
from .placement.target_pace import TargetPace

__all__ = ["AttemptTimeouts"]

DEVIATIONS = 3.0
"""Mean deviations above the typical time at which a response is overdue."""

MAX_REMAINING_SHARE = 0.4
"""Largest share of a request's remaining time that an attempt may take, so
that a retry still fits."""

MIN_TIMEOUT_FACTOR = 3.0
"""Smallest timeout as a multiple of the typical time; with less time left
it is better to keep waiting than to retry."""

MIN_SAMPLES = 8
"""Responses on a route needed before its baseline is used."""

RESPONSES_PER_RETRY = 10
"""Responses per retry that they allow, so that retries add little load to
overloaded targets."""

MAX_RETRY_BUDGET = 10.0
"""Size of the retry budget, in retries."""

RESPONSES_PER_EARLY_RETRY = 33
"""Responses per retry before the route's usual timeout, at a target that is
known to be fast: three in a hundred."""

MAX_EARLY_BUDGET = 3.0
"""Size of the budget of early retries."""

MAX_PACE = 2.5
"""Largest factor by which a target's speed changes a timeout."""


TYPICAL_PACE = TargetPace()
"""The pace of a target of which nothing is known."""


class AttemptTimeouts:
    """Computes timeouts from typical response times.

    Retries are limited by a budget that responses replenish: when all
    targets are slow, the budget runs out and requests keep waiting.

    A slow target gets more time. A fast one gets less while the targets are
    not under load; such early retries have a smaller budget of their own.

    Args:
        baselines: Typical response times.
    """

    def __init__(self, baselines: LatencyBaselines) -> None:
        self._baselines = baselines
        self._retry_budget = MAX_RETRY_BUDGET
        self._early_budget = MAX_EARLY_BUDGET

    def record_response(self) -> None:
        """Adds the share of one response to the retry budget."""
        self._retry_budget = min(
            self._retry_budget + 1 / RESPONSES_PER_RETRY, MAX_RETRY_BUDGET
        )
        self._early_budget = min(
            self._early_budget + 1 / RESPONSES_PER_EARLY_RETRY,
            MAX_EARLY_BUDGET,
        )

    def timeout_s(
        self,
        route_name: str,
        *,
        min_s: float,
        remaining_s: float,
        pace: TargetPace = TYPICAL_PACE,
    ) -> float | None:
        """Returns an attempt's timeout, None for no timeout but the deadline.

        Args:
            route_name: Name of the route.
            min_s: Shortest timeout.
            remaining_s: Seconds until the request's deadline.
            pace: How fast the target is.
        """
        baseline = self._baseline(route_name)
        if baseline is None or self._retry_budget < 1.0:
            return None
        max_s = remaining_s * MAX_REMAINING_SHARE
        if max_s < _min_timeout_s(baseline, min_s):
            return None
        factor = _timeout_factor(pace, early=self._early_budget >= 1.0)
        overdue_s = _overdue_s(baseline, min_s) * factor
        return min(max(overdue_s, min_s), max_s)

    def overdue_s(
        self,
        route_name: str,
        *,
        min_s: float,
        pace: TargetPace = TYPICAL_PACE,
    ) -> float | None:
        """Returns after how long a response is overdue, None if unknown.

        Args:
            route_name: Name of the route.
            min_s: Shortest time.
            pace: How fast the target is.
        """
        baseline = self._baseline(route_name)
        if baseline is None:
            return None
        return _overdue_s(baseline, min_s) * _timeout_factor(pace, early=False)

    def record_retry(
        self, route_name: str = "", waited_s: float = math.inf
    ) -> None:
        """Takes a retry out of the budget after an attempt timed out.

        Args:
            route_name: Name of the route.
            waited_s: Seconds until the timeout.
        """
        self._retry_budget -= 1.0
        baseline = self._baseline(route_name)
        if baseline is not None and waited_s < _overdue_s(baseline, 0.0):
            self._early_budget -= 1.0

    def _baseline(self, route_name: str) -> LatencyBaseline | None:
        baseline = self._baselines.get(route_name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return None
        return baseline


def _timeout_factor(pace: TargetPace, *, early: bool) -> float:
    factor = min(pace.relative_time, MAX_PACE)
    if factor >= 1.0:
        return factor
    if pace.busy or not early:
        return 1.0
    return max(factor, 1.0 / MAX_PACE)


def _min_timeout_s(baseline: LatencyBaseline, min_s: float) -> float:
    return max(min_s, math.exp(baseline.mean_log_s) * MIN_TIMEOUT_FACTOR)


def _overdue_s(baseline: LatencyBaseline, min_s: float) -> float:
    overdue_s = math.exp(baseline.mean_log_s + DEVIATIONS * baseline.deviation)
    return max(overdue_s, _min_timeout_s(baseline, min_s))
