"""Configuration of a run of the policy bench."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..engine_costs import EngineCosts

__all__ = ["BenchConfig", "BenchFaults"]


@dataclass(frozen=True, slots=True)
class BenchFaults:
    """Faults injected into a run; a time of 0 disables the fault.

    Attributes:
        crash_at_s: When the first engine crashes.
        restart_s: How long it stays down.
        leave_at_s: When the second engine starts to leave.
        list_lag_s: Delay until the VMs see the leaving engine on their
            list.
    """

    crash_at_s: float = 0.0
    restart_s: float = 30.0
    leave_at_s: float = 0.0
    list_lag_s: float = 2.0


@dataclass(frozen=True, slots=True)
class BenchConfig:
    """Sizes, delays and faults of a run.

    Attributes:
        engines: Number of engines.
        vms: Number of VMs that share the engines.
        costs: The speeds and limits of each engine.
        horizon_s: Duration in which programs arrive.
        report_interval_s: Interval between load reports of an engine.
        report_lag_s: Age of a load report when the VMs receive it.
        cache_interval_s: Interval between pages of cache events.
        cache_lag_s: Age of a page when the VMs receive it.
        cache_loss: Share of cache events that are lost.
        faults: The injected faults.
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
