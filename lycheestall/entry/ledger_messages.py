"""Messages that tell what a VM has read of the ledger."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import Offset
from .store import KeyedRecord
from .token_ledger import HolderId
from .unrecorded_grants import TurnGrant

__all__ = ["AskLedger", "LedgerTail"]


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
