"""Groups of VMs that decide on programs together."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ...ids import ProgramId
from ...rendezvous import rendezvous_order
from ..token_ledger import HolderId
from ..vm_settings import Address

__all__ = [
    "GroupId",
    "MemberView",
    "count_groups",
    "group_number",
    "majority_size",
    "tolerated_losses",
]

MAX_GROUP_MEMBERS = 20
"""Maximum number of members that decide on programs as one group."""


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


def count_groups(members: int) -> int:
    """Returns the number of groups of a system.

    It is a power of two, so that it seldom changes as the system grows.

    Args:
        members: Number of members.
    """
    count = 1
    while members > MAX_GROUP_MEMBERS * count:
        count *= 2
    return count


def group_number(address: Address, groups: int) -> int:
    """Returns the number of the group that a VM at an address belongs to.

    Hashing the address keeps a VM in its group after a restart.

    Args:
        address: Where its peers reach it.
        groups: Number of groups.
    """
    text = f"{address.host}:{address.port}"
    return xxhash.xxh3_64_intdigest(text.encode()) % groups
