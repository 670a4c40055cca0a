"""The VMs of the system, as they announce themselves in the ledger."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..ids import Offset, ProgramId, ZoneId
from .store import KeyedRecord, KeyedWrite
from .token_ledger import HolderId
from .vm_settings import Address

__all__ = ["Member", "MemberView", "Members", "announcement", "departure"]

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
    """The members that one VM knows; equal views have equal digests."""

    holders: tuple[HolderId, ...]
    digest: str

    @property
    def majority(self) -> int:
        """The least number that is more than half of the members."""
        return len(self.holders) // 2 + 1

    def decider(
        self, program: ProgramId, *, without: Iterable[HolderId] = ()
    ) -> HolderId | None:
        """Returns the member that decides on a program.

        Args:
            program: The program.
            without: Members that have handed their part on.
        """
        left = set(without)

        def weight(holder: HolderId) -> int:
            return xxhash.xxh3_64_intdigest(f"{program}:{holder}".encode())

        staying = [holder for holder in self.holders if holder not in left]
        return max(staying, key=weight, default=None)


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

    def get(self, holder: HolderId) -> Member | None:
        """Returns a member, None if it has left."""
        return self._by_holder.get(holder, (Offset(0), None))[1]

    def view(self) -> MemberView:
        """Returns the members that are there now."""
        if self._view is None:
            holders = tuple(sorted(self._newest()))
            digest = xxhash.xxh3_64_hexdigest("\n".join(holders).encode())
            self._view = MemberView(holders, digest)
        return self._view

    def all(self) -> list[Member]:
        """Returns the members that are there now."""
        members = [self.get(holder) for holder in self.view().holders]
        return [member for member in members if member is not None]

    def crashed(self) -> list[HolderId]:
        """Returns members that came back without having left."""
        newest = set(self.view().holders)
        return [
            holder
            for holder, (_, member) in self._by_holder.items()
            if member is not None and holder not in newest
        ]

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
