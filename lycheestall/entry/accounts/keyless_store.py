"""Keeps API keys out of everything that is read from the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from twisted.internet.defer import Deferred

from ...ids import Offset
from ..store import (
    AppendOutcome,
    KeyedRecord,
    KeyedWrite,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    Records,
    Store,
    Topic,
    WriterFence,
)

__all__ = ["KeylessStore"]


class KeylessStore(Store):
    """Reads configurations with digests in place of API keys.

    Records are passed on to VMs that can't read the store themselves, and
    messages between VMs hold no keys.

    Args:
        store: The store.
        conceal_keys: Returns a configuration without its keys.
    """

    def __init__(
        self, store: Store, conceal_keys: Callable[[bytes], bytes]
    ) -> None:
        self._store = store
        self._conceal_keys = conceal_keys

    @property
    def turn_shards(self) -> int:
        """Number of shards of the topic of turns."""
        return self._store.turn_shards

    def append(
        self,
        topic: Topic,
        writes: Sequence[KeyedWrite],
        fence: WriterFence | None,
        *,
        shard: int = 0,
    ) -> Deferred[AppendOutcome]:
        """Appends records atomically."""
        return self._store.append(topic, writes, fence, shard=shard)

    def read(
        self, topic: Topic, start: Offset, *, wait_s: float = 0.0
    ) -> Deferred[ReadOutcome]:
        """Reads records from an offset on."""
        outcome = self._store.read(topic, start, wait_s=wait_s)
        if topic is Topic.CONFIGURATION:
            outcome.addCallback(self._concealed)
        return outcome

    def newest(
        self, topic: Topic, *, after: str | None = None, shard: int = 0
    ) -> Deferred[NewestOutcome]:
        """Lists the newest record of each key, one page per call."""
        outcome = self._store.newest(topic, after=after, shard=shard)
        if topic is Topic.CONFIGURATION:
            outcome.addCallback(self._concealed)
        return outcome

    def _concealed(
        self, outcome: ReadOutcome | NewestOutcome
    ) -> ReadOutcome | NewestOutcome:
        if not isinstance(outcome, Records | NewestPage):
            return outcome
        records = tuple(map(self._without_keys, outcome.records))
        return replace(outcome, records=records)

    def _without_keys(self, record: KeyedRecord) -> KeyedRecord:
        if record.value is None:
            return record
        return replace(record, value=self._conceal_keys(record.value))
