"""Writes turns of conversations to the store and deletes expired records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..conversations import (
    RECORD_LIFETIMES,
    ConversationTurn,
    ConversationTurnId,
    ExpiredRecords,
    TurnCache,
    TurnRecord,
    encode_turn,
    record_expiry,
    shard_of,
)
from ..conversations.turn_records import ShardNumber
from ..logs import Logger
from .store import Appended, KeyedWrite, NewestPage, Store, Topic

__all__ = ["TurnRecorder"]

RETRY_S = 0.5
"""Seconds after a failed append until the next one."""

FAILURES_BEFORE_SUSPENSION = 2
"""Consecutive failed appends after which only one is tried at a time."""

MAX_PARALLEL_APPENDS = 16
"""Appends of delayed turns that may be in progress at once."""


@dataclass(slots=True)
class _PendingTurn:
    """A turn that has to be recorded.

    Attributes:
        record: The record to write.
        due_at: When to write it.
        appending: Whether an append with it is in progress.
        waiters: Fire when it is recorded.
    """

    record: TurnRecord
    due_at: float
    appending: bool = False
    waiters: list[Deferred[bool]] = field(default_factory=list)


class TurnRecorder:
    """Records turns, each in the shard of its ID, until all succeeded.

    A record may be written twice: its key and value are the same again, so
    appends need no fencing token.

    Args:
        store: The store.
        cache: The turns in memory; learns which ones are recorded.
        clock: Time source and timers.
        unix_clock: Returns the time of day in seconds.
        logger: Receives failures.

    Attributes:
        failures: Consecutive failed appends.
    """

    def __init__(
        self,
        *,
        store: Store,
        cache: TurnCache,
        clock: Any,
        unix_clock: Callable[[], float],
        logger: Logger,
    ) -> None:
        self._store = store
        self._cache = cache
        self._clock = clock
        self._unix_clock = unix_clock
        self._logger = logger
        self._pending: dict[ConversationTurnId, _PendingTurn] = {}
        self._expired = ExpiredRecords()
        self._appends = 0
        self.failures = 0

    @property
    def suspended(self) -> bool:
        """Whether the store does not take turns now."""
        return self.failures >= FAILURES_BEFORE_SUSPENSION

    @property
    def pending_count(self) -> int:
        """Number of turns to be recorded."""
        return len(self._pending)

    def record(self, turn: ConversationTurn) -> None:
        """Starts to record a turn."""
        if turn.turn_id in self._pending:
            return
        lifetime_s = turn.retention_s * RECORD_LIFETIMES
        expires_at = int(self._unix_clock() + lifetime_s)
        pending = _PendingTurn(
            TurnRecord(turn, expires_at), self._clock.seconds()
        )
        self._pending[turn.turn_id] = pending
        if not self.suspended:
            self._append(self._shard(turn.turn_id), [pending])

    def wait(
        self, turn_id: ConversationTurnId, *, timeout_s: float
    ) -> Deferred[bool]:
        """Returns whether a turn is recorded within a time."""
        recorded: Deferred[bool] = Deferred(lambda _: None)
        pending = self._pending.get(turn_id)
        if pending is None:
            recorded.callback(True)
            return recorded
        pending.waiters.append(recorded)
        self._clock.callLater(timeout_s, _fire, recorded, False)
        return recorded

    def give_up(self, turn_id: ConversationTurnId) -> None:
        """Drops a turn whose response was broken off."""
        self._pending.pop(turn_id, None)

    async def write_due(self) -> None:
        """Starts the appends and deletions that are due."""
        now = self._clock.seconds()
        due_by_shard: dict[ShardNumber, list[_PendingTurn]] = {}
        for turn_id, pending in self._pending.items():
            if pending.appending or pending.due_at > now:
                continue
            shard = self._shard(turn_id)
            due_by_shard.setdefault(shard, []).append(pending)
        for shard in self._expired.overdue_shards(self._unix_clock()):
            due_by_shard.setdefault(shard, [])
        limit = 1 if self.suspended else MAX_PARALLEL_APPENDS
        for shard, batch in due_by_shard.items():
            if self._appends >= limit:
                return
            self._append(shard, batch)

    async def collect_expired(self, shard: ShardNumber) -> int:
        """Notes the expired records of a shard that nobody else deletes.

        Returns:
            Number of records found.
        """
        found = 0
        after: str | None = None
        while True:
            page = await self._store.newest(
                Topic.TURNS, after=after, shard=shard
            )
            if not isinstance(page, NewestPage):
                return found
            for record in page.records:
                expires_at = record_expiry(record.key)
                if expires_at is None or expires_at > self._unix_clock():
                    continue
                self._expired.add(shard, record.key, expires_at)
                found += 1
            after = page.more_after
            if after is None:
                return found

    def _shard(self, turn_id: ConversationTurnId) -> ShardNumber:
        return shard_of(turn_id, self._store.turn_shards)

    def _append(self, shard: ShardNumber, batch: list[_PendingTurn]) -> None:
        deletions = self._expired.take_due(shard, self._unix_clock())
        writes = [
            KeyedWrite(pending.record.key, encode_turn(pending.record.turn))
            for pending in batch
        ]
        writes.extend(KeyedWrite(key, None) for key in deletions)
        for pending in batch:
            pending.appending = True
        self._appends += 1
        appended = ensureDeferred(
            self._append_writes(shard, batch, writes, deletions)
        )
        appended.addErrback(self._append_failed, batch)

    async def _append_writes(
        self,
        shard: ShardNumber,
        batch: list[_PendingTurn],
        writes: list[KeyedWrite],
        deletions: list[bytes],
    ) -> None:
        outcome = await self._store.append(
            Topic.TURNS, writes, None, shard=shard
        )
        self._appends -= 1
        if isinstance(outcome, Appended):
            self._appended(shard, batch)
            return
        self.failures += 1
        if self.failures == FAILURES_BEFORE_SUSPENSION:
            self._logger.warning(
                "turns can't be recorded",
                pending=len(self._pending),
                outcome=str(outcome),
            )
        self._expired.put_back(shard, deletions, self._unix_clock())
        self._retry_later(batch)

    def _appended(self, shard: ShardNumber, batch: list[_PendingTurn]) -> None:
        if self.suspended:
            self._logger.info(
                "turns are recorded again", pending=len(self._pending)
            )
        self.failures = 0
        for pending in batch:
            record = pending.record
            self._expired.add(shard, record.key, record.expires_at)
            turn_id = record.turn.turn_id
            self._cache.mark_recorded(turn_id, record.expires_at)
            self._finish(turn_id)

    def _finish(self, turn_id: ConversationTurnId) -> None:
        pending = self._pending.pop(turn_id, None)
        if pending is None:
            return
        for waiter in pending.waiters:
            _fire(waiter, True)

    def _retry_later(self, batch: list[_PendingTurn]) -> None:
        for pending in batch:
            pending.appending = False
            pending.due_at = self._clock.seconds() + RETRY_S

    def _append_failed(
        self, failure: Failure, batch: list[_PendingTurn]
    ) -> None:
        self._logger.error(
            "recording turns failed", error=failure.getTraceback()
        )
        self._retry_later(batch)


def _fire(waiter: Deferred[bool], recorded: bool) -> None:
    if not waiter.called:
        waiter.callback(recorded)
