"""Writes one session's records to a log stream, ordered and exactly once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.python.failure import Failure

from .cell_view import WriteResult
from .clock import Clock, Timer
from .codec import encode_record
from .fold import Verdict
from .ids import Offset, SessionId, StreamName
from .platform_services import Appended, AppendResult, LogService
from .records import NO_OFFSET, Record, RecordBody

__all__ = ["AppendViaPeer", "AppendViaRelay", "LogWriter"]

FLUSH_S = 0.02
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
READ_BACK_TIMEOUT_S = 2.0
MAX_HOLD_S = 0.1
RELAY_TIMEOUT_S = 0.5
RELAY_PAUSE_S = 5.0
MAX_PENDING_RECORDS = 10_000
MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 1024 * 1024

AppendViaPeer = Callable[[StreamName, tuple[bytes, ...]], bool]
AppendViaRelay = Callable[[StreamName, tuple[bytes, ...], float], bool]


@dataclass(slots=True)
class _PendingRecord:
    sequence: int
    payload: bytes
    submitted_at: float
    can_hold: bool
    done: Deferred[WriteResult]


class LogWriter:
    """Writes records in batches (group commit), one batch in flight.

    A record is done when it is read back, not when the log responds. A
    batch that is not read back is appended again with the same payloads
    and sequences, alternating between the log and a peer. A fold ignores
    duplicate sequences, so it takes each record once and in order.

    Args:
        stream: The stream to write to.
        session: The session that writes.
        log: The platform's log service.
        clock: Schedules flushes and retries.
        append_via_peer: Sends payloads to any connected peer, which
            appends them; returns False if there is none.
        append_via_relay: Sends payloads, with how long they may be held,
            to the relay, the member that appends for all; returns False
            if there is none. Not used for ``RELAY_PAUSE_S`` after the
            relay has failed.
        flush_s: Minimum time between two appends of the cell. Records
            wait in this writer for that long, but at most ``FLUSH_S``,
            to be batched.
        max_pending: Maximum number of records that are not read back.
    """

    def __init__(
        self,
        stream: StreamName,
        session: SessionId,
        log: LogService,
        clock: Clock,
        *,
        append_via_peer: AppendViaPeer,
        append_via_relay: AppendViaRelay | None = None,
        flush_s: float = FLUSH_S,
        max_pending: int = MAX_PENDING_RECORDS,
    ) -> None:
        self.session = session
        self._stream = stream
        self._log = log
        self._clock = clock
        self._append_via_peer = append_via_peer
        self._append_via_relay = append_via_relay
        self._relay_paused_until = float("-inf")
        self._sent_via_relay = False
        self._flush_s = flush_s
        self._max_pending = max_pending
        self._next_sequence = 1
        self._queue: deque[_PendingRecord] = deque()
        self._batch_by_sequence: dict[int, _PendingRecord] = {}
        self._attempt = 0
        self._timer: Timer | None = None
        self._close_reason = ""

    @property
    def pending(self) -> int:
        """The number of records that are not read back yet."""
        return len(self._queue) + len(self._batch_by_sequence)

    def oldest_age_s(self) -> float:
        """Returns the age of the oldest record not yet read back."""
        if self._batch_by_sequence:
            oldest = next(iter(self._batch_by_sequence.values()))
        elif self._queue:
            oldest = self._queue[0]
        else:
            return 0.0
        return self._clock.seconds() - oldest.submitted_at

    def submit(
        self, body: RecordBody, *, can_hold: bool = False
    ) -> Deferred[WriteResult]:
        """Queues a record to be written.

        Args:
            body: The record's body.
            can_hold: Whether the relay may hold it for ``MAX_HOLD_S`` to
                share an append with other writers' records.

        Returns:
            Fires with the fold's verdict once the record is read back. If
            the queue is full or the writer is closed, it fires at once
            with offset -1 and a rejection: the record is not in the log
            and never will be.
        """
        if self._close_reason:
            return succeed(_rejected(self._close_reason))
        if self.pending >= self._max_pending:
            return succeed(_rejected("too many records are waiting"))
        record = Record(self.session, self._next_sequence, body)
        pending = _PendingRecord(
            sequence=record.sequence,
            payload=encode_record(record),
            submitted_at=self._clock.seconds(),
            can_hold=can_hold,
            done=Deferred(self._on_cancelled),
        )
        self._next_sequence += 1
        self._queue.append(pending)
        self._schedule_flush()
        return pending.done

    def on_folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        """Handles a record of this writer that was read back."""
        pending = self._batch_by_sequence.pop(record.sequence, None)
        if not self._batch_by_sequence and self._attempt:
            self._finish_batch()
        if pending is not None and not pending.done.called:
            pending.done.callback(WriteResult(offset, verdict))

    def close(self, reason: str) -> None:
        """Closes the writer; later records of its session are invalid.

        Args:
            reason: The rejection reason of all pending records.
        """
        self._close_reason = reason
        self._stop_timer()
        waiting = [*self._batch_by_sequence.values(), *self._queue]
        self._batch_by_sequence.clear()
        self._queue.clear()
        self._attempt = 0
        for pending in waiting:
            if not pending.done.called:
                pending.done.callback(_rejected(reason))

    def _schedule_flush(self) -> None:
        if self._batch_by_sequence or self._timer is not None:
            return
        wait_s = min(self._flush_s, FLUSH_S)
        self._timer = self._clock.callLater(wait_s, self._flush)

    def _flush(self) -> None:
        self._timer = None
        size = 0
        while self._queue and len(self._batch_by_sequence) < (
            MAX_BATCH_RECORDS
        ):
            size += len(self._queue[0].payload)
            if self._batch_by_sequence and size > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if pending.done.called:
                continue
            self._batch_by_sequence[pending.sequence] = pending
        if self._batch_by_sequence:
            self._append()

    def _append(self) -> None:
        self._timer = None
        self._attempt += 1
        attempt = self._attempt
        payloads = tuple(
            pending.payload for pending in self._batch_by_sequence.values()
        )
        if attempt == 1 and self._send_via_relay(payloads):
            return
        if self._sent_via_relay:
            self._pause_relay(attempt)
            attempt -= 1  # so that the first retry goes to the log directly
        if attempt % 2 == 0 and self._append_via_peer(self._stream, payloads):
            self._retry_after(_retry_delay_s(attempt))
            return
        self._retry_after(READ_BACK_TIMEOUT_S)
        first = next(iter(self._batch_by_sequence))
        appending = ensureDeferred(self._log.append(self._stream, payloads))
        appending.addBoth(self._on_append_result, first, self._attempt)

    def _send_via_relay(self, payloads: tuple[bytes, ...]) -> bool:
        self._sent_via_relay = False
        if self._append_via_relay is None:
            return False
        if self._clock.seconds() < self._relay_paused_until:
            return False
        batch = self._batch_by_sequence.values()
        can_hold = all(pending.can_hold for pending in batch)
        hold_s = MAX_HOLD_S if can_hold else 0.0
        if not self._append_via_relay(self._stream, payloads, hold_s):
            return False
        self._sent_via_relay = True
        self._retry_after(RELAY_TIMEOUT_S + hold_s + self._flush_s)
        return True

    def _pause_relay(self, attempt: int) -> None:
        """Pauses use of the relay at a batch's first retry."""
        if attempt == 2:
            now = self._clock.seconds()
            self._relay_paused_until = now + RELAY_PAUSE_S

    def _on_append_result(
        self, result: AppendResult | Failure, first: int, attempt: int
    ) -> None:
        if isinstance(result, Appended) or attempt != self._attempt:
            return
        if first not in self._batch_by_sequence:
            return
        self._retry_after(_retry_delay_s(attempt))

    def _retry_after(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._clock.callLater(seconds, self._append)

    def _finish_batch(self) -> None:
        self._attempt = 0
        self._stop_timer()
        if self._queue:
            self._schedule_flush()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_cancelled(self, done: Deferred[WriteResult]) -> None:
        for pending in self._queue:
            if pending.done is done:
                self._queue.remove(pending)
                return


def _retry_delay_s(attempt: int) -> float:
    return min(FIRST_RETRY_S * 2.0 ** (attempt - 1), MAX_RETRY_S)


def _rejected(reason: str) -> WriteResult:
    return WriteResult(NO_OFFSET, Verdict(False, reason))
