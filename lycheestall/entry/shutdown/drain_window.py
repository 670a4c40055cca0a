"""Which requests still fit into the time that a VM has left."""

from __future__ import annotations

import math

from ..placement.latency_baselines import LatencyBaselines

__all__ = ["DrainWindow"]

DEVIATIONS = 3.0
"""Mean deviations above a route's typical time by which a request may last
longer."""

MIN_SAMPLES = 8
"""Requests of a route that must have been served before it is known how long
they last."""


class DrainWindow:
    """Tells how long requests may last until the VM's process ends.

    A request that is passed on and cut off at the end may have run, and its
    caller can't repeat it. One that is refused while the VM shuts down is
    served by another VM.
    """

    def __init__(self) -> None:
        self._ends_at = math.inf
        self._durations = LatencyBaselines()

    @property
    def draining(self) -> bool:
        """Whether the VM is shutting down."""
        return self._ends_at != math.inf

    def begin(self, ends_at: float) -> None:
        """Notes that the VM is shutting down.

        Args:
            ends_at: When requests still in progress are cut off.
        """
        self._ends_at = ends_at

    def record(self, route_name: str, took_s: float) -> None:
        """Learns how long a request of a route has lasted as a whole."""
        self._durations.record(route_name, took_s)

    def admits(self, route_name: str, *, longest_s: float, now: float) -> bool:
        """Returns whether a request will have ended before the VM does.

        Args:
            route_name: Name of its route.
            longest_s: Seconds after which it ends in any case.
            now: Current time.
        """
        remaining_s = self._ends_at - now
        if longest_s <= remaining_s:
            return True
        return self._expected_s(route_name) <= remaining_s

    def _expected_s(self, route_name: str) -> float:
        baseline = self._durations.get(route_name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return math.inf
        return math.exp(baseline.mean_log_s + DEVIATIONS * baseline.deviation)
