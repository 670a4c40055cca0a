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
def deployment() -> SimulatedDeployment:
    """Returns a deployment of three VMs that has finished starting."""
    deployment = SimulatedDeployment(seed=1, vms=3)
    assert deployment.settle()
    deployment.simulation.run_for(3.0)
    return deployment


def test_programs_finish_and_all_guarantees_hold(
    deployment: SimulatedDeployment,
) -> None:
    for _ in range(4):
        deployment.add_caller("trust", POLE_RUN[:3])
    deployment.add_caller("trust", POLE_RUN)
    assert deployment.run_to_end(60.0)
    assert all(caller.finished for caller in deployment.caller_group.callers)
    assert violated_guarantees(deployment.collect_observations()) == {}


def test_graceful_shutdown_ends_during_a_log_outage(
    deployment: SimulatedDeployment,
) -> None:
    deployment.log.outage(deployment.simulation.now)
    for name in list(deployment.vm_by_name):
        deployment.drain_vm(name)
        deployment.simulation.run_for(0.3)
    deployment.simulation.run_for(30.0)
    assert deployment.vm_by_name == {}


def test_graceful_shutdown_of_one_vm_ends_during_a_log_outage(
    deployment: SimulatedDeployment,
) -> None:
    deployment.log.outage(deployment.simulation.now)
    deployment.drain_vm("vm-00")
    deployment.simulation.run_for(30.0)
    assert "vm-00" not in deployment.vm_by_name
