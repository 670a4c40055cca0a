"""The fault matrix: every fault at every step, all promises checked."""

from __future__ import annotations

import pytest

from tests.fault_table import FAULTS, STEPS, Scene, new_scene, strike
from tests.promises import broken_promises

REACH_LIMIT_S = 30.0
RUN_LIMIT_S = 240.0
SEED = 7
LIMITS = ("TURN_LIMIT", "BUDGET_SPENT", "PROGRAM_ENDED")


def unfinished(scene: Scene) -> list[str]:
    """Returns the programs that neither finished nor vanished.

    A looping program has to be ended by a limit of its rules.
    """
    found: list[str] = []
    for caller in scene.system.crowd.callers:
        if caller.finished or caller.vanished:
            continue
        limited = any(reason in caller.gave_up for reason in LIMITS)
        if caller.looping and limited:
            continue
        found.append(f"{caller.program} {caller.gave_up}")
    return found


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold(fault: str, step: str) -> None:
    scene = new_scene(SEED)
    assert strike(scene, step, fault, limit_s=REACH_LIMIT_S)
    scene.system.run_to_end(RUN_LIMIT_S)
    assert broken_promises(scene.system.judge()) == {}
    assert unfinished(scene) == []
