"""Metrics of what a VM knows of the targets' speed and load."""

from __future__ import annotations

import math

from ..entry_metrics import EntryMetrics
from .target_chooser import TargetChooser

__all__ = ["set_placement_gauges"]


def set_placement_gauges(
    metrics: EntryMetrics, chooser: TargetChooser, now: float
) -> None:
    """Sets the gauges; they have no label for targets, which are many.

    Args:
        metrics: Receives the gauges.
        chooser: Knows the figures.
        now: Current time.
    """
    services = chooser.states.all_speeds()
    times = [
        math.exp(speeds.relative(target))
        for speeds in services
        for target in speeds.log_unit
    ]
    metrics.set_gauge(
        "measured_targets",
        len(times),
        description="Targets whose speed has been measured.",
    )
    metrics.set_gauge(
        "uneven_services",
        sum(speeds.uneven for speeds in services),
        description="Services whose targets differ in speed.",
    )
    metrics.set_gauge(
        "slowest_target_relative_time",
        max(times, default=1.0),
        description="Longest time of a target over the typical one.",
    )
    metrics.set_gauge(
        "fastest_target_relative_time",
        min(times, default=1.0),
        description="Shortest time of a target over the typical one.",
    )
    age_s = chooser.loads.report_age_s(now)
    metrics.set_gauge(
        "target_loads_age_seconds",
        age_s if math.isfinite(age_s) else -1.0,
        description="Age of the reported target loads; -1 without any.",
    )
