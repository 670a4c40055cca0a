"""Tests of a deployment of several nodes, in virtual time."""

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
    """Returns a deployment of three VMs that has finished starting."""
    system = SimulatedDeployment(seed=1, vms=3)
    assert system.settle()
    system.simulation.run_for(3.0)
    return system


def test_programs_finish_and_all_guarantees_hold(
    system: SimulatedDeployment,
) -> None:
    for _ in range(4):
        system.add_caller("trust", POLE_RUN[:3])
    system.add_caller("trust", POLE_RUN)
    assert system.run_to_end(60.0)
    assert all(caller.finished for caller in system.caller_group.callers)
    assert violated_guarantees(system.collect_observations()) == {}


def test_graceful_shutdown_ends_during_a_log_outage(
    system: SimulatedDeployment,
) -> None:
    system.log.outage(system.simulation.now)
    for name in list(system.vm_by_name):
        system.drain_vm(name)
        system.simulation.run_for(0.3)
    system.simulation.run_for(30.0)
    assert system.vm_by_name == {}


def test_graceful_shutdown_of_one_vm_ends_during_a_log_outage(
    system: SimulatedDeployment,
) -> None:
    system.log.outage(system.simulation.now)
    system.drain_vm("vm-00")
    system.simulation.run_for(30.0)
    assert "vm-00" not in system.vm_by_name
