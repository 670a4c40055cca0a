"""A cell of fixed members without a log, for trials of one path."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash
from twisted.internet.defer import Deferred, succeed

from .cell_view import CellView, Folded
from .fold import Verdict
from .ids import Offset, PartitionId, SessionId, VmId
from .outcomes import Reason, Refused, Step
from .records import CellRecord

__all__ = ["StaticCell"]


class StaticCell(CellView):
    """Each partition belongs to one of the given VMs for good.

    Args:
        vm: This VM.
        members: All VMs of the cell.
    """

    def __init__(self, vm: VmId, members: Sequence[VmId]) -> None:
        self._vm = vm
        self._members = sorted(members)
        self._next = 0

    def set_members(self, members: Sequence[VmId]) -> None:
        """Replaces the members."""
        self._members = sorted(members)

    @property
    def session(self) -> SessionId:
        """This daemon's session."""
        return SessionId(f"{self._vm}-static")

    def owner_of(self, partition: PartitionId) -> VmId | None:
        """Returns the member with the highest hash for the partition."""

        def weight(vm: VmId) -> int:
            return xxhash.xxh64_intdigest(f"{vm}:{partition}".encode())

        return max(self._members, key=weight, default=None)

    def epoch_of(self, partition: PartitionId) -> Offset:
        """Returns 0: ownership never moves."""
        return Offset(0)

    def refusal(self, partition: PartitionId) -> Refused | None:
        """Returns a refusal unless this VM is the partition's owner."""
        if self.owner_of(partition) == self._vm:
            return None
        return Refused(Step.ROUTE, Reason.NOT_OWNER, peer=self._vm)

    def log_silent(self) -> bool:
        """Returns False: there is no log to be silent."""
        return False

    def submit(self, body: CellRecord) -> Deferred[Folded]:
        """Accepts everything."""
        self._next += 1
        return succeed(Folded(Offset(self._next), Verdict(True)))
