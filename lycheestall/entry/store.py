"""Interface to the platform's store: topics of keyed records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from twisted.internet.defer import Deferred

from ..ids import Offset

__all__ = [
    "AppendConflict",
    "AppendOutcome",
    "AppendUnknown",
    "Appended",
    "HistoryGone",
    "KeyedRecord",
    "KeyedWrite",
    "NewestOutcome",
    "NewestPage",
    "ReadOutcome",
    "Records",
    "Store",
    "StoreFailed",
    "Topic",
    "WriterFence",
]


class Topic(Enum):
    """The topics that an entry VM uses.

    All are compacted but ``ORIGINS``, whose records expire after a time. All
    have one shard except ``TURNS``, which has ``Store.turn_shards``.
    """

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    LEDGER = "ledger"
    TURNS = "turns"
    VERSIONS = "versions"
    ORIGINS = "origins"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record; without a value it is a tombstone that deletes its key."""

    offset: Offset
    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedWrite:
    """A record to append; without a value it deletes its key."""

    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class WriterFence:
    """Fencing token that rejects delayed and repeated appends of a writer.

    Attributes:
        writer: Writer ID, unique to one start of one process.
        epoch: Incremented whenever the outcome of an append is unknown;
            the store rejects older epochs.
        sequence: Sequence number of the append within the epoch.
    """

    writer: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended, the first one at offset ``first``."""

    first: Offset


@dataclass(frozen=True, slots=True)
class AppendConflict:
    """The store rejected the writer's epoch or sequence number."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The outcome is unknown: the append may still take effect later."""

    error: str


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The call failed without any effect."""

    error: str


@dataclass(frozen=True, slots=True)
class Records:
    """Records in offset order; ``end`` is the offset to read from next."""

    records: tuple[KeyedRecord, ...]
    end: Offset


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The requested records are no longer retained.

    Attributes:
        first: Offset of the oldest retained record.
    """

    first: Offset


@dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of a listing with the newest record of each key.

    Attributes:
        records: Records in key order.
        more_after: Cursor of the next page; None on the last page.
        end: End offset of the topic when the page was read.
    """

    records: tuple[KeyedRecord, ...]
    more_after: str | None
    end: Offset


AppendOutcome: TypeAlias = (
    Appended | AppendConflict | AppendUnknown | StoreFailed
)
ReadOutcome: TypeAlias = Records | HistoryGone | StoreFailed
NewestOutcome: TypeAlias = NewestPage | StoreFailed


class Store(ABC):
    """A client of the store; every call ends within a timeout."""

    @property
    @abstractmethod
    def turn_shards(self) -> int:
        """Number of shards of the topic of turns."""

    @abstractmethod
    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[AppendOutcome]:
        """Appends records atomically.

        Args:
            topic: Topic to append to.
            writes: The records.
            fence: Rejects delayed and repeated appends; None for records
                that may be appended again and late.
            shard: Shard of the topic.
        """

    @abstractmethod
    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on.

        Args:
            topic: Topic to read.
            start: Offset of the first record.
            wait_s: Time for which the store may hold the call until a
                record is appended (long poll).
        """

    @abstractmethod
    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[NewestOutcome]:
        """Lists the newest record of each key, one page per call.

        Args:
            topic: Topic to list.
            after: Only greater keys are listed: the cursor from the previous
                page, or any text; None for the first page.
            shard: Shard of the topic.
        """
