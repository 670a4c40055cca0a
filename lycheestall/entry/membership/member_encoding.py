"""Records of the VMs in the ledger."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ...ids import ZoneId
from ..record_numbers import decode_number
from ..store import KeyedWrite
from ..token_ledger import HolderId
from ..vm_settings import Address

__all__ = [
    "LIMITS_UNREAD",
    "Member",
    "MemberKey",
    "MemberRecordKind",
    "build_record",
    "decode_key",
    "decode_member",
    "forget_build_record",
    "forget_lost_record",
    "join_record",
    "leave_record",
    "lost_record",
]

LIMITS_UNREAD = b"unread"
"""Value of the record of a build that limits what no other VM has read."""

MAX_PORT = 65_535
"""Highest TCP port."""

_SEPARATOR = "\x1f"


class MemberRecordKind(Enum):
    """What a record tells of a VM.

    Attributes:
        MEMBER: That it has joined; without a value, that it has left.
        BUILD: What its build does.
        LOST: That it was removed as failed.
    """

    MEMBER = "m"
    BUILD = "b"
    LOST = "l"


@dataclass(frozen=True, slots=True)
class MemberKey:
    """The key of a record about a VM."""

    kind: MemberRecordKind
    holder: HolderId


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


def join_record(member: Member) -> KeyedWrite:
    """Returns the ledger record with which a VM joins."""
    address = member.address
    value = f"{address.host}:{address.port},{member.zone}"
    return KeyedWrite(
        _key(MemberRecordKind.MEMBER, member.holder), value.encode()
    )


def build_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that tells what a VM's build does.

    It limits what it allocates before another VM has read its records; VMs of
    6dec397 don't, and ignore this record.

    Args:
        holder: The VM.
    """
    return KeyedWrite(_key(MemberRecordKind.BUILD, holder), LIMITS_UNREAD)


def forget_build_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that drops a ``build_record``."""
    return KeyedWrite(_key(MemberRecordKind.BUILD, holder), None)


def leave_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record with which a VM leaves."""
    return KeyedWrite(_key(MemberRecordKind.MEMBER, holder), None)


def lost_record(member: Member) -> KeyedWrite:
    """Returns the ledger record of a VM that was removed as failed.

    What it was granted without the ledger may be unknown. Without this record
    a VM that reads only the remaining members would miss nobody.

    Args:
        member: The VM.
    """
    key = _key(MemberRecordKind.LOST, member.holder)
    return KeyedWrite(key, join_record(member).value)


def forget_lost_record(holder: HolderId) -> KeyedWrite:
    """Returns the ledger record that drops a ``lost_record``."""
    return KeyedWrite(_key(MemberRecordKind.LOST, holder), None)


def decode_key(key: bytes) -> MemberKey | None:
    """Decodes the key of a record; None if it is not about a VM."""
    parts = key.decode("utf-8", "replace").split(_SEPARATOR)
    if len(parts) != 2:
        return None
    for kind in MemberRecordKind:
        if kind.value == parts[0]:
            return MemberKey(kind, HolderId(parts[1]))
    return None


def decode_member(holder: HolderId, value: bytes | None) -> Member | None:
    """Decodes the value of a record; None if it names no address."""
    if value is None:
        return None
    address, _, zone = value.decode("utf-8", "replace").partition(",")
    host, _, port = address.rpartition(":")
    number = decode_number(port.encode())
    if not host or number is None or number > MAX_PORT:
        return None
    return Member(holder, Address(host, number), ZoneId(zone))


def _key(kind: MemberRecordKind, holder: HolderId) -> bytes:
    return _SEPARATOR.join((kind.value, holder)).encode()
