"""Answers operators' questions from a node's parts."""

from __future__ import annotations

from . import __version__
from .admin_api import AdminReply, AdminSource
from .ids import Offset, OperatorName, PartitionId, ProgramId
from .node import Node
from .rules_desk import DeskReply, RulesDesk
from .status import CellStatus, PartitionStatus, TargetStatus, VmStatus

__all__ = ["NodeAdmin"]


class NodeAdmin(AdminSource):
    """The operators' view of one node and its cell.

    Args:
        node: The node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._desk = RulesDesk(node.rules_stream, node.publisher)

    def alive(self) -> bool:
        """Returns True: the process answers."""
        return True

    def ready(self) -> bool:
        """Returns whether the node takes new calls."""
        return self._node.ready()

    async def status(self) -> AdminReply:
        """Returns the cell's status."""
        document = CellStatus(
            vms=(self.vm_status(),),
            silent=(),
            partitions=self._partitions(),
            targets=self._targets(),
        )
        return AdminReply(200, document)

    async def program(self, program: ProgramId) -> AdminReply:
        """Returns one program's turns, spend and dispatches."""
        return AdminReply(501, {"error": {"message": "not there yet"}})

    async def rules(self) -> AdminReply:
        """Returns the rules in force."""
        return _reply(self._desk.show())

    async def rules_history(self) -> AdminReply:
        """Returns the audit trail of the rules."""
        return _reply(self._desk.history())

    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> AdminReply:
        """Publishes a rule file against a base version."""
        return _reply(await self._desk.publish(base, text, operator))

    def vm_status(self) -> VmStatus:
        """Returns this VM's own view."""
        node = self._node
        owned = 0
        for status in self._partitions():
            owned += status.owner == node.settings.vm
        return VmStatus(
            vm=node.settings.vm,
            zone=node.settings.zone,
            session=node.cell.session,
            release=__version__,
            ready=node.ready(),
            draining=node.draining,
            authority_left_s=max(0.0, node.cell.status().lease_left_s),
            rules_version=node.rules().version,
            cell_folded=node.cell.status().folded,
            partitions_owned=owned,
            programs=0,
            calls=node.calls_in_progress(),
            peers=tuple(sorted(node.peers())),
            children=node.supervisor.status(),
        )

    def _partitions(self) -> tuple[PartitionStatus, ...]:
        cell = self._node.cell
        found: list[PartitionStatus] = []
        for number in range(self._node.settings.tuning.partitions):
            partition = PartitionId(number)
            owner = cell.owner_of(partition)
            found.append(
                PartitionStatus(number, owner or "", cell.epoch_of(partition))
            )
        return tuple(found)

    def _targets(self) -> tuple[TargetStatus, ...]:
        found: list[TargetStatus] = []
        for entry in self._node.engines.entries():
            found.append(
                TargetStatus(
                    target=entry.target,
                    role="engine",
                    group=entry.group,
                    zone=entry.zone,
                    running=0,
                    waiting=0,
                    in_flight=0,
                    leaving=entry.leaving,
                    kept_from_work="",
                )
            )
        for vm, in_flight, leaving, _ in self._node.applications.entries():
            found.append(
                TargetStatus(
                    target=vm.vm,
                    role=vm.role.value,
                    group=vm.group,
                    zone=vm.zone,
                    running=0,
                    waiting=0,
                    in_flight=in_flight,
                    leaving=leaving,
                    kept_from_work="",
                )
            )
        return tuple(found)


def _reply(reply: DeskReply) -> AdminReply:
    return AdminReply(reply.status, reply.document)
