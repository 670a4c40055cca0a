"""Typical response times for each kind of request."""

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
    """The typical response time for one kind of request.

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
    """Maintains the typical response time for each kind of request.

    Response times vary by orders of magnitude, so averages and deviations
    are computed on their logarithms.
    """

    def __init__(self) -> None:
        self._by_kind: dict[str, LatencyBaseline] = {}

    def get(self, kind: str) -> LatencyBaseline | None:
        """Returns a kind's baseline, None before its first response."""
        return self._by_kind.get(kind)

    def record(self, kind: str, took_s: float) -> float | None:
        """Updates a kind's baseline with a response time.

        Args:
            kind: The kind of request.
            took_s: Seconds until the response or its first event.

        Returns:
            Logarithm of the time divided by the previous typical time;
            None for the first response of a kind.
        """
        baseline = self._by_kind.get(kind)
        first = baseline is None
        if baseline is None:
            baseline = LatencyBaseline(math.log(max(took_s, MIN_TIME_S)))
            self._by_kind[kind] = baseline
        error = baseline.log_ratio(took_s)
        baseline.mean_log_s += SMOOTHING * error
        baseline.deviation += SMOOTHING * (abs(error) - baseline.deviation)
        baseline.samples += 1
        return None if first else error
