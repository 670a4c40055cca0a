"""Injects every fault at every step and checks all guarantees."""

from __future__ import annotations

import pytest

from tests.fault_table import (
    FAULTS,
    STEPS,
    FaultRun,
    inject_fault,
    new_fault_run,
)
from tests.guarantees import violated_guarantees

STEP_LIMIT_S = 30.0
RUN_LIMIT_S = 240.0
SEED = 7
LIMIT_REASONS = ("TURN_LIMIT", "BUDGET_SPENT", "PROGRAM_ENDED")


def unfinished(fault_run: FaultRun) -> list[str]:
    """Returns the programs that neither finished nor vanished.

    A looping program is not expected to finish; a limit of its rules has
    to end it.
    """
    programs: list[str] = []
    for caller in fault_run.deployment.caller_group.callers:
        if caller.finished or caller.vanished:
            continue
        limited = any(
            reason in caller.give_up_reason for reason in LIMIT_REASONS
        )
        if caller.looping and limited:
            continue
        programs.append(f"{caller.program} {caller.give_up_reason}")
    return programs


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_guarantees_hold(fault: str, step: str) -> None:
    fault_run = new_fault_run(SEED)
    assert inject_fault(fault_run, step, fault, limit_s=STEP_LIMIT_S)
    fault_run.deployment.run_to_end(RUN_LIMIT_S)
    assert (
        violated_guarantees(fault_run.deployment.collect_observations()) == {}
    )
    assert unfinished(fault_run) == []
