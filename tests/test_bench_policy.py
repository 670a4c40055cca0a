"""Tests of the policy bench: determinism, completion, lower bounds."""

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

SMALL_CONFIG = BenchConfig(engines=3, vms=3, horizon_s=20.0)
FAULT_CONFIG = BenchConfig(
    engines=3,
    vms=3,
    horizon_s=20.0,
    faults=BenchFaults(crash_at_s=5.0, restart_s=5.0, leave_at_s=10.0),
)


def draw_small(name="looping", load=0.8, seed=1, config=SMALL_CONFIG):
    return draw_workload(
        name,
        seed=seed,
        load=load,
        horizon_s=config.horizon_s,
        engines=config.engines,
        costs=config.costs,
    )


@pytest.mark.parametrize("policy", POLICY_NAMES)
@pytest.mark.parametrize(
    "config", [SMALL_CONFIG, FAULT_CONFIG], ids=["no_faults", "faults"]
)
def test_every_program_completes_once_and_not_below_its_bound(policy, config):
    plans = draw_small(config=config)
    tally = PolicyBench(policy, plans, config, seed=1).run()
    ended = [record.plan.program for record in tally.records]
    assert sorted(ended) == sorted(plan.program for plan in plans)
    for record in tally.records:
        assert record.completed
        bound_s = lower_bound_s(record.plan, config.costs)
        assert record.latency_s >= bound_s - 1e-6


def cached_tokens_after_run(policy):
    bench = PolicyBench(policy, draw_small(), SMALL_CONFIG, seed=1)
    bench.run()
    engines = bench._engine_by_target.values()
    return sum(
        engine.model.cache.tokens(plan.program)
        for engine in engines
        for plan in draw_small()
    )


def test_engines_release_the_memory_of_ended_programs():
    assert cached_tokens_after_run("lycheestall") == 0


def test_the_memory_of_ended_programs_stays_without_releases():
    """Shows that the test above can fail: a baseline never releases."""
    assert cached_tokens_after_run("sticky") > 0


@pytest.mark.parametrize("name", WORKLOAD_NAMES)
def test_a_workload_depends_on_its_seed(name):
    assert draw_small(name) == draw_small(name)
    assert draw_small(name) != draw_small(name, seed=2)


def test_a_run_is_deterministic_for_its_seed():
    rows = [
        run_policy_bench(
            "looping",
            0.8,
            policies=("lycheestall",),
            seeds=(3,),
            config=SMALL_CONFIG,
        )
        for _ in range(2)
    ]
    assert rows[0] == rows[1]


def test_the_command_prints_one_row_for_each_policy():
    arguments = ["policy", "--workload", "pole_runs", "--seed", "1"]
    arguments += ["--horizon", "20", "--engines", "2", "--json"]
    result = CliRunner().invoke(bench_group, arguments)
    assert result.exit_code == 0, result.output
    rows = json.loads(result.output)["rows"]
    names = [row["policy"] for row in rows]
    assert names == ["lower_bound", *POLICY_NAMES]
    assert rows[0]["mean_s"] <= min(row["mean_s"] for row in rows[1:])
