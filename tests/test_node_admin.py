"""Tests of the admin API's backend, on a deployment in virtual time."""

from __future__ import annotations

import pytest
from twisted.internet.defer import ensureDeferred

from lycheestall.admin_api import AdminResponse
from lycheestall.ids import ProgramId
from lycheestall.node_admin import NodeAdmin
from lycheestall.status import CellStatus
from tests.fake_callers import Chat
from tests.simulated_deployment import SimulatedDeployment


@pytest.fixture
def deployment() -> SimulatedDeployment:
    """Returns a deployment of three VMs that has finished starting."""
    deployment = SimulatedDeployment(seed=3, vms=3)
    assert deployment.settle()
    deployment.simulation.run_for(3.0)
    return deployment


@pytest.fixture
def admins(deployment: SimulatedDeployment) -> dict[str, NodeAdmin]:
    """Returns the admin backend of each VM."""
    return {
        name: NodeAdmin(running.node)
        for name, running in deployment.vm_by_name.items()
    }


def response_to(
    deployment: SimulatedDeployment, operation: object
) -> AdminResponse:
    """Runs an operation and returns its response within two seconds."""
    responses: list[AdminResponse] = []
    ensureDeferred(operation).addCallback(responses.append)  # type: ignore
    deployment.simulation.run_for(2.0)
    return responses[0]


def test_status_gathers_every_vm(
    deployment: SimulatedDeployment, admins: dict[str, NodeAdmin]
) -> None:
    status = response_to(deployment, admins["vm-00"].status()).document
    assert isinstance(status, CellStatus)
    assert {vm.vm for vm in status.vms} == {"vm-00", "vm-01", "vm-02"}
    assert status.silent == ()
    owned = sum(vm.partitions_owned for vm in status.vms)
    assert owned == len(status.partitions) == deployment.tuning.partitions
    assert {target.target for target in status.targets} >= {"engine-0"}


def test_status_lists_the_vm_that_does_not_reply(
    deployment: SimulatedDeployment, admins: dict[str, NodeAdmin]
) -> None:
    deployment.simulation.pause("vm-02")
    status = response_to(deployment, admins["vm-00"].status()).document
    assert isinstance(status, CellStatus)
    assert status.silent == ("vm-02",)


def test_program_is_shown_from_any_vm(
    deployment: SimulatedDeployment, admins: dict[str, NodeAdmin]
) -> None:
    caller = deployment.add_caller("trust", [Chat("plan")])
    deployment.run_to_end(30.0, grace_s=0.0)
    for admin in admins.values():
        response = response_to(deployment, admin.program(caller.program))
        assert response.status == 200
        assert isinstance(response.document, dict)
        assert response.document["turns"] == 1
    unknown = response_to(
        deployment, admins["vm-00"].program(ProgramId("nobody"))
    )
    assert unknown.status == 404
