"""Tests of a whole node among others, in virtual time."""

from __future__ import annotations

import pytest

from tests.fake_callers import Action, Chat, Pause
from tests.guarantees import violated_guarantees
from tests.simulated_deployment import SimulatedDeployment

POLE_RUN = (
    Chat("plan the run"),
    Pause(0.5),
    Chat("explain the spacing"),
    Action("poles"),
    Chat("close the run"),
)


@pytest.fixture
def system() -> SimulatedDeployment:
    """Returns a settled deployment of three VMs."""
    made = SimulatedDeployment(seed=1, vms=3)
    assert made.settle()
    made.world.run_for(3.0)
    return made


def test_programs_finish_and_every_promise_holds(
    system: SimulatedDeployment,
) -> None:
    for _ in range(4):
        system.add_caller("trust", POLE_RUN[:3])
    system.add_caller("trust", POLE_RUN)
    assert system.run_to_end(60.0)
    assert all(caller.finished for caller in system.caller_group.callers)
    assert violated_guarantees(system.collect_observations()) == {}


def test_planned_stop_ends_while_the_log_is_away(
    system: SimulatedDeployment,
) -> None:
    system.log.outage(system.world.now)
    for name in list(system.vm_by_name):
        system.drain_vm(name)
        system.world.run_for(0.3)
    system.world.run_for(30.0)
    assert system.vm_by_name == {}


def test_planned_stop_of_one_vm_ends_while_the_log_is_away(
    system: SimulatedDeployment,
) -> None:
    system.log.outage(system.world.now)
    system.drain_vm("vm-00")
    system.world.run_for(30.0)
    assert "vm-00" not in system.vm_by_name
