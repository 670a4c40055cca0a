"""The platform's store, as the product sees it."""

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
    """The topics that an entry VM uses; all keep the newest of each key."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    LEDGER = "ledger"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record: the newest value of its key, None if it was dropped."""

    offset: Offset
    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedWrite:
    """A record to append; without a value the key is dropped."""

    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class WriterFence:
    """Keeps late or repeated appends of one writer from taking effect.

    Attributes:
        writer: The writer, unique to one life of one process.
        epoch: Grows whenever the fate of an append is unknown; the store
            turns older epochs away.
        sequence: Follows the last append of the same epoch.
    """

    writer: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the log, the first at ``first``."""

    first: Offset


@dataclass(frozen=True, slots=True)
class AppendConflict:
    """The store turned the writer's epoch or sequence away."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No answer came; the append may take effect, also later."""

    error: str


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Nothing was done, or nothing was read."""

    error: str


@dataclass(frozen=True, slots=True)
class Records:
    """Records in offset order; ``end`` is the next offset to come."""

    records: tuple[KeyedRecord, ...]
    end: Offset


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The wanted records have expired; ``first`` is the oldest kept."""

    first: Offset


@dataclass(frozen=True, slots=True)
class NewestPage:
    """The newest records of some keys.

    Attributes:
        records: In key order.
        more_after: Key to go on after; None on the last page.
        end: The topic's end when the page was read.
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
    """Topics of keyed records; every call ends within its timeout."""

    @abstractmethod
    def append(
        self, topic: Topic, writes: Sequence[KeyedWrite], fence: WriterFence
    ) -> Deferred[AppendOutcome]:
        """Appends records, all or nothing."""

    @abstractmethod
    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on.

        Args:
            topic: The topic.
            start: Offset of the first record.
            wait_s: How long the store may wait for a record to come.
        """

    @abstractmethod
    def newest(
        self, topic: Topic, *, after: str | None = None
    ) -> Deferred[NewestOutcome]:
        """Reads a page of the newest record of each key.

        Args:
            topic: The topic.
            after: Where the last page ended.
        """
