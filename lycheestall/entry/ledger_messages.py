"""Messages that tell what a VM has read of the ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..ids import Offset
from .store import KeyedRecord
from .token_ledger import HolderId
from .token_messages import decode_grants, encode_grants
from .unrecorded_grants import TurnGrant

__all__ = [
    "AskLedger",
    "AskPosition",
    "LedgerPosition",
    "LedgerTail",
    "ReadLedger",
    "decode_position",
    "encode_position",
]


@dataclass(frozen=True, slots=True)
class AskLedger:
    """Asks a peer for the ledger's newest records while the store is away.

    Attributes:
        holder: The VM that asks.
        start: Offset from which on it has not read the ledger.
    """

    holder: HolderId
    start: Offset


@dataclass(frozen=True, slots=True)
class LedgerTail:
    """The ledger's newest records, and what it lacks, as a VM knows them.

    Attributes:
        holder: The VM that replies.
        complete: Whether these are all records that it has written or read
            since, and the store is away from it too.
        group_complete: Whether the same holds for all VMs of its group.
        records: The records.
        grants: All unrecorded grants that it knows of.
    """

    holder: HolderId
    complete: bool
    group_complete: bool
    records: tuple[KeyedRecord, ...]
    grants: tuple[TurnGrant, ...]


@dataclass(frozen=True, slots=True)
class AskPosition:
    """Asks how much of the ledger a peer has read, while the store is away.

    Attributes:
        holder: The VM that asks.
        whole_group: Whether the peer replies for its whole group.
    """

    holder: HolderId
    whole_group: bool


@dataclass(frozen=True, slots=True)
class LedgerPosition:
    """How much of the ledger a VM has read.

    A VM reads its own records back before they take effect. So whoever has
    all records before its position has all that it may use.

    Attributes:
        holder: The VM that replies.
        away: Whether the store is away from it too.
        position: Offset before which it has all records, those of other VMs
            included.
        unheard: Members of its group whose records may be missing.
        read_ago_s: Seconds since it, or a VM that it has asked, last read the
            ledger.
        failing_for_s: Seconds since its first call started that failed.
        grants: All unrecorded grants that it knows of.
    """

    holder: HolderId
    away: bool
    position: Offset
    unheard: tuple[HolderId, ...]
    read_ago_s: float
    failing_for_s: float
    grants: tuple[TurnGrant, ...]


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Asks a peer to read the ledger.

    Attributes:
        holder: The VM that asks.
        until: Offset before which the peer must have read all records.
    """

    holder: HolderId
    until: Offset


def encode_position(message: LedgerPosition) -> list[Any]:
    """Returns the fields of a message."""
    return [
        message.holder,
        message.away,
        message.position,
        list(message.unheard),
        message.read_ago_s,
        message.failing_for_s,
        encode_grants(message.grants),
    ]


def decode_position(fields: list[Any]) -> LedgerPosition:
    """Decodes the fields of a message."""
    holder, away, position, unheard, read_ago_s, failing_for_s, rows = fields
    return LedgerPosition(
        holder,
        away,
        position,
        tuple(unheard),
        read_ago_s,
        failing_for_s,
        decode_grants(rows),
    )
