"""The VMs of the system, as they announce themselves in the ledger."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..ids import Offset, ProgramId, ZoneId
from ..rendezvous import rendezvous
from .store import KeyedRecord, KeyedWrite
from .token_ledger import HolderId
from .vm_settings import Address

__all__ = [
    "Member",
    "MemberView",
    "Members",
    "announcement",
    "departure",
    "majority",
]

CELL_MEMBERS = 20
"""Most members that decide on programs as one group."""

_MEMBER = "m"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Member:
    """One life of one VM.

    Attributes:
        holder: Its name in the ledger.
        address: Where it takes calls of its peers.
        zone: Its availability zone.
    """

    holder: HolderId
    address: Address
    zone: ZoneId


@dataclass(frozen=True, slots=True)
class MemberView:
    """The members that one VM knows; equal views have equal digests.

    Attributes:
        cells: All members, in groups that decide on programs together;
            one group up to ``CELL_MEMBERS``, so that no VM has to talk
            to all others of a large system.
        digest: Stands for all members.
    """

    cells: tuple[tuple[HolderId, ...], ...]
    digest: str

    def cell_of(self, holder: HolderId) -> tuple[HolderId, ...]:
        """Returns a member's group; an empty one if it is no member."""
        for cell in self.cells:
            if holder in cell:
                return cell
        return ()

    def decider(
        self, program: ProgramId, *, without: Iterable[HolderId] = ()
    ) -> HolderId | None:
        """Returns the member that decides on a program.

        Args:
            program: The program.
            without: Members that have handed their part on.
        """
        left = set(without)
        cells = [cell for cell in self.cells if cell]
        if not cells:
            return None
        spread = xxhash.xxh3_64_intdigest(program.encode())
        cell = cells[spread % len(cells)]
        staying = [holder for holder in cell if holder not in left]
        return rendezvous(program, staying)


def majority(cell: tuple[HolderId, ...]) -> int:
    """Returns the least number that is more than half of a group."""
    return len(cell) // 2 + 1


def announcement(member: Member) -> KeyedWrite:
    """Returns the record by which a VM joins."""
    address = member.address
    value = f"{address.host}:{address.port},{member.zone}"
    return KeyedWrite(_key(member.holder), value.encode())


def departure(holder: HolderId) -> KeyedWrite:
    """Returns the record by which a VM leaves."""
    return KeyedWrite(_key(holder), None)


class Members:
    """Folds announcements; of one address the newest counts."""

    def __init__(self) -> None:
        self._by_holder: dict[HolderId, tuple[Offset, Member | None]] = {}
        self._view: MemberView | None = None

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a record; returns whether it is about a member."""
        parts = record.key.decode("utf-8", "replace").split(_SEPARATOR)
        if len(parts) != 2 or parts[0] != _MEMBER:
            return False
        holder = HolderId(parts[1])
        known = self._by_holder.get(holder)
        if known is not None and known[0] >= record.offset:
            return True
        self._by_holder[holder] = (record.offset, _read(holder, record.value))
        self._view = None
        return True

    def records(self) -> tuple[KeyedRecord, ...]:
        """Returns the ledger's newest records about members."""
        records: list[KeyedRecord] = []
        for holder, (offset, member) in self._by_holder.items():
            write = departure(holder)
            if member is not None:
                write = announcement(member)
            records.append(KeyedRecord(offset, write.key, write.value))
        return tuple(records)

    def get(self, holder: HolderId) -> Member | None:
        """Returns a member, None if it has left."""
        return self._by_holder.get(holder, (Offset(0), None))[1]

    def view(self) -> MemberView:
        """Returns the members that are there now."""
        if self._view is None:
            holders = sorted(self._newest())
            digest = xxhash.xxh3_64_hexdigest("\n".join(holders).encode())
            self._view = MemberView(self._cells(holders), digest)
        return self._view

    def all(self) -> list[Member]:
        """Returns the members that are there now."""
        members = [
            self.get(holder) for cell in self.view().cells for holder in cell
        ]
        return [member for member in members if member is not None]

    def neighbours(self, holder: HolderId) -> list[Member]:
        """Returns the other members of a member's group."""
        members = [
            self.get(name)
            for name in self.view().cell_of(holder)
            if name != holder
        ]
        return [member for member in members if member is not None]

    def crashed(self) -> list[HolderId]:
        """Returns members that came back without having left."""
        newest = {name for cell in self.view().cells for name in cell}
        return [
            holder
            for holder, (_, member) in self._by_holder.items()
            if member is not None and holder not in newest
        ]

    def _cells(
        self, holders: list[HolderId]
    ) -> tuple[tuple[HolderId, ...], ...]:
        # A power of two, so that the groups of a growing system seldom
        # change; by address, so that a restart does not move a VM.
        count = 1
        while len(holders) > CELL_MEMBERS * count:
            count *= 2
        cells: list[list[HolderId]] = [[] for _ in range(count)]
        for holder in holders:
            member = self.get(holder)
            if member is None:
                continue
            address = f"{member.address.host}:{member.address.port}"
            spread = xxhash.xxh3_64_intdigest(address.encode())
            cells[spread % count].append(holder)
        return tuple(tuple(cell) for cell in cells)

    def _newest(self) -> list[HolderId]:
        newest: dict[Address, tuple[Offset, HolderId]] = {}
        for holder, (offset, member) in self._by_holder.items():
            if member is None:
                continue
            known = newest.get(member.address)
            if known is None or known[0] < offset:
                newest[member.address] = (offset, holder)
        return [holder for _, holder in newest.values()]


def _key(holder: HolderId) -> bytes:
    return _SEPARATOR.join((_MEMBER, holder)).encode()


def _read(holder: HolderId, value: bytes | None) -> Member | None:
    if value is None:
        return None
    address, _, zone = value.decode("utf-8", "replace").partition(",")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return None
    return Member(holder, Address(host, int(port)), ZoneId(zone))
