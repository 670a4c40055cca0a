"""Consumes one topic of the store, starting from a listing."""

from __future__ import annotations

from collections.abc import Callable, Sequence
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
    """Lists a topic, then reads its new records in order.

    When the next records are no longer retained, the topic is listed
    again. A listing omits deleted keys, so ``on_listed`` gets the keys that
    still exist.

    Args:
        store: The store.
        topic: Topic to follow.
        clock: Time source.
        health: Records the outcomes of the calls.
        apply: Called with each record.
        on_listed: Called with all keys after a complete listing.

    Attributes:
        position: Offset to read from next; None before the first listing.
        read_at: When the last successful read started.
        listed_at: When the last complete listing started.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        *,
        clock: Any,
        health: StoreHealth,
        apply: Callable[[KeyedRecord], None],
        on_listed: Callable[[set[bytes]], None] | None = None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._clock = clock
        self._health = health
        self._apply = apply
        self._on_listed = on_listed
        self._lock = DeferredLock()
        self.position: Offset | None = None
        self.read_at = float("-inf")
        self.listed_at = float("inf")

    @property
    def loaded(self) -> bool:
        """Whether the topic has been listed once."""
        return self.position is not None

    async def read(self, *, wait_s: float = 0.0) -> bool:
        """Reads new records; returns whether the call succeeded.

        Args:
            wait_s: Time for which the store may hold the call until a
                record is appended (long poll).
        """
        await self._lock.acquire()
        try:
            if self.position is None:
                return await self._load_listing()
            return await self._read_new(self.position, wait_s)
        finally:
            self._lock.release()

    def accept(
        self, records: Sequence[KeyedRecord], end: Offset, read_at: float
    ) -> None:
        """Applies records that another VM has read.

        Args:
            records: The records.
            end: Offset to read from next.
            read_at: When they were asked for.
        """
        for record in records:
            self._apply(record)
        self.position = max(self.position or Offset(0), end)
        self.read_at = read_at

    async def read_until(self, offset: Offset) -> bool:
        """Reads up to and including an offset; returns False on failure."""
        while self.position is None or self.position <= offset:
            if not await self.read():
                return False
        return True

    async def _read_new(self, position: Offset, wait_s: float) -> bool:
        started_at = self._clock.seconds()
        outcome = await self._store.read(self._topic, position, wait_s=wait_s)
        if isinstance(outcome, HistoryGone):
            self._health.succeeded(self._clock.seconds())
            return await self._load_listing()
        if not isinstance(outcome, Records):
            # During the long-poll wait, silence is no sign of a failure.
            self._health.failed(
                self._clock.seconds(),
                outcome.error,
                started_at=started_at + wait_s,
            )
            return False
        self._health.succeeded(self._clock.seconds())
        for record in outcome.records:
            self._apply(record)
        self.position = outcome.end
        self.read_at = started_at
        return True

    async def _load_listing(self) -> bool:
        started_at = self._clock.seconds()
        after: str | None = None
        end: Offset | None = None
        keys: set[bytes] = set()
        while True:
            page_started_at = self._clock.seconds()
            page = await self._store.newest(self._topic, after=after)
            if isinstance(page, StoreFailed):
                self._health.failed(
                    self._clock.seconds(),
                    page.error,
                    started_at=page_started_at,
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
        if self._on_listed is not None:
            self._on_listed(keys)
        self.position = end
        self.read_at = started_at
        self.listed_at = started_at
        return True
