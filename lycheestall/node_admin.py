"""The admin API's backend: status and rules of a node and its cell."""

from __future__ import annotations

import orjson

from . import __version__
from .admin_api import AdminBackend, AdminResponse
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
    root_program,
)
from .node import Node
from .outcomes import Completed
from .program_ids import root_of_ledger_id
from .rules.admin import RulesAdmin, RulesAdminReply
from .status import CellStatus, PartitionStatus, TargetStatus, VmStatus
from .status_exchange import StatusExchange

__all__ = ["NodeAdmin"]

SHOW_TIMEOUT_S = 5.0


class NodeAdmin(AdminBackend):
    """Runs the admin API's operations on a node.

    Args:
        node: The node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._rules_admin = RulesAdmin(node.rules_stream, node.publisher)
        self._status_exchange = StatusExchange(
            mesh=node.mesh, clock=node.clock, own_status=self.vm_status
        )
        node.set_message_handler(self._status_exchange.on_message)

    def alive(self) -> bool:
        """Returns True: a process that responds is alive."""
        return True

    def ready(self) -> bool:
        """Returns whether the node accepts new calls."""
        return self._node.ready()

    async def status(self) -> AdminResponse:
        """Returns the cell's status."""
        own_status = self.vm_status()
        others = self._node.members() - {self._node.settings.vm}
        found = await self._status_exchange.gather(others)
        document = CellStatus(
            vms=(own_status, *(found[vm] for vm in sorted(found))),
            silent=tuple(sorted(others - found.keys())),
            partitions=self._partitions(),
            targets=self._targets(),
        )
        return AdminResponse(200, document)

    async def program(self, program: ProgramId) -> AdminResponse:
        """Returns one program's turns, spending and dispatches."""
        account = self._account_of(program)
        if account is None:
            return _error_response(404, f"no program {program!r} in this cell")
        sink = CollectingSink()
        self._node.router.handle(
            Call(CallKind.SHOW, account, program, deadline_s=SHOW_TIMEOUT_S),
            sink,
        )
        collected = await sink.done
        if not isinstance(collected.outcome, Completed):
            return AdminResponse(503, error_document(collected.outcome))
        return AdminResponse(200, orjson.loads(collected.body))

    def _account_of(self, program: ProgramId) -> AccountId | None:
        root = root_program(program)
        for name, found in self._node.ledger.program_by_id.items():
            if root_of_ledger_id(name) == root:
                return found.account
        return None

    async def rules(self) -> AdminResponse:
        """Returns the rules in force."""
        return _to_admin_response(self._rules_admin.show())

    async def rules_history(self) -> AdminResponse:
        """Returns the publication history of the rules."""
        return _to_admin_response(self._rules_admin.history())

    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> AdminResponse:
        """Publishes a rule file that is based on version ``base``."""
        return _to_admin_response(
            await self._rules_admin.publish(base, text, operator)
        )

    def vm_status(self) -> VmStatus:
        """Returns this VM's own status."""
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
            exclusion_reason = node.exclusion_reason(
                entry.target, entry.group, 0.0
            )
            if view.ejected:
                exclusion_reason = exclusion_reason or "ejected after failures"
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
                    kept_from_work=exclusion_reason,
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
                    kept_from_work=node.exclusion_reason(
                        target, vm.group, share
                    ),
                )
            )
        return tuple(found)


def _to_admin_response(reply: RulesAdminReply) -> AdminResponse:
    return AdminResponse(reply.status, reply.document)


def _error_response(status: int, message: str) -> AdminResponse:
    return AdminResponse(status, {"error": {"message": message}})
