"""Sizes, lags and faults of a run of the policy bench."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..engine_costs import EngineCosts

__all__ = ["BenchConfig", "BenchFaults"]


@dataclass(frozen=True, slots=True)
class BenchFaults:
    """Faults of a run; a time of 0 means never.

    Attributes:
        crash_at_s: When the first engine crashes.
        restart_s: How long it stays down.
        leave_at_s: When the second engine starts to leave.
        list_lag_s: How much later the VMs hear of it.
    """

    crash_at_s: float = 0.0
    restart_s: float = 30.0
    leave_at_s: float = 0.0
    list_lag_s: float = 2.0


@dataclass(frozen=True, slots=True)
class BenchConfig:
    """Sizes and lags of a run.

    Attributes:
        engines: How many engines.
        vms: How many VMs share them.
        costs: What each engine can do.
        horizon_s: Time in which programs arrive.
        report_interval_s: Between an engine's load reports.
        report_lag_s: Age of a report when the VMs see it.
        cache_interval_s: Between an engine's pages of cache events.
        cache_lag_s: Age of a page when the VMs see it.
        cache_loss: Share of cache events that are lost.
        faults: What fails.
    """

    engines: int = 5
    vms: int = 10
    costs: EngineCosts = field(default_factory=EngineCosts)
    horizon_s: float = 300.0
    report_interval_s: float = 1.0
    report_lag_s: float = 0.5
    cache_interval_s: float = 1.0
    cache_lag_s: float = 2.0
    cache_loss: float = 0.1
    faults: BenchFaults = field(default_factory=BenchFaults)
