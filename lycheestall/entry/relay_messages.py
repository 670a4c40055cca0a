"""Messages with which an entry VM uses the store through another one."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ..ids import Offset
from .store import KeyedRecord, KeyedWrite, Topic, WriterFence

__all__ = [
    "AskConfiguration",
    "RelayAppend",
    "RelayNewest",
    "RelayRead",
    "RelayedConfiguration",
]


@dataclass(frozen=True, slots=True)
class RelayAppend:
    """Asks a peer to append to the store for a VM that can't reach it."""

    topic: Topic
    writes: tuple[KeyedWrite, ...]
    fence: WriterFence | None
    shard: int


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Asks a peer to read from the store for a VM that can't reach it."""

    topic: Topic
    start: Offset
    wait_s: float


@dataclass(frozen=True, slots=True)
class RelayNewest:
    """Asks a peer to list newest records for a VM without the store."""

    topic: Topic
    after: str | None
    shard: int


@dataclass(frozen=True, slots=True)
class AskConfiguration:
    """Asks a zone's reader for a newer configuration.

    Attributes:
        start: Offset from which on records are not known.
        wait_s: Time for which the reply may be held until there is one.
    """

    start: Offset
    wait_s: float


@dataclass(frozen=True, slots=True)
class RelayedConfiguration:
    """A zone's reader's reply.

    Attributes:
        offset: Offset of the newest record of the configuration.
        key: Key of the record.
        value: Its value, compressed by zlib; None if it is known already.
        end: Offset to read from next.
    """

    offset: Offset
    key: bytes
    value: bytes | None
    end: Offset

    def record(self) -> KeyedRecord:
        """Returns the record, without a value if it is known already."""
        value = None if self.value is None else zlib.decompress(self.value)
        return KeyedRecord(self.offset, self.key, value)
