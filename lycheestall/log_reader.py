"""Reads a log stream continuously and applies its entries to a fold."""

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
PROGRESS_CHECK_INTERVAL_S = 0.1
MAX_WINDOW_BYTES = 8 * 1024 * 1024
MAX_TAIL_BYTES = 1024 * 1024
PUSH_TIMEOUT_S = 2.0
PUSH_CHECK_INTERVAL_S = 0.1
MAX_READ_ENTRIES = 1000

FoldedHandler = Callable[[Offset, Record, Verdict], None]

_log = structlog.get_logger(__name__)


class LogReader:
    """Applies a stream's entries to a fold, in order and without gaps.

    The reader long-polls the log. If the log does not respond, it asks a
    peer for the entries. While a peer pushes all new entries, the reader
    does not poll. If the log no longer retains the next entry, the reader
    scans the stream for a checkpoint and is not ``ready`` until it has
    loaded one.

    Args:
        stream: The stream to read.
        fold: Receives each entry once.
        log: The platform's log service.
        clock: Schedules timeouts and retries.
        on_folded: Called with each record after it was folded.
        on_loaded: Called after a checkpoint has replaced the state.
        request_tail: Asks a peer for the entries from an offset on.
        on_read: Called with the entries of each read of the log, but not
            with entries from peers, so that they can be pushed to peers.
        must_read: Returns whether to poll the log even while a peer
            pushes entries.
        assembler: Reassembles checkpoints; needed for a stream with its
            own type of checkpoint record.
        poll_wait_s: How long the log may hold a read without entries.
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
        request_tail: Callable[[StreamName, Offset], None],
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
        self._request_tail = request_tail
        self._on_read = on_read
        self._must_read = must_read
        self._last_push_at = float("-inf")
        self._assembler = assembler or CheckpointAssembler()
        self._poll_wait_s = poll_wait_s
        self._window: deque[LogEntry] = deque()
        self._window_bytes = 0
        self._newest = NO_OFFSET
        self._folded = NO_OFFSET
        self._first_retained = NO_OFFSET
        self._search_offset: Offset | None = None
        self._caught_up = False
        self._running = False
        self._read_loop_task: Deferred[None] | None = None
        self._progress_timer: Timer | None = None
        self._last_checked_offset = NO_OFFSET
        self._unreadable_format = 0
        self._last_response_at: float | None = None
        self._up_to_date_at: float | None = None
        self._recovered_at = float("-inf")
        self._failing = False

    @property
    def newest(self) -> Offset:
        """The highest offset known to exist."""
        return self._newest

    @property
    def folded(self) -> Offset:
        """The highest offset that was applied to the fold."""
        return self._folded

    @property
    def first_retained(self) -> Offset:
        """The oldest offset that the log retained at the last read, or -1."""
        return self._first_retained

    @property
    def ready(self) -> bool:
        """Whether the reader has caught up and is not missing entries."""
        return self._caught_up and self._search_offset is None

    @property
    def unreadable_format(self) -> int:
        """The unsupported record format that blocks this reader, or 0."""
        return self._unreadable_format

    @property
    def up_to_date_at(self) -> float | None:
        """When the latest read that left no unfolded entries was sent."""
        return self._up_to_date_at

    @property
    def recovered_at(self) -> float:
        """When the log last responded after a failed read or at start."""
        return self._recovered_at

    @property
    def failing(self) -> bool:
        """Whether the latest read of the log failed."""
        return self._failing

    def start(self) -> None:
        """Starts reading the stream."""
        self._running = True
        self._read_loop_task = ensureDeferred(self._read_loop())
        self._read_loop_task.addErrback(self._on_read_loop_failed)
        self._progress_timer = self._clock.callLater(
            PROGRESS_CHECK_INTERVAL_S, self._check_progress
        )

    def stop(self) -> None:
        """Stops reading; the fold keeps its state."""
        self._running = False
        if self._read_loop_task is not None:
            self._read_loop_task.cancel()
        if self._progress_timer is not None and self._progress_timer.active():
            self._progress_timer.cancel()

    def note_newest(self, newest: Offset) -> None:
        """Records that an offset exists, as reported by a peer."""
        self._newest = max(self._newest, newest)

    def add_from_peer(
        self, entries: Sequence[LogEntry], *, pushed: bool = False
    ) -> None:
        """Folds entries that a peer sent.

        Args:
            entries: Consecutive entries.
            pushed: Whether the peer pushes all new entries without being
                asked; the log is not polled meanwhile.
        """
        if not self._running or self._search_offset is not None:
            return
        self._fold_entries(entries)
        if pushed:
            self._last_push_at = self._clock.seconds()

    def recent_entries(self, start: Offset) -> tuple[LogEntry, ...]:
        """Returns recently folded entries from ``start`` on, for a peer.

        Returns:
            Consecutive entries; empty if ``start`` is before the window.
        """
        if not self._window or start < self._window[0].offset:
            return ()
        first = start - self._window[0].offset
        entries: list[LogEntry] = []
        size = 0
        for entry in islice(self._window, first, None):
            size += len(entry.payload)
            if entries and size > MAX_TAIL_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    async def _read_loop(self) -> None:
        while self._running:
            if self._receives_pushes():
                await self._sleep(PUSH_CHECK_INTERVAL_S)
                continue
            sent_at = self._clock.seconds()
            result = await self._read(self._next_offset())
            if isinstance(result, ReadFailed):
                self._failing = True
                await self._sleep(RETRY_INTERVAL_S)
                continue
            self._on_read_response(result)
            if isinstance(result, ReadStartExpired):
                self._begin_checkpoint_search(result)
                continue
            if self._search_offset is not None:
                self._search_checkpoint(result)
            else:
                self._fold_entries(result.entries)
                if result.entries and self._on_read is not None:
                    self._on_read(self.stream, result.entries)
            self._update_progress(result, sent_at)
            if self._unreadable_format:
                await self._sleep(POLL_WAIT_S)

    def _receives_pushes(self) -> bool:
        """Returns whether pushes from a peer replace polling for now."""
        if not self._caught_up or self._newest > self._folded:
            return False
        if self._must_read is not None and self._must_read(self.stream):
            return False
        return self._clock.seconds() - self._last_push_at < PUSH_TIMEOUT_S

    def _next_offset(self) -> Offset:
        if self._search_offset is not None:
            return self._search_offset
        return Offset(self._folded + 1)

    async def _read(self, start: Offset) -> ReadResult:
        read = ensureDeferred(
            self._log.read(
                self.stream,
                start,
                limit=MAX_READ_ENTRIES,
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

    def _on_read_response(self, result: ReadBatch | ReadStartExpired) -> None:
        now = self._clock.seconds()
        if self._failing or self._last_response_at is None:
            self._recovered_at = now
        self._failing = False
        self._last_response_at = now
        self._first_retained = result.first_retained
        self.note_newest(Offset(result.end - 1))

    def _update_progress(self, result: ReadBatch, sent_at: float) -> None:
        if self._search_offset is not None or self._folded < result.end - 1:
            return
        self._up_to_date_at = sent_at
        self._caught_up = True

    def _begin_checkpoint_search(self, result: ReadStartExpired) -> None:
        if self._search_offset is None:
            _log.warning(
                "log.start_gone",
                stream=self.stream,
                wanted=self._folded + 1,
                first_retained=result.first_retained,
            )
        self._caught_up = False
        self._search_offset = result.first_retained
        self._assembler.clear()

    def _search_checkpoint(self, batch: ReadBatch) -> None:
        for entry in batch.entries:
            self._search_offset = Offset(entry.offset + 1)
            record = _decode_entry(entry)
            if not isinstance(record, Record):
                continue
            checkpoint = self._assembler.add(entry.offset, record)
            if (
                checkpoint is None
                or checkpoint.as_of + 1 < batch.first_retained
            ):
                continue
            if checkpoint.as_of < self._folded:
                continue
            if self._load_checkpoint(checkpoint):
                return

    def _load_checkpoint(self, checkpoint: Checkpoint) -> bool:
        try:
            self._fold.load(checkpoint.data)
        except ValueError as error:
            _log.error("log.checkpoint_unreadable", error=repr(error))
            return False
        self._folded = checkpoint.as_of
        self._search_offset = None
        self._window.clear()
        self._window_bytes = 0
        self._assembler.clear()
        self._on_loaded()
        return True

    def _add_to_window(self, entry: LogEntry) -> None:
        """Adds an entry to the window kept for peers, bounded in bytes."""
        self._window.append(entry)
        self._window_bytes += len(entry.payload)
        while self._window_bytes > MAX_WINDOW_BYTES:
            oldest = self._window.popleft()
            self._window_bytes -= len(oldest.payload)

    def _fold_entries(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.offset <= self._folded:
                continue
            if entry.offset != self._folded + 1:
                return
            record = _decode_entry(entry)
            if isinstance(record, UnreadableRecord):
                self._unreadable_format = record.format
                self.note_newest(entry.offset)
                return
            self._folded = entry.offset
            self.note_newest(entry.offset)
            self._add_to_window(entry)
            if record is None:
                continue
            verdict = self._fold.apply(entry.offset, record)
            self._on_folded(entry.offset, record, verdict)

    def _check_progress(self) -> None:
        self._progress_timer = self._clock.callLater(
            PROGRESS_CHECK_INTERVAL_S, self._check_progress
        )
        stuck = self._folded == self._last_checked_offset
        self._last_checked_offset = self._folded
        if self._search_offset is not None or not stuck:
            return
        if self._failing or self._newest > self._folded:
            self._request_tail(self.stream, Offset(self._folded + 1))

    def _sleep(self, seconds: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(seconds, _resolve, done)
        return done

    def _on_read_loop_failed(self, failure: object) -> None:
        if self._running:
            _log.error("log.reader_failed", error=str(failure))


def _resolve(done: Deferred[None]) -> None:
    if not done.called:
        done.callback(None)


def _decode_entry(entry: LogEntry) -> Record | UnreadableRecord | None:
    try:
        return decode_record(entry.payload)
    except CodecError as error:
        _log.error("log.foreign_entry", offset=entry.offset, error=repr(error))
        return None
