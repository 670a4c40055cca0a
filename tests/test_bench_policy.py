"""The policy bench: deterministic, whole, and never below its bound."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from lycheestall.bench.cli import bench_group, run_policy_bench
from lycheestall.bench.plans import lower_bound_s
from lycheestall.bench.policy import (
    POLICY_NAMES,
    BenchConfig,
    BenchFaults,
    PolicyBench,
)
from lycheestall.bench.workloads import WORKLOAD_NAMES, draw_workload

SMALL = BenchConfig(engines=3, vms=3, horizon_s=20.0)
FAULTS = BenchConfig(
    engines=3,
    vms=3,
    horizon_s=20.0,
    faults=BenchFaults(crash_at_s=5.0, restart_s=5.0, leave_at_s=10.0),
)


def draw(name="looping", load=0.8, seed=1, config=SMALL):
    return draw_workload(
        name,
        seed=seed,
        load=load,
        horizon_s=config.horizon_s,
        engines=config.engines,
        costs=config.costs,
    )


@pytest.mark.parametrize("policy", POLICY_NAMES)
@pytest.mark.parametrize("config", [SMALL, FAULTS], ids=["calm", "faults"])
def test_every_program_ends_once_and_not_below_its_bound(policy, config):
    plans = draw(config=config)
    tally = PolicyBench(policy, plans, config, seed=1).run()
    ended = [record.plan.program for record in tally.records]
    assert sorted(ended) == sorted(plan.program for plan in plans)
    for record in tally.records:
        assert record.completed
        bound_s = lower_bound_s(record.plan, config.costs)
        assert record.latency_s >= bound_s - 1e-6


def held_tokens(policy):
    bench = PolicyBench(policy, draw(), SMALL, seed=1)
    bench.run()
    engines = bench._engine_by_target.values()
    return sum(
        engine.model.cache.tokens(plan.program)
        for engine in engines
        for plan in draw()
    )


def test_no_engine_holds_memory_of_ended_programs():
    assert held_tokens("lycheestall") == 0


def test_without_releases_engines_hold_memory_of_ended_programs():
    """Proves the check above: a baseline releases nothing."""
    assert held_tokens("sticky") > 0


@pytest.mark.parametrize("name", WORKLOAD_NAMES)
def test_a_workload_is_the_same_for_its_seed_alone(name):
    assert draw(name) == draw(name)
    assert draw(name) != draw(name, seed=2)


def test_a_run_is_the_same_for_its_seed():
    rows = [
        run_policy_bench(
            "looping",
            0.8,
            policies=("lycheestall",),
            seeds=(3,),
            config=SMALL,
        )
        for _ in range(2)
    ]
    assert rows[0] == rows[1]


def test_the_command_prints_a_row_for_every_policy():
    arguments = ["policy", "--workload", "pole_runs", "--seed", "1"]
    arguments += ["--horizon", "20", "--engines", "2", "--json"]
    result = CliRunner().invoke(bench_group, arguments)
    assert result.exit_code == 0, result.output
    rows = json.loads(result.output)["rows"]
    names = [row["policy"] for row in rows]
    assert names == ["lower_bound", *POLICY_NAMES]
    assert rows[0]["mean_s"] <= min(row["mean_s"] for row in rows[1:])
