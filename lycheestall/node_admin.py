"""Answers operators' questions from a node's parts."""

from __future__ import annotations

import orjson

from . import __version__
from .admin_api import AdminReply, AdminSource
from .calls import Call, CallKind
from .collecting_sink import CollectingSink
from .http_sink import error_document
from .ids import (
    AccountId,
    Offset,
    OperatorName,
    PartitionId,
    ProgramId,
    TargetId,
    root_of,
)
from .node import Node
from .outcomes import Completed
from .program_ids import root_of_ledger_id
from .rules.admin import RulesAdmin, RulesAdminReply
from .status import CellStatus, PartitionStatus, TargetStatus, VmStatus
from .status_exchange import StatusExchange

__all__ = ["NodeAdmin"]

SHOW_LIMIT_S = 5.0


class NodeAdmin(AdminSource):
    """The operators' view of one node and its cell.

    Args:
        node: The node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._desk = RulesAdmin(node.rules_stream, node.publisher)
        self._exchange = StatusExchange(
            mesh=node.mesh, clock=node.clock, own=self.vm_status
        )
        node.on_other_message(self._exchange.on_message)

    def alive(self) -> bool:
        """Returns True: the process answers."""
        return True

    def ready(self) -> bool:
        """Returns whether the node takes new calls."""
        return self._node.ready()

    async def status(self) -> AdminReply:
        """Returns the cell's status."""
        own = self.vm_status()
        others = self._node.members() - {self._node.settings.vm}
        found = await self._exchange.gather(others)
        document = CellStatus(
            vms=(own, *(found[vm] for vm in sorted(found))),
            silent=tuple(sorted(others - found.keys())),
            partitions=self._partitions(),
            targets=self._targets(),
        )
        return AdminReply(200, document)

    async def program(self, program: ProgramId) -> AdminReply:
        """Returns one program's turns, spend and dispatches."""
        account = self._account_of(program)
        if account is None:
            return _error(404, f"no program {program!r} in this cell")
        sink = CollectingSink()
        self._node.router.handle(
            Call(CallKind.SHOW, account, program, deadline_s=SHOW_LIMIT_S),
            sink,
        )
        answer = await sink.done
        if not isinstance(answer.outcome, Completed):
            return AdminReply(503, error_document(answer.outcome))
        return AdminReply(200, orjson.loads(answer.body))

    def _account_of(self, program: ProgramId) -> AccountId | None:
        root = root_of(program)
        for name, found in self._node.ledger.program_by_id.items():
            if root_of_ledger_id(name) == root:
                return found.account
        return None

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
            programs=node.owner.programs(),
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
        node = self._node
        for entry in node.engines.entries():
            view = node.dispatcher.load_view(entry.target)
            kept = node.kept_from_work(entry.target, entry.group, 0.0)
            if view.ejected:
                kept = kept or "ejected after failures"
            found.append(
                TargetStatus(
                    target=entry.target,
                    role="engine",
                    group=entry.group,
                    zone=entry.zone,
                    running=max(view.requests - view.waiting, 0),
                    waiting=view.waiting,
                    in_flight=view.own_requests,
                    leaving=entry.leaving,
                    kept_from_work=kept,
                )
            )
        for vm, in_flight, leaving, share in node.applications.entries():
            target = TargetId(vm.vm)
            found.append(
                TargetStatus(
                    target=target,
                    role=vm.role.value,
                    group=vm.group,
                    zone=vm.zone,
                    running=in_flight,
                    waiting=0,
                    in_flight=in_flight,
                    leaving=leaving,
                    kept_from_work=node.kept_from_work(
                        target, vm.group, share
                    ),
                )
            )
        return tuple(found)


def _reply(reply: RulesAdminReply) -> AdminReply:
    return AdminReply(reply.status, reply.document)


def _error(status: int, message: str) -> AdminReply:
    return AdminReply(status, {"error": {"message": message}})
