"""The ``bench`` command group and its ``policy`` command."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import click

from .plans import ProgramPlan
from .policy import POLICY_NAMES, BenchConfig, BenchFaults, PolicyBench
from .report import (
    PolicyRow,
    lower_bound_row,
    mean_row,
    policy_row,
    rows_as_json,
    rows_as_table,
)
from .workloads import WORKLOAD_NAMES, draw_workload

__all__ = ["bench_group", "run_policy_bench"]


@dataclass(frozen=True, slots=True)
class _Case:
    workload: str
    load: float


@click.group("bench")
def bench_group() -> None:
    """Benchmarks this release on one machine."""


@bench_group.command("policy")
@click.option(
    "--workload",
    "workloads",
    multiple=True,
    type=click.Choice(WORKLOAD_NAMES),
    default=("mixed", "voicing"),
    show_default=True,
    help="Workload; may be given several times.",
)
@click.option(
    "--load",
    "loads",
    multiple=True,
    type=click.FloatRange(0.01, 3.0),
    default=(0.9,),
    show_default=True,
    help="Offered load as a share of capacity; may be given several times.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICY_NAMES),
    default=POLICY_NAMES,
    show_default=True,
    help="Policy; may be given several times.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    type=int,
    default=(1, 2, 3, 4, 5),
    show_default=True,
    help="Seed of a run; may be given several times.",
)
@click.option(
    "--horizon",
    "horizon_s",
    type=click.FloatRange(1.0),
    default=300.0,
    show_default=True,
    help="Seconds during which programs arrive.",
)
@click.option(
    "--engines", type=click.IntRange(1), default=5, show_default=True
)
@click.option("--vms", type=click.IntRange(1), default=10, show_default=True)
@click.option(
    "--cache-lag",
    "cache_lag_s",
    type=click.FloatRange(0.0),
    default=2.0,
    show_default=True,
    help="Delay of cache events in seconds.",
)
@click.option(
    "--cache-loss",
    type=click.FloatRange(0.0, 1.0),
    default=0.1,
    show_default=True,
    help="Share of cache events that are lost.",
)
@click.option(
    "--faults",
    is_flag=True,
    help="Crash an engine at 1/3 and remove another at 1/2 of the horizon.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def policy_command(
    workloads: Sequence[str],
    loads: Sequence[float],
    policies: Sequence[str],
    seeds: Sequence[int],
    horizon_s: float,
    engines: int,
    vms: int,
    cache_lag_s: float,
    cache_loss: float,
    faults: bool,
    as_json: bool,
) -> None:
    """Compares scheduling policies on simulated engines."""
    config = BenchConfig(
        engines=engines,
        vms=vms,
        horizon_s=horizon_s,
        cache_lag_s=cache_lag_s,
        cache_loss=cache_loss,
        faults=_scheduled_faults(horizon_s) if faults else BenchFaults(),
    )
    cases = [_Case(name, load) for name in workloads for load in loads]
    rows: list[PolicyRow] = []
    for case in cases:
        if not as_json and sys.stderr.isatty():
            click.echo(f"{case.workload} at {case.load} ...", err=True)
        rows.extend(
            run_policy_bench(
                case.workload,
                case.load,
                policies=policies,
                seeds=seeds,
                config=config,
            )
        )
    click.echo(rows_as_json(rows) if as_json else rows_as_table(rows))


def run_policy_bench(
    workload: str,
    load: float,
    *,
    policies: Sequence[str],
    seeds: Sequence[int],
    config: BenchConfig,
) -> list[PolicyRow]:
    """Runs each policy on the same programs for each seed.

    Args:
        workload: The workload's name.
        load: Offered load as a share of capacity.
        policies: Names of the policies.
        seeds: Each policy runs once for each seed.
        config: Sizes, delays and faults.

    Returns:
        The row of the lower bound, then one row for each policy; each
        is the mean over the seeds.
    """
    plans_by_seed = {
        seed: draw_workload(
            workload,
            seed=seed,
            load=load,
            horizon_s=config.horizon_s,
            engines=config.engines,
            costs=config.costs,
        )
        for seed in seeds
    }
    bounds = [
        lower_bound_row(
            plans, workload=workload, load=load, costs=config.costs
        )
        for plans in plans_by_seed.values()
    ]
    rows = [mean_row(bounds)]
    for policy in policies:
        runs = [
            _run_policy(policy, plans, config, seed, workload, load)
            for seed, plans in plans_by_seed.items()
        ]
        rows.append(mean_row(runs))
    return rows


def _run_policy(
    policy: str,
    plans: list[ProgramPlan],
    config: BenchConfig,
    seed: int,
    workload: str,
    load: float,
) -> PolicyRow:
    tally = PolicyBench(policy, plans, config, seed=seed).run()
    return policy_row(
        policy,
        tally,
        workload=workload,
        load=load,
        costs=config.costs,
        engines=config.engines,
        horizon_s=config.horizon_s,
    )


def _scheduled_faults(horizon_s: float) -> BenchFaults:
    return BenchFaults(crash_at_s=horizon_s / 3, leave_at_s=horizon_s / 2)
