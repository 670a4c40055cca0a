"""Records in the ledger that this VM, or another one, joins or leaves."""

from __future__ import annotations

from typing import Any

from ...ids import ZoneId
from ...rendezvous import rendezvous
from ..ledger_writer import LedgerWriter
from ..membership import (
    Member,
    Members,
    build_record,
    forget_build_record,
    forget_lost_record,
    join_record,
    leave_record,
    lost_record,
)
from ..token_ledger import HolderId
from ..vm_settings import Address

__all__ = ["MemberRecords"]

LOST_MEMBERS_KEPT_S = 60.0
"""Seconds for which a VM counts another one as lost that was removed as
failed; a program may come back after as long."""

CRASHED_MEMBERS_KEPT_S = 60.0
"""Seconds after a start for which a crash of this VM's process before it stays
in the ledger, so that other VMs learn of it."""


class MemberRecords:
    """Writes the records of members.

    Args:
        holder: This VM's ID in the ledger.
        address: Where peers reach this VM.
        zone: Its availability zone.
        members: The VMs of the system.
        writer: Writes to the ledger.
        clock: Schedules the removal of crashed members.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        address: Address,
        zone: ZoneId,
        members: Members,
        writer: LedgerWriter,
        clock: Any,
    ) -> None:
        self._holder = holder
        self._address = address
        self._zone = zone
        self._members = members
        self._writer = writer
        self._clock = clock
        self._lost_since: dict[HolderId, float] = {}

    def join(self) -> None:
        """Records that this VM has started."""
        member = Member(self._holder, self._address, self._zone)
        self._writer.append_records(
            join_record(member), build_record(self._holder)
        )
        self._clock.callLater(CRASHED_MEMBERS_KEPT_S, self._remove_crashed)

    def remove_failed(self, holder: HolderId, *, left_grants: bool) -> None:
        """Records that a VM has failed.

        Args:
            holder: The VM.
            left_grants: Whether it may have been granted tokens that nobody
                has recorded.
        """
        member = self._members.get(holder)
        if member is not None and left_grants:
            self._writer.append_records(lost_record(member))
        self.remove(holder)

    def forget_lost(self) -> None:
        """Forgets VMs whose programs can't come back any more.

        One of the members drops their records.
        """
        now = self._clock.seconds()
        lost = set(self._members.lost())
        for holder in set(self._lost_since) - lost:
            del self._lost_since[holder]
        others = [member.holder for member in self._members.all()]
        for holder in lost:
            since = self._lost_since.setdefault(holder, now)
            if now - since < LOST_MEMBERS_KEPT_S:
                continue
            self._members.excuse(holder)
            if rendezvous(holder, others) == self._holder:
                self._writer.append_records(forget_lost_record(holder))

    def remove(self, holder: HolderId) -> None:
        """Records that a VM has left."""
        self._writer.append_records(
            leave_record(holder), forget_build_record(holder)
        )

    def _remove_crashed(self) -> None:
        for holder in self._members.crashed():
            member = self._members.get(holder)
            if member is not None and member.address == self._address:
                self.remove(holder)
