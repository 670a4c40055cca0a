"""Follows one topic of the store from its newest state on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import DeferredLock

from ..ids import Offset
from .store import (
    HistoryGone,
    KeyedRecord,
    Records,
    Store,
    StoreFailed,
    Topic,
)
from .store_health import StoreHealth

__all__ = ["TopicFollower"]


class TopicFollower:
    """Hands a topic's records on, each once, in order.

    When the wanted records have expired, the newest record of each key
    is listed again; ``listed`` then gets the keys that are still there.

    Args:
        store: The store.
        topic: The topic.
        clock: Tells the time.
        health: Learns how the calls went.
        apply: Takes a record.
        listed: Takes the keys of a full listing.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        *,
        clock: Any,
        health: StoreHealth,
        apply: Callable[[KeyedRecord], None],
        listed: Callable[[set[bytes]], None] | None = None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._clock = clock
        self._health = health
        self._apply = apply
        self._listed = listed
        self._lock = DeferredLock()
        self.position: Offset | None = None
        self.read_at = float("-inf")

    @property
    def loaded(self) -> bool:
        """Whether the topic has been read once."""
        return self.position is not None

    async def read(self, *, wait_s: float = 0.0) -> bool:
        """Reads what is new; returns whether the store answered.

        Args:
            wait_s: How long the store may wait for a record.
        """
        await self._lock.acquire()
        try:
            if self.position is None:
                return await self._load()
            return await self._read_on(self.position, wait_s)
        finally:
            self._lock.release()

    async def read_until(self, offset: Offset) -> bool:
        """Reads until a record has been seen; False if the store failed."""
        while self.position is None or self.position <= offset:
            if not await self.read():
                return False
        return True

    async def _read_on(self, position: Offset, wait_s: float) -> bool:
        started = self._clock.seconds()
        outcome = await self._store.read(self._topic, position, wait_s=wait_s)
        if isinstance(outcome, HistoryGone):
            self._health.succeeded(self._clock.seconds())
            return await self._load()
        if not isinstance(outcome, Records):
            # Until then the store was free to keep the call waiting.
            self._health.failed(
                self._clock.seconds(),
                outcome.error,
                started_at=started + wait_s,
            )
            return False
        self._health.succeeded(self._clock.seconds())
        for record in outcome.records:
            self._apply(record)
        self.position = outcome.end
        self.read_at = started
        return True

    async def _load(self) -> bool:
        started = self._clock.seconds()
        after: str | None = None
        end: Offset | None = None
        keys: set[bytes] = set()
        while True:
            asked_at = self._clock.seconds()
            page = await self._store.newest(self._topic, after=after)
            if isinstance(page, StoreFailed):
                self._health.failed(
                    self._clock.seconds(), page.error, started_at=asked_at
                )
                return False
            if end is None:
                end = page.end
            for record in page.records:
                keys.add(record.key)
                self._apply(record)
            after = page.more_after
            if after is None:
                break
        self._health.succeeded(self._clock.seconds())
        if self._listed is not None:
            self._listed(keys)
        self.position = end
        self.read_at = started
        return True
