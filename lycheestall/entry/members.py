"""The VMs of the system, which announce themselves in the ledger."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..ids import Offset, ProgramId, ZoneId
from ..rendezvous import rendezvous_order
from .record_numbers import decode_number
from .store import KeyedRecord, KeyedWrite
from .token_ledger import HolderId
from .vm_settings import Address

__all__ = [
    "GroupId",
    "Member",
    "MemberView",
    "Members",
    "build_record",
    "forget_build_record",
    "join_record",
    "forget_lost_record",
    "leave_record",
    "lost_record",
    "majority_size",
    "tolerated_losses",
]

MAX_GROUP_MEMBERS = 20
"""Maximum number of members that decide on programs as one group."""

MAX_PORT = 65_535
"""Highest TCP port."""

_MEMBER_KEY = "m"
_BUILD_KEY = "b"
_LOST_KEY = "l"
_LIMITS_UNREAD = b"unread"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Member:
    """One run of a VM's process.

    Attributes:
        holder: Its ID in the ledger.
        address: Where its peers reach it.
        zone: Its availability zone.
    """

    holder: HolderId
    address: Address
    zone: ZoneId


@dataclass(frozen=True, slots=True)
class GroupId:
    """Identifies a group; a VM that restarts stays in it.

    Attributes:
        number: Number of the group.
        groups: Number of groups.
    """

    number: int
    groups: int


@dataclass(frozen=True, slots=True)
class MemberView:
    """The members that one VM knows; equal views have equal digests.

    Attributes:
        groups: All members, split into groups that decide on programs
            together. There is one group up to ``MAX_GROUP_MEMBERS`` members;
            more groups spare the VMs of a large system from all calling each
            other.
        digest: Hash of all members.
    """

    groups: tuple[tuple[HolderId, ...], ...]
    digest: str

    def group_of(self, holder: HolderId) -> tuple[HolderId, ...]:
        """Returns a member's group, which is empty for a non-member."""
        for group in self.groups:
            if holder in group:
                return group
        return ()

    def decider(
        self, program: ProgramId, *, excluding: Iterable[HolderId] = ()
    ) -> HolderId | None:
        """Returns the deciding VM of a program.

        Args:
            program: The program.
            excluding: Members that have handed over their grants.
        """
        excluded = set(excluding)
        for holder in self.ranking(program):
            if holder not in excluded:
                return holder
        return None

    def ranking(self, program: ProgramId) -> list[HolderId]:
        """Returns a program's group in the order in which its VMs decide."""
        return rendezvous_order(program, self.group_for(program))

    def group_for(self, key: str) -> tuple[HolderId, ...]:
        """Returns the group that a key is assigned to, empty if none is."""
        groups = [group for group in self.groups if group]
        if not groups:
            return ()
        return groups[self.group_id(key).number]

    def group_id(self, key: str) -> GroupId:
        """Returns the ID of the group that a key is assigned to."""
        groups = sum(1 for group in self.groups if group)
        key_hash = xxhash.xxh3_64_intdigest(key.encode())
        return GroupId(key_hash % max(1, groups), groups)


def majority_size(group: tuple[HolderId, ...]) -> int:
    """Returns the smallest number that is more than half of a group."""
    return len(group) // 2 + 1


def tolerated_losses(group: tuple[HolderId, ...]) -> int:
    """Returns how many VMs of a group may be lost without losing grants.

    Each grant that is not in the ledger is known to two VMs of the group, or
    to its only VM.
    """
    return 1 if len(group) > 1 else 0


def join_record(member: Member) -> KeyedWrite:
    """Returns the ledger record with which a VM joins."""
    address = member.address
    value = f"{address.host}:{address.port},{member.zone}"
    return KeyedWrite(_key(member.holder), value.encode())


def build_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that tells what a VM's build does.

    It limits what it allocates before another VM has read its records; VMs of
    6dec397 don't, and ignore this record.

    Args:
        holder: The VM.
    """
    return KeyedWrite(_build_key(holder), _LIMITS_UNREAD)


def forget_build_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that drops a ``build_record``."""
    return KeyedWrite(_build_key(holder), None)


def leave_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record with which a VM leaves."""
    return KeyedWrite(_key(holder), None)


def lost_record(member: Member) -> KeyedWrite:
    """Returns the ledger record of a VM that was removed as failed.

    What it was granted without the ledger may be unknown. Without this record
    a VM that reads only the remaining members would miss nobody.

    Args:
        member: The VM.
    """
    value = join_record(member).value
    return KeyedWrite(_lost_key(member.holder), value)


def forget_lost_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that drops a ``lost_record``."""
    return KeyedWrite(_lost_key(holder), None)


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
        parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
        if len(parts) == 2 and parts[0] == _BUILD_KEY:
            self._apply_build(HolderId(parts[1]), record.value)
            return True
        if len(parts) == 2 and parts[0] == _LOST_KEY:
            self._apply_lost(HolderId(parts[1]), record)
            return True
        if len(parts) != 2 or parts[0] != _MEMBER_KEY:
            return False
        holder = HolderId(parts[1])
        current = self._by_holder.get(holder)
        if current is not None and current[0] >= record.offset:
            return True
        self._by_holder[holder] = (
            record.offset,
            _decode(holder, record.value),
        )
        self._view = None
        return True

    def limits_unread(self, holder: HolderId) -> bool:
        """Returns whether a VM limits what no other VM has read."""
        return holder in self._limiting

    def _apply_build(self, holder: HolderId, value: bytes | None) -> None:
        self._limiting.discard(holder)
        if value == _LIMITS_UNREAD:
            self._limiting.add(holder)

    def _apply_lost(self, holder: HolderId, record: KeyedRecord) -> None:
        member = _decode(holder, record.value)
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
        numbers = {_group_number(address, groups) for address in addresses}
        for holder, (_, member) in self._lost.items():
            if holder in holders or holder in self._excused:
                continue
            if _group_number(member.address, groups) in numbers:
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
        count = _count_groups(len(holders))
        groups: list[list[HolderId]] = [[] for _ in range(count)]
        for holder in holders:
            member = self.get(holder)
            if member is None:
                continue
            groups[_group_number(member.address, count)].append(holder)
        return tuple(tuple(group) for group in groups)

    def _group_count(self) -> int:
        return _count_groups(sum(map(len, self.view().groups)))

    def _current_holders(self) -> list[HolderId]:
        newest: dict[Address, tuple[Offset, HolderId]] = {}
        for holder, (offset, member) in self._by_holder.items():
            if member is None:
                continue
            current = newest.get(member.address)
            if current is None or current[0] < offset:
                newest[member.address] = (offset, holder)
        return [holder for _, holder in newest.values()]


def _count_groups(members: int) -> int:
    # A power of two, so that it seldom changes as the system grows.
    count = 1
    while members > MAX_GROUP_MEMBERS * count:
        count *= 2
    return count


def _group_number(address: Address, groups: int) -> int:
    # Hashing the address keeps a VM in its group after a restart.
    text = f"{address.host}:{address.port}"
    return xxhash.xxh3_64_intdigest(text.encode()) % groups


def _lost_key(holder: HolderId) -> bytes:
    return _SEPARATOR.join((_LOST_KEY, holder)).encode()


def _build_key(holder: HolderId) -> bytes:
    return _SEPARATOR.join((_BUILD_KEY, holder)).encode()


def _key(holder: HolderId) -> bytes:
    return _SEPARATOR.join((_MEMBER_KEY, holder)).encode()


def _decode(holder: HolderId, value: bytes | None) -> Member | None:
    if value is None:
        return None
    address, _, zone = value.decode("utf-8", "replace").partition(",")
    host, _, port = address.rpartition(":")
    number = decode_number(port.encode())
    if not host or number is None or number > MAX_PORT:
        return None
    return Member(holder, Address(host, number), ZoneId(zone))
