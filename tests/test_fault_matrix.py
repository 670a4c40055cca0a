"""The fault matrix: every fault at every step, all promises checked."""

from __future__ import annotations

import pytest

from tests.fault_table import FAULTS, STEPS, Scene, new_scene, strike
from tests.promises import broken_promises

REACH_LIMIT_S = 30.0
RUN_LIMIT_S = 240.0
SEED = 7


def unfinished(scene: Scene) -> list[str]:
    """Returns the programs that neither finished nor vanished."""
    return [
        f"{caller.program} {caller.gave_up}"
        for caller in scene.system.crowd.callers
        if not caller.finished and not caller.vanished
    ]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold(fault: str, step: str) -> None:
    scene = new_scene(SEED)
    assert strike(scene, step, fault, limit_s=REACH_LIMIT_S)
    scene.system.run_to_end(RUN_LIMIT_S)
    assert broken_promises(scene.system.judge()) == {}
    assert unfinished(scene) == []
