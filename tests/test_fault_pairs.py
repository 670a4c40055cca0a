"""Seeded pairs of faults: two at once or one soon after the other."""

from __future__ import annotations

import random

import pytest

from tests.fault_table import FAULTS, STEPS, new_scene, strike
from tests.promises import broken_promises
from tests.test_fault_matrix import REACH_LIMIT_S, RUN_LIMIT_S, unfinished

PAIRS = 500
LONGEST_GAP_S = 8.0
VMS = 5


@pytest.mark.parametrize("seed", range(PAIRS))
def test_promises_hold_under_pairs(seed: int) -> None:
    chance = random.Random(seed)
    step = chance.choice(sorted(STEPS))
    first, second = chance.sample(sorted(FAULTS), 2)
    gap_s = chance.choice([0.0, chance.uniform(0.0, LONGEST_GAP_S)])
    what = f"seed {seed}: {first} at {step}, {second} {gap_s:.2f} s later"
    scene = new_scene(seed, vms=VMS)
    assert strike(scene, step, first, limit_s=REACH_LIMIT_S), what
    scene.system.world.run_for(gap_s)
    FAULTS[second](scene)
    scene.system.run_to_end(RUN_LIMIT_S)
    assert broken_promises(scene.system.judge()) == {}, what
    assert unfinished(scene) == [], what
