"""Relays the answers of calls and stores them so readers can resume."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any, NewType

from .calls import CallHandle, CallSink, ResponseHead
from .clock import Clock
from .ids import AccountId, CallNumber, IdempotencyKey, ProgramId
from .outcomes import Completed, Failed, Outcome, Reason, Step

__all__ = ["Answer", "AnswerKey", "AnswerStore", "Reader", "ReaderId"]

ReaderId = NewType("ReaderId", int)
"""Numbers an answer's readers in the order they were attached."""

MAX_RETAINED_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
CONGESTION_RETRY_S = 0.05
MAX_HANDOVER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class AnswerKey:
    """Identifies the answer of one call.

    Attributes:
        account: The client account.
        program: The program's id, including the path of a sub-agent.
        number: The call's number.
        recovered_key: The idempotency key of a call that was numbered by
            an owner that failed; empty for calls numbered here.
    """

    account: AccountId
    program: ProgramId
    number: CallNumber
    recovered_key: IdempotencyKey = IdempotencyKey("")


class Reader(CallHandle):
    """Sends an answer to one sink, starting at any position.

    While the sink is congested, the reader keeps only its position and
    buffers nothing; ``send_pending`` continues from there.
    """

    def __init__(
        self, answer: Answer, sink: CallSink, start: int, reader_id: ReaderId
    ) -> None:
        self._answer = answer
        self._sink = sink
        self._position = start
        self._reader_id = reader_id
        self._started = False

    def detach(self) -> None:
        """Removes the reader; the answer continues without it."""
        self._answer.remove_reader(self._reader_id)

    def send_pending(self) -> None:
        """Sends the rest of the answer so far, until congested."""
        answer = self._answer
        if answer.head is not None and not self._started:
            self._started = True
            self._sink.start(answer.head)
        while self._position < answer.size:
            if self._sink.congested():
                answer.on_congested()
                return
            data = answer.read(self._position)
            self._position += len(data)
            self._sink.chunk(data)
        if answer.outcome is not None:
            self.end(answer.outcome)

    def end(self, outcome: Outcome) -> None:
        """Finishes the sink, unless the reader was removed before."""
        if self._answer.remove_reader(self._reader_id):
            self._sink.finish(outcome)


class Answer:
    """One call's answer: head, body so far, outcome and readers.

    Attributes:
        head: Status and headers, None until known.
        outcome: The final outcome, None while the call is running.
        on_congested: Called when a reader's sink is congested.

    Args:
        on_congested: Called when a reader's sink is congested.
    """

    def __init__(self, on_congested: Callable[[], None]) -> None:
        self.on_congested = on_congested
        self.head: ResponseHead | None = None
        self.outcome: Outcome | None = None
        self._body = bytearray()
        self._reader_by_id: dict[ReaderId, Reader] = {}
        self._next_id = 0

    @property
    def size(self) -> int:
        """Returns the length of the body so far, in bytes."""
        return len(self._body)

    @property
    def body(self) -> bytes:
        """Returns the body so far."""
        return bytes(self._body)

    @property
    def reader_count(self) -> int:
        """Returns the number of attached readers."""
        return len(self._reader_by_id)

    def read(self, start: int) -> bytes:
        """Returns up to ``CHUNK_BYTES`` of the body, from ``start``."""
        return bytes(self._body[start : start + CHUNK_BYTES])

    def start(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self.head = head
        self.send_to_readers()

    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the body."""
        self._body += data
        self.send_to_readers()

    def finish(self, outcome: Outcome) -> None:
        """Takes the final outcome; a second one is ignored."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.send_to_readers()

    def attach(self, sink: CallSink, start: int = 0) -> Reader:
        """Adds a reader that already has the first ``start`` bytes."""
        reader_id = ReaderId(self._next_id)
        self._next_id += 1
        reader = Reader(self, sink, start, reader_id)
        self._reader_by_id[reader_id] = reader
        reader.send_pending()
        return reader

    def send_to_readers(self) -> None:
        """Sends all readers what they have not received yet."""
        for reader in list(self._reader_by_id.values()):
            reader.send_pending()

    def remove_reader(self, reader_id: ReaderId) -> bool:
        """Removes a reader; returns False if it was already removed."""
        return self._reader_by_id.pop(reader_id, None) is not None

    def fail_readers(self) -> None:
        """Ends all readers, since the answer is no longer stored."""
        failed = Failed(
            Step.RELAY,
            Reason.ANSWER_GONE,
            detail="the answer was not read in time",
        )
        for reader in list(self._reader_by_id.values()):
            reader.end(failed)


class AnswerStore:
    """Stores answers by key, with bounds on age and total size.

    Args:
        retention_s: How long finished answers are stored, in seconds.
        clock: Measures retention and schedules retries to congested
            sinks.
        max_bytes: The most bytes of finished answers to store; beyond
            that, the oldest answers are dropped.
    """

    def __init__(
        self,
        *,
        retention_s: float,
        clock: Clock,
        max_bytes: int = MAX_RETAINED_BYTES,
    ) -> None:
        self._retention_s = retention_s
        self._clock = clock
        self._max_bytes = max_bytes
        self._retained_bytes = 0
        self._congested: set[Answer] = set()
        self._pending_by_key: dict[AnswerKey, Answer] = {}
        self._finished_by_key: OrderedDict[AnswerKey, tuple[float, Answer]]
        self._finished_by_key = OrderedDict()

    @property
    def retained_bytes(self) -> int:
        """Returns the total size of the finished answers, in bytes."""
        return self._retained_bytes

    def find(self, key: AnswerKey) -> Answer | None:
        """Returns an answer, or None if it is not stored."""
        pending = self._pending_by_key.get(key)
        if pending is not None:
            return pending
        finished = self._finished_by_key.get(key)
        return None if finished is None else finished[1]

    def open(self, key: AnswerKey) -> Answer:
        """Starts an answer, replacing a finished one with the same key."""
        self._drop(key)
        answer = Answer(lambda: self._schedule_retry(answer))
        self._pending_by_key[key] = answer
        return answer

    def mark_finished(self, key: AnswerKey) -> None:
        """Starts an answer's retention; drops the oldest beyond the limit."""
        answer = self._pending_by_key.pop(key, None)
        if answer is None:
            return
        expires_at = self._clock.seconds() + self._retention_s
        self._finished_by_key[key] = (expires_at, answer)
        self._retained_bytes += answer.size
        while self._retained_bytes > self._max_bytes and self._finished_by_key:
            self._drop(next(iter(self._finished_by_key)))

    def discard(self, key: AnswerKey) -> None:
        """Drops the answer of a call that was not run."""
        self._pending_by_key.pop(key, None)
        self._drop(key)

    def acknowledge(self, key: AnswerKey) -> None:
        """Drops an answer that the caller has, unless a reader is left."""
        finished = self._finished_by_key.get(key)
        if finished is not None and not finished[1].reader_count:
            self._drop(key)

    def expire(self) -> None:
        """Drops the answers whose retention has ended."""
        now = self._clock.seconds()
        while self._finished_by_key:
            key, (expires_at, _) = next(iter(self._finished_by_key.items()))
            if expires_at > now:
                return
            self._drop(key)

    def export(self, key: AnswerKey) -> list[object] | None:
        """Returns a completed answer in a form that a handover can send.

        Returns:
            None if there is none or its body is larger than
            ``MAX_HANDOVER_BYTES``.
        """
        finished = self._finished_by_key.get(key)
        if finished is None or finished[1].size > MAX_HANDOVER_BYTES:
            return None
        head, outcome = finished[1].head, finished[1].outcome
        if head is None or not isinstance(outcome, Completed):
            return None
        headers = [list(pair) for pair in head.headers]
        return [head.status, headers, finished[1].body, list(astuple(outcome))]

    def restore(self, key: AnswerKey, state: Any) -> None:
        """Stores an answer that ``export`` returned on another VM."""
        status, headers, body, outcome = state
        answer = self.open(key)
        pairs = tuple((name, value) for name, value in headers)
        answer.start(ResponseHead(status, pairs))
        answer.chunk(body)
        answer.finish(Completed(*outcome))
        self.mark_finished(key)

    def _schedule_retry(self, answer: Answer) -> None:
        if not self._congested:
            self._clock.callLater(CONGESTION_RETRY_S, self._retry_congested)
        self._congested.add(answer)

    def _retry_congested(self) -> None:
        congested, self._congested = self._congested, set()
        for answer in congested:
            answer.send_to_readers()

    def _drop(self, key: AnswerKey) -> None:
        finished = self._finished_by_key.pop(key, None)
        if finished is None:
            return
        self._retained_bytes -= finished[1].size
        finished[1].fail_readers()
