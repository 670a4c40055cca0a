"""Typical response times of routes."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["LatencyBaselines", "LatencyBaseline"]

SMOOTHING = 0.05
"""Weight of the newest response in the moving averages."""

INITIAL_DEVIATION = 0.7
"""Mean deviation of the logarithms assumed before the first response."""

MIN_TIME_S = 0.001
"""Shorter times count as this, so that logarithms stay bounded."""


@dataclass(slots=True)
class LatencyBaseline:
    """The typical response time of one route.

    Attributes:
        mean_log_s: Moving average of the logarithm of the seconds.
        deviation: Moving average of the absolute deviation from it.
        samples: Number of responses measured.
    """

    mean_log_s: float
    deviation: float = INITIAL_DEVIATION
    samples: int = 0

    def log_ratio(self, seconds: float) -> float:
        """Returns the logarithm of a time divided by the typical one."""
        return math.log(max(seconds, MIN_TIME_S)) - self.mean_log_s


class LatencyBaselines:
    """Maintains the typical response time of each route.

    Response times vary by orders of magnitude, so averages and deviations
    are computed on their logarithms.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, LatencyBaseline] = {}

    def get(self, route_name: str) -> LatencyBaseline | None:
        """Returns a route's baseline, None before its first response."""
        return self._by_route.get(route_name)

    def record(self, route_name: str, took_s: float) -> float | None:
        """Updates a route's baseline with a response time.

        Args:
            route_name: Name of the route.
            took_s: Seconds until the response or its first event.

        Returns:
            Logarithm of the time divided by the previous typical time;
            None for the first response of a route.
        """
        baseline = self._by_route.get(route_name)
        first = baseline is None
        if baseline is None:
            baseline = LatencyBaseline(math.log(max(took_s, MIN_TIME_S)))
            self._by_route[route_name] = baseline
        error = baseline.log_ratio(took_s)
        baseline.mean_log_s += SMOOTHING * error
        baseline.deviation += SMOOTHING * (abs(error) - baseline.deviation)
        baseline.samples += 1
        return None if first else error
