"""Injects seeded pairs of faults, at once or one after the other."""

from __future__ import annotations

import random

import pytest

from tests.fault_table import FAULTS, STEPS, inject_fault, new_fault_run
from tests.guarantees import violated_guarantees
from tests.test_fault_matrix import RUN_LIMIT_S, STEP_LIMIT_S, unfinished

PAIRS = 500
MAX_DELAY_S = 8.0
VMS = 5


@pytest.mark.parametrize("seed", range(PAIRS))
def test_guarantees_hold_under_pairs(seed: int) -> None:
    rng = random.Random(seed)
    step = rng.choice(sorted(STEPS))
    first, second = rng.sample(sorted(FAULTS), 2)
    delay_s = rng.choice([0.0, rng.uniform(0.0, MAX_DELAY_S)])
    description = (
        f"seed {seed}: {first} at {step}, {second} {delay_s:.2f} s later"
    )
    fault_run = new_fault_run(seed, vms=VMS)
    assert inject_fault(fault_run, step, first, limit_s=STEP_LIMIT_S), (
        description
    )
    fault_run.deployment.simulation.run_for(delay_s)
    FAULTS[second](fault_run)
    fault_run.deployment.run_to_end(RUN_LIMIT_S)
    assert (
        violated_guarantees(fault_run.deployment.collect_observations()) == {}
    ), description
    assert unfinished(fault_run) == [], description
