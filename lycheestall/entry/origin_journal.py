"""The origins of the latest streams in the store."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from ..ids import Offset
from ..logs import Logger
from .membership import Members
from .origin_records import decode_origins, encode_origins
from .record_decoder import UnreadableRecord
from .shared_read import SharedRead
from .store import (
    Appended,
    HistoryGone,
    KeyedRecord,
    Records,
    Store,
    Topic,
)
from .stream_origins import StreamKey, StreamOrigin, StreamOrigins

__all__ = ["OriginJournal"]

MIN_DELAY_S = 0.04
"""Seconds for which origins are collected before they are appended. Those that
wait are lost if all VMs are."""

APPENDS_PER_S = 300
"""Appends a second of all VMs together; with more VMs each collects for
longer."""

RETRY_S = 2.0
"""Seconds after a failed append until the next one."""

MAX_PENDING = 2_000
"""Origins that wait to be appended; the oldest are dropped first."""


class OriginJournal:
    """Appends the origins of streams to the store, and reads those of others.

    They survive the loss of all VMs. The store lets them expire; until then
    they outlive any stream that callers can resume. Nothing waits for an
    append, and it is read only when a stream's origin is looked for.

    Args:
        origins: Receives the origins that are read.
        members: The VMs that share the rate of appends.
        store: The store.
        clock: Times the appends.
        logger: Receives failures and unreadable records.

    Attributes:
        read: Reads the origins that others have appended.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        members: Members,
        store: Store,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._origins = origins
        self._members = members
        self._store = store
        self._clock = clock
        self._logger = logger
        self._pending: dict[StreamKey, StreamOrigin] = {}
        self._appending = False
        self._failing = False
        self._position = Offset(0)
        self.read = SharedRead(self._read, logger)

    def add(self, stream: StreamKey, origin: StreamOrigin) -> None:
        """Appends a stream's origin soon."""
        self._pending[stream] = origin
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        if not self._appending:
            self._append_after(self._delay_s())

    def _delay_s(self) -> float:
        members = len(self._members.all())
        return max(MIN_DELAY_S, members / APPENDS_PER_S)

    def _append_after(self, delay_s: float) -> None:
        self._appending = True
        self._clock.callLater(delay_s, self._start_append)

    def _start_append(self) -> None:
        appended = ensureDeferred(self._append())
        appended.addErrback(self._append_failed)

    async def _append(self) -> None:
        batch, self._pending = self._pending, {}
        outcome = await self._store.append(
            Topic.ORIGINS, [encode_origins(batch)], None
        )
        succeeded = isinstance(outcome, Appended)
        if succeeded == self._failing:
            self._failing = not succeeded
            self._logger.info(
                "stream origins recorded"
                if succeeded
                else "stream origins not recorded",
                streams=len(batch),
                outcome=str(outcome),
            )
        if not succeeded:
            self._pending = {**batch, **self._pending}
        self._appending = False
        if self._pending:
            self._append_after(self._delay_s() if succeeded else RETRY_S)

    def _append_failed(self, failure: Failure) -> None:
        self._appending = False
        self._logger.error(
            "recording stream origins failed", error=failure.getTraceback()
        )

    async def _read(self) -> bool:
        while True:
            outcome = await self._store.read(Topic.ORIGINS, self._position)
            if isinstance(outcome, HistoryGone):
                if outcome.first <= self._position:
                    return False
                self._position = outcome.first
                continue
            if not isinstance(outcome, Records):
                return False
            for record in outcome.records:
                self._apply(record)
            if not outcome.records:
                return True
            self._position = outcome.end

    def _apply(self, record: KeyedRecord) -> None:
        decoded = decode_origins(record)
        if isinstance(decoded, UnreadableRecord):
            self._logger.warning(
                "stream origins unreadable",
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        for stream, origin in decoded.items():
            self._origins.add(stream, origin)
