"""The VMs of the system, which announce themselves in the ledger."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ...ids import Offset, ProgramId
from ..store import KeyedRecord
from ..token_ledger import HolderId
from ..vm_settings import Address
from .member_encoding import (
    LIMITS_UNREAD,
    Member,
    MemberRecordKind,
    decode_key,
    decode_member,
    join_record,
    leave_record,
    lost_record,
)
from .member_groups import (
    GroupId,
    MemberView,
    count_groups,
    group_number,
    tolerated_losses,
)

__all__ = ["Members"]


class Members:
    """Members folded from the ledger; per address, the newest one counts."""

    def __init__(self) -> None:
        self._lost: dict[HolderId, tuple[Offset, Member]] = {}
        self._by_holder: dict[HolderId, tuple[Offset, Member | None]] = {}
        self._excused: set[HolderId] = set()
        self._limiting: set[HolderId] = set()
        self._view: MemberView | None = None

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a record; returns whether it is about a member."""
        key = decode_key(record.key)
        if key is None:
            return False
        holder = key.holder
        if key.kind is MemberRecordKind.BUILD:
            self._apply_build(holder, record.value)
            return True
        if key.kind is MemberRecordKind.LOST:
            self._apply_lost(holder, record)
            return True
        current = self._by_holder.get(holder)
        if current is not None and current[0] >= record.offset:
            return True
        self._by_holder[holder] = (
            record.offset,
            decode_member(holder, record.value),
        )
        self._view = None
        return True

    def limits_unread(self, holder: HolderId) -> bool:
        """Returns whether a VM limits what no other VM has read."""
        return holder in self._limiting

    def _apply_build(self, holder: HolderId, value: bytes | None) -> None:
        self._limiting.discard(holder)
        if value == LIMITS_UNREAD:
            self._limiting.add(holder)

    def _apply_lost(self, holder: HolderId, record: KeyedRecord) -> None:
        member = decode_member(holder, record.value)
        if member is None:
            self._lost.pop(holder, None)
        else:
            self._lost[holder] = (record.offset, member)

    def records(self) -> tuple[KeyedRecord, ...]:
        """Returns the ledger's newest records about members."""
        records: list[KeyedRecord] = []
        for holder, (offset, member) in self._by_holder.items():
            write = leave_record(holder)
            if member is not None:
                write = join_record(member)
            records.append(KeyedRecord(offset, write.key, write.value))
        for offset, member in self._lost.values():
            write = lost_record(member)
            records.append(KeyedRecord(offset, write.key, write.value))
        return tuple(records)

    def get(self, holder: HolderId) -> Member | None:
        """Returns a member, or None if it has left."""
        return self._by_holder.get(holder, (Offset(0), None))[1]

    def view(self) -> MemberView:
        """Returns a view of the current members."""
        if self._view is None:
            holders = sorted(self._current_holders())
            digest = xxhash.xxh3_64_hexdigest("\n".join(holders).encode())
            self._view = MemberView(self._groups(holders), digest)
        return self._view

    def all(self) -> list[Member]:
        """Returns the current members."""
        members = [
            self.get(holder)
            for group in self.view().groups
            for holder in group
        ]
        return [member for member in members if member is not None]

    def group_peers(self, holder: HolderId) -> list[Member]:
        """Returns the other members of a member's group."""
        members = [
            self.get(name)
            for name in self.view().group_of(holder)
            if name != holder
        ]
        return [member for member in members if member is not None]

    def crashed(self) -> list[HolderId]:
        """Returns members replaced at their address without having left."""
        newest = {name for group in self.view().groups for name in group}
        return [
            holder
            for holder, (_, member) in self._by_holder.items()
            if member is not None and holder not in newest
        ]

    def lost(self) -> list[HolderId]:
        """Returns members that were removed as failed."""
        return list(self._lost)

    def crashed_in(self, group: Iterable[HolderId]) -> list[HolderId]:
        """Returns a group's crashed members, and those removed as failed.

        Members that left no grants behind are left out.

        Args:
            group: The group.
        """
        holders = set(group)
        addresses = {
            member.address
            for member in map(self.get, holders)
            if member is not None
        }
        crashed: list[HolderId] = []
        for holder in self.crashed():
            member = self.get(holder)
            if member is None or holder in holders | self._excused:
                continue
            if member.address in addresses:
                crashed.append(holder)
        groups = self._group_count()
        numbers = {group_number(address, groups) for address in addresses}
        for holder, (_, member) in self._lost.items():
            if holder in holders or holder in self._excused:
                continue
            if group_number(member.address, groups) in numbers:
                crashed.append(holder)
        return crashed

    def crashed_groups(self) -> list[GroupId]:
        """Returns the groups of crashed members that may have had grants."""
        if not {*self.crashed(), *self._lost} - self._excused:
            return []
        groups = [group for group in self.view().groups if group]
        return [
            GroupId(number, len(groups))
            for number, group in enumerate(groups)
            if self.crashed_in(group)
        ]

    def excuse_crashed(self, group: GroupId) -> None:
        """Notes that the crashed members of a group left no grants behind."""
        groups = [members for members in self.view().groups if members]
        if len(groups) == group.groups:
            self._excused.update(self.crashed_in(groups[group.number]))

    def excuse(self, holder: HolderId) -> None:
        """Notes that a lost member's programs can't come back any more."""
        self._excused.add(holder)

    def may_have_lost_grants(self, program: ProgramId) -> bool:
        """Returns whether crashes may have lost a program's grants."""
        group = self.view().group_for(program)
        return len(self.crashed_in(group)) > tolerated_losses(group)

    def _groups(
        self, holders: list[HolderId]
    ) -> tuple[tuple[HolderId, ...], ...]:
        count = count_groups(len(holders))
        groups: list[list[HolderId]] = [[] for _ in range(count)]
        for holder in holders:
            member = self.get(holder)
            if member is None:
                continue
            groups[group_number(member.address, count)].append(holder)
        return tuple(tuple(group) for group in groups)

    def _group_count(self) -> int:
        return count_groups(sum(map(len, self.view().groups)))

    def _current_holders(self) -> list[HolderId]:
        newest: dict[Address, tuple[Offset, HolderId]] = {}
        for holder, (offset, member) in self._by_holder.items():
            if member is None:
                continue
            current = newest.get(member.address)
            if current is None or current[0] < offset:
                newest[member.address] = (offset, holder)
        return [holder for _, holder in newest.values()]
