"""Writes one session's records to a log stream, in order, once each."""

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

__all__ = ["LogWriter", "PreferredRelay", "Relay"]

FLUSH_S = 0.02
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
READ_BACK_LIMIT_S = 2.0
PATIENT_HOLD_S = 0.1
PREFERRED_LIMIT_S = 0.5
PREFERRED_PAUSE_S = 5.0
MAX_PENDING_RECORDS = 10_000
MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 1024 * 1024

Relay = Callable[[StreamName, tuple[bytes, ...]], bool]
PreferredRelay = Callable[[StreamName, tuple[bytes, ...], float], bool]


@dataclass(slots=True)
class _Pending:
    sequence: int
    payload: bytes
    submitted_at: float
    patient: bool
    done: Deferred[WriteResult]


class LogWriter:
    """Group commit with one batch on its way.

    A record is done when it is read back, not when the log answers. A
    batch that is not read back is appended again with the same payloads
    and sequences, by turns directly and through a peer, so that a fold
    takes each record once and in order.

    Args:
        stream: The stream to write to.
        session: The writer.
        log: The platform's log service.
        clock: Times flushes and retries.
        relay: Passes payloads to a connected peer that appends them;
            returns False when there is none.
        preferred: Passes payloads, with how long they may be held, to
            the member that appends for all; returns False when there is
            none. Left out for a while after it has failed.
        flush_s: Least time between two appends of the cell; records wait
            here for that long, but at most ``FLUSH_S``, to share one.
    """

    def __init__(
        self,
        stream: StreamName,
        session: SessionId,
        log: LogService,
        clock: Clock,
        *,
        relay: Relay,
        preferred: PreferredRelay | None = None,
        flush_s: float = FLUSH_S,
        max_pending: int = MAX_PENDING_RECORDS,
    ) -> None:
        self.session = session
        self._stream = stream
        self._log = log
        self._clock = clock
        self._relay = relay
        self._preferred = preferred
        self._preferred_from = float("-inf")
        self._used_preferred = False
        self._flush_s = flush_s
        self._max_pending = max_pending
        self._next_sequence = 1
        self._queue: deque[_Pending] = deque()
        self._batch_by_sequence: dict[int, _Pending] = {}
        self._attempt = 0
        self._timer: Timer | None = None
        self._closed = ""

    @property
    def pending(self) -> int:
        """How many records are not read back yet."""
        return len(self._queue) + len(self._batch_by_sequence)

    def oldest_age_s(self) -> float:
        """Returns for how long the oldest record has been waiting."""
        if self._batch_by_sequence:
            oldest = next(iter(self._batch_by_sequence.values()))
        elif self._queue:
            oldest = self._queue[0]
        else:
            return 0.0
        return self._clock.seconds() - oldest.submitted_at

    def submit(
        self, body: RecordBody, *, patient: bool = False
    ) -> Deferred[WriteResult]:
        """Writes a record.

        Args:
            body: What it says.
            patient: Whether it may be held for a moment to share an
                append with other writers' records.

        Returns:
            What became of it, once read back. A full queue or a closed
            writer answers at once with offset -1 and no acceptance: the
            record is not and will not be in the log.
        """
        if self._closed:
            return succeed(_refused(self._closed))
        if self.pending >= self._max_pending:
            return succeed(_refused("too many records are waiting"))
        record = Record(self.session, self._next_sequence, body)
        pending = _Pending(
            sequence=record.sequence,
            payload=encode_record(record),
            submitted_at=self._clock.seconds(),
            patient=patient,
            done=Deferred(self._cancelled),
        )
        self._next_sequence += 1
        self._queue.append(pending)
        self._schedule_flush()
        return pending.done

    def folded(self, offset: Offset, record: Record, verdict: Verdict) -> None:
        """Takes a record of this writer that was read back."""
        pending = self._batch_by_sequence.pop(record.sequence, None)
        if not self._batch_by_sequence and self._attempt:
            self._finish_batch()
        if pending is not None and not pending.done.called:
            pending.done.callback(WriteResult(offset, verdict))

    def close(self, why: str) -> None:
        """Ends the writer once its session's records can't count.

        Args:
            why: Told to whoever waits for a record.
        """
        self._closed = why
        self._stop_timer()
        waiting = [*self._batch_by_sequence.values(), *self._queue]
        self._batch_by_sequence.clear()
        self._queue.clear()
        self._attempt = 0
        for pending in waiting:
            if not pending.done.called:
                pending.done.callback(_refused(why))

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
        if attempt == 1 and self._append_preferred(payloads):
            return
        if self._used_preferred:
            self._preferred_failed(attempt)
            attempt -= 1
        if attempt % 2 == 0 and self._relay(self._stream, payloads):
            self._retry_after(_retry_s(attempt))
            return
        self._retry_after(READ_BACK_LIMIT_S)
        first = next(iter(self._batch_by_sequence))
        answer = ensureDeferred(self._log.append(self._stream, payloads))
        answer.addBoth(self._answered, first, self._attempt)

    def _append_preferred(self, payloads: tuple[bytes, ...]) -> bool:
        self._used_preferred = False
        if self._preferred is None:
            return False
        if self._clock.seconds() < self._preferred_from:
            return False
        batch = self._batch_by_sequence.values()
        patient = all(pending.patient for pending in batch)
        hold_s = PATIENT_HOLD_S if patient else 0.0
        if not self._preferred(self._stream, payloads, hold_s):
            return False
        self._used_preferred = True
        self._retry_after(PREFERRED_LIMIT_S + hold_s + self._flush_s)
        return True

    def _preferred_failed(self, attempt: int) -> None:
        if attempt == 2:
            now = self._clock.seconds()
            self._preferred_from = now + PREFERRED_PAUSE_S

    def _answered(
        self, result: AppendResult | Failure, first: int, attempt: int
    ) -> None:
        if isinstance(result, Appended) or attempt != self._attempt:
            return
        if first not in self._batch_by_sequence:
            return
        self._retry_after(_retry_s(attempt))

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

    def _cancelled(self, done: Deferred[WriteResult]) -> None:
        for pending in self._queue:
            if pending.done is done:
                self._queue.remove(pending)
                return


def _retry_s(attempt: int) -> float:
    return min(FIRST_RETRY_S * 2.0 ** (attempt - 1), MAX_RETRY_S)


def _refused(why: str) -> WriteResult:
    return WriteResult(NO_OFFSET, Verdict(False, why))
