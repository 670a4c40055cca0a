"""Follows a log stream and keeps a fold up to date."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice

import structlog
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from .checkpoints import Checkpoint, CheckpointAssembler
from .clock import Clock, Timer
from .codec import CodecError, UnreadableRecord, decode_record
from .fold import Fold, Verdict
from .ids import Offset, StreamName
from .platform_services import (
    LogEntry,
    LogService,
    ReadBatch,
    ReadFailed,
    ReadResult,
    ReadStartExpired,
)
from .records import NO_OFFSET, Record

__all__ = ["FoldedHandler", "LogReader"]

POLL_WAIT_S = 1.0
READ_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.25
CATCH_UP_INTERVAL_S = 0.1
WINDOW_BYTES = 8 * 1024 * 1024
TAIL_BYTES = 1024 * 1024
FEED_LIMIT_S = 2.0
FEED_CHECK_S = 0.1
READ_LIMIT = 1000

FoldedHandler = Callable[[Offset, Record, Verdict], None]

_log = structlog.get_logger(__name__)


class LogReader:
    """Feeds a stream's entries to a fold, in order and without gaps.

    Entries come from the log by long polls, or from a peer when the log
    does not answer. A reader whose next entry is older than retention
    looks for a checkpoint and is not ``ready`` until it has loaded one.

    Args:
        stream: The stream to follow.
        fold: Gets each entry once.
        log: The platform's log service.
        clock: Times retries.
        on_folded: Hears of each folded record, after the fold.
        on_loaded: Hears that a checkpoint has replaced the state.
        ask_peer: Asks some peer for entries from an offset on.
        on_read: Hears of entries that were folded from the log itself,
            so that they can be passed on.
        must_read: Whether to read the log even while a peer feeds this
            reader.
        assembler: Collects checkpoints; a stream with its own kind of
            checkpoint brings its own.
    """

    def __init__(
        self,
        stream: StreamName,
        fold: Fold,
        log: LogService,
        clock: Clock,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        ask_peer: Callable[[StreamName, Offset], None],
        on_read: Callable[[StreamName, Sequence[LogEntry]], None]
        | None = None,
        must_read: Callable[[StreamName], bool] | None = None,
        assembler: CheckpointAssembler | None = None,
        poll_wait_s: float = POLL_WAIT_S,
    ) -> None:
        self.stream = stream
        self._fold = fold
        self._log = log
        self._clock = clock
        self._on_folded = on_folded
        self._on_loaded = on_loaded
        self._ask_peer = ask_peer
        self._on_read = on_read
        self._must_read = must_read
        self._fed_at = float("-inf")
        self._assembler = assembler or CheckpointAssembler()
        self._poll_wait_s = poll_wait_s
        self._window: deque[LogEntry] = deque()
        self._window_bytes = 0
        self._newest = NO_OFFSET
        self._folded = NO_OFFSET
        self._first_retained = NO_OFFSET
        self._seek: Offset | None = None
        self._caught_up = False
        self._running = False
        self._reading: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._folded_before = NO_OFFSET
        self._unreadable = 0
        self._answered_at: float | None = None
        self._fresh_at: float | None = None
        self._back_at = float("-inf")
        self._failing = False

    @property
    def newest(self) -> Offset:
        """The highest offset known to exist."""
        return self._newest

    @property
    def folded(self) -> Offset:
        """The highest offset in the fold's state."""
        return self._folded

    @property
    def first_retained(self) -> Offset:
        """The oldest offset the log was last seen to hold, or -1."""
        return self._first_retained

    @property
    def ready(self) -> bool:
        """Whether the state is whole and once was up to date."""
        return self._caught_up and self._seek is None

    @property
    def unreadable_format(self) -> int:
        """The record format that stopped this reader, or 0."""
        return self._unreadable

    @property
    def fresh_at(self) -> float | None:
        """When the newest read was sent that found nothing unfolded."""
        return self._fresh_at

    @property
    def back_at(self) -> float:
        """When the log last answered again after it had not."""
        return self._back_at

    @property
    def failing(self) -> bool:
        """Whether the log did not answer the newest read."""
        return self._failing

    def start(self) -> None:
        """Starts to follow the stream."""
        self._running = True
        self._reading = ensureDeferred(self._follow())
        self._reading.addErrback(self._stopped)
        self._timer = self._clock.callLater(CATCH_UP_INTERVAL_S, self._nudge)

    def stop(self) -> None:
        """Stops; the state stays as it is."""
        self._running = False
        if self._reading is not None:
            self._reading.cancel()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def hear(self, newest: Offset) -> None:
        """Takes a peer's word that an offset exists."""
        self._newest = max(self._newest, newest)

    def take(self, entries: Sequence[LogEntry], *, fed: bool = False) -> None:
        """Takes entries that a peer gave.

        Args:
            entries: Consecutive entries.
            fed: Whether the peer sends all new entries unasked; the log
                is not read while it does.
        """
        if not self._running or self._seek is not None:
            return
        self._fold_entries(entries)
        if fed:
            self._fed_at = self._clock.seconds()

    def tail(self, start: Offset) -> tuple[LogEntry, ...]:
        """Returns recent folded entries from ``start`` on, for a peer.

        Returns:
            Consecutive entries; none when ``start`` is not kept.
        """
        if not self._window or start < self._window[0].offset:
            return ()
        first = start - self._window[0].offset
        found: list[LogEntry] = []
        size = 0
        for entry in islice(self._window, first, None):
            size += len(entry.payload)
            if found and size > TAIL_BYTES:
                break
            found.append(entry)
        return tuple(found)

    async def _follow(self) -> None:
        while self._running:
            if self._fed():
                await self._sleep(FEED_CHECK_S)
                continue
            sent_at = self._clock.seconds()
            result = await self._read(self._position())
            if isinstance(result, ReadFailed):
                self._failing = True
                await self._sleep(RETRY_INTERVAL_S)
                continue
            self._note_answer(result)
            if isinstance(result, ReadStartExpired):
                self._begin_seeking(result)
                continue
            if self._seek is not None:
                self._collect(result)
            else:
                self._fold_entries(result.entries)
                if result.entries and self._on_read is not None:
                    self._on_read(self.stream, result.entries)
            self._note_progress(result, sent_at)
            if self._unreadable:
                await self._sleep(POLL_WAIT_S)

    def _fed(self) -> bool:
        """Returns whether a peer keeps this reader up to date."""
        if not self._caught_up or self._newest > self._folded:
            return False
        if self._must_read is not None and self._must_read(self.stream):
            return False
        return self._clock.seconds() - self._fed_at < FEED_LIMIT_S

    def _position(self) -> Offset:
        if self._seek is not None:
            return self._seek
        return Offset(self._folded + 1)

    async def _read(self, start: Offset) -> ReadResult:
        read = ensureDeferred(
            self._log.read(
                self.stream,
                start,
                limit=READ_LIMIT,
                wait_s=self._poll_wait_s,
            )
        )
        timeout_s = self._poll_wait_s + READ_TIMEOUT_S
        timer = self._clock.callLater(timeout_s, read.cancel)
        try:
            return await read
        except CancelledError:
            if not self._running:
                raise
            return ReadFailed("timeout")
        except Exception as error:
            return ReadFailed(repr(error))
        finally:
            if timer.active():
                timer.cancel()

    def _note_answer(self, result: ReadBatch | ReadStartExpired) -> None:
        now = self._clock.seconds()
        if self._failing or self._answered_at is None:
            self._back_at = now
        self._failing = False
        self._answered_at = now
        self._first_retained = result.first_retained
        self.hear(Offset(result.end - 1))

    def _note_progress(self, result: ReadBatch, sent_at: float) -> None:
        if self._seek is not None or self._folded < result.end - 1:
            return
        self._fresh_at = sent_at
        self._caught_up = True

    def _begin_seeking(self, result: ReadStartExpired) -> None:
        if self._seek is None:
            _log.warning(
                "log.start_gone",
                stream=self.stream,
                wanted=self._folded + 1,
                first_retained=result.first_retained,
            )
        self._caught_up = False
        self._seek = result.first_retained
        self._assembler.clear()

    def _collect(self, batch: ReadBatch) -> None:
        for entry in batch.entries:
            self._seek = Offset(entry.offset + 1)
            record = _decoded(entry)
            if not isinstance(record, Record):
                continue
            found = self._assembler.add(entry.offset, record)
            if found is None or found.as_of + 1 < batch.first_retained:
                continue
            if found.as_of < self._folded:
                continue
            if self._load(found):
                return

    def _load(self, found: Checkpoint) -> bool:
        try:
            self._fold.load(found.data)
        except ValueError as error:
            _log.error("log.checkpoint_unreadable", error=repr(error))
            return False
        self._folded = found.as_of
        self._seek = None
        self._window.clear()
        self._window_bytes = 0
        self._assembler.clear()
        self._on_loaded()
        return True

    def _keep(self, entry: LogEntry) -> None:
        """Keeps an entry for peers, within a bound on bytes."""
        self._window.append(entry)
        self._window_bytes += len(entry.payload)
        while self._window_bytes > WINDOW_BYTES:
            oldest = self._window.popleft()
            self._window_bytes -= len(oldest.payload)

    def _fold_entries(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.offset <= self._folded:
                continue
            if entry.offset != self._folded + 1:
                return
            record = _decoded(entry)
            if isinstance(record, UnreadableRecord):
                self._unreadable = record.format
                self.hear(entry.offset)
                return
            self._folded = entry.offset
            self.hear(entry.offset)
            self._keep(entry)
            if record is None:
                continue
            verdict = self._fold.apply(entry.offset, record)
            self._on_folded(entry.offset, record, verdict)

    def _nudge(self) -> None:
        self._timer = self._clock.callLater(CATCH_UP_INTERVAL_S, self._nudge)
        stuck = self._folded == self._folded_before
        self._folded_before = self._folded
        if self._seek is not None or not stuck:
            return
        if self._failing or self._newest > self._folded:
            self._ask_peer(self.stream, Offset(self._folded + 1))

    def _sleep(self, seconds: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(seconds, _fire, done)
        return done

    def _stopped(self, failure: object) -> None:
        if self._running:
            _log.error("log.reader_failed", error=str(failure))


def _fire(done: Deferred[None]) -> None:
    if not done.called:
        done.callback(None)


def _decoded(entry: LogEntry) -> Record | UnreadableRecord | None:
    try:
        return decode_record(entry.payload)
    except CodecError as error:
        _log.error("log.foreign_entry", offset=entry.offset, error=repr(error))
        return None
