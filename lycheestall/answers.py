"""Answers of calls: relayed to readers, kept, and resumed."""

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
"""A reader of an answer, in order of attachment."""

RETAINED_BYTES = 64 * 1024 * 1024
SLICE_BYTES = 64 * 1024
PUMP_INTERVAL_S = 0.05
HANDED_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class AnswerKey:
    """Names an answer: one call of one program of one account.

    Attributes:
        account: Who pays.
        program: The program, with its parents' path.
        number: The call's number.
        adopted: The idempotency key of a call that a lost owner had
            numbered; empty for calls numbered here.
    """

    account: AccountId
    program: ProgramId
    number: CallNumber
    adopted: IdempotencyKey = IdempotencyKey("")


class Reader(CallHandle):
    """One sink's position in an answer.

    A congested sink stays where it is and costs no copy; ``pump`` goes
    on once it has room.
    """

    def __init__(
        self, answer: Answer, sink: CallSink, start: int, identity: ReaderId
    ) -> None:
        self._answer = answer
        self._sink = sink
        self._position = start
        self._identity = identity
        self._started = False

    def detach(self) -> None:
        """Takes the reader off; the answer goes on without it."""
        self._answer.drop(self._identity)

    def pump(self) -> None:
        """Gives the sink what it has room for."""
        answer = self._answer
        if answer.head is not None and not self._started:
            self._started = True
            self._sink.start(answer.head)
        while self._position < answer.size:
            if self._sink.congested():
                answer.lagging()
                return
            data = answer.slice(self._position)
            self._position += len(data)
            self._sink.chunk(data)
        if answer.outcome is not None:
            self.end(answer.outcome)

    def end(self, outcome: Outcome) -> None:
        """Finishes the sink, once."""
        if self._answer.drop(self._identity):
            self._sink.finish(outcome)


class Answer:
    """One call's answer: head, body so far, outcome, and its readers.

    Attributes:
        head: Status and headers, None until known.
        outcome: The final outcome, None while the call is under way.
        lagging: Called when a reader has no room.

    Args:
        lagging: Hears that a reader has no room.
    """

    def __init__(self, lagging: Callable[[], None]) -> None:
        self.lagging = lagging
        self.head: ResponseHead | None = None
        self.outcome: Outcome | None = None
        self._body = bytearray()
        self._reader_by_id: dict[ReaderId, Reader] = {}
        self._next_id = 0

    @property
    def size(self) -> int:
        """Returns the bytes of the body so far."""
        return len(self._body)

    @property
    def body(self) -> bytes:
        """Returns the body so far."""
        return bytes(self._body)

    @property
    def readers(self) -> int:
        """Returns how many readers are attached."""
        return len(self._reader_by_id)

    def slice(self, start: int) -> bytes:
        """Returns up to ``SLICE_BYTES`` of the body from ``start`` on."""
        return bytes(self._body[start : start + SLICE_BYTES])

    def start(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self.head = head
        self.pump()

    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the body."""
        self._body += data
        self.pump()

    def finish(self, outcome: Outcome) -> None:
        """Takes the final outcome; a second one is ignored."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.pump()

    def attach(self, sink: CallSink, start: int = 0) -> Reader:
        """Adds a reader that has the first ``start`` bytes already."""
        identity = ReaderId(self._next_id)
        self._next_id += 1
        reader = Reader(self, sink, start, identity)
        self._reader_by_id[identity] = reader
        reader.pump()
        return reader

    def pump(self) -> None:
        """Lets every reader go on."""
        for reader in list(self._reader_by_id.values()):
            reader.pump()

    def drop(self, identity: ReaderId) -> bool:
        """Takes a reader off; False when it was off already."""
        return self._reader_by_id.pop(identity, None) is not None

    def abandon(self) -> None:
        """Ends the readers of an answer that is kept no longer."""
        gone = Failed(
            Step.RELAY,
            Reason.ANSWER_GONE,
            detail="the answer was not read in time",
        )
        for reader in list(self._reader_by_id.values()):
            reader.end(gone)


class AnswerStore:
    """Answers by key, kept within a bound on time and bytes.

    Args:
        retention_s: How long a finished answer can be fetched.
        clock: Tells when readers that had no room are tried again.
        max_bytes: Most bytes of finished answers; the oldest go first.
    """

    def __init__(
        self,
        *,
        retention_s: float,
        clock: Clock,
        max_bytes: int = RETAINED_BYTES,
    ) -> None:
        self._retention_s = retention_s
        self._clock = clock
        self._max_bytes = max_bytes
        self._bytes = 0
        self._lagging: set[Answer] = set()
        self._open_by_key: dict[AnswerKey, Answer] = {}
        self._finished_by_key: OrderedDict[AnswerKey, tuple[float, Answer]]
        self._finished_by_key = OrderedDict()

    @property
    def retained_bytes(self) -> int:
        """Returns the bytes of finished answers."""
        return self._bytes

    def find(self, key: AnswerKey) -> Answer | None:
        """Returns an answer, None when it is unknown or gone."""
        open_answer = self._open_by_key.get(key)
        if open_answer is not None:
            return open_answer
        kept = self._finished_by_key.get(key)
        return None if kept is None else kept[1]

    def open(self, key: AnswerKey) -> Answer:
        """Begins an answer in place of an earlier one of the key."""
        self._forget(key)
        answer = Answer(lambda: self._lags(answer))
        self._open_by_key[key] = answer
        return answer

    def finished(self, key: AnswerKey) -> None:
        """Starts an answer's retention; evicts what is over the bound."""
        answer = self._open_by_key.pop(key, None)
        if answer is None:
            return
        until = self._clock.seconds() + self._retention_s
        self._finished_by_key[key] = (until, answer)
        self._bytes += answer.size
        while self._bytes > self._max_bytes and self._finished_by_key:
            self._forget(next(iter(self._finished_by_key)))

    def discard(self, key: AnswerKey) -> None:
        """Drops the answer of a call that was not run."""
        self._open_by_key.pop(key, None)
        self._forget(key)

    def acknowledge(self, key: AnswerKey) -> None:
        """Drops a finished answer that the caller is known to have."""
        kept = self._finished_by_key.get(key)
        if kept is not None and not kept[1].readers:
            self._forget(key)

    def expire(self) -> None:
        """Drops answers whose retention is over."""
        now = self._clock.seconds()
        while self._finished_by_key:
            key, (until, _) = next(iter(self._finished_by_key.items()))
            if until > now:
                return
            self._forget(key)

    def export(self, key: AnswerKey) -> list[object] | None:
        """Returns a whole kept answer for a handover.

        Returns:
            None when there is none, or it is over ``HANDED_BYTES``.
        """
        kept = self._finished_by_key.get(key)
        if kept is None or kept[1].size > HANDED_BYTES:
            return None
        head, outcome = kept[1].head, kept[1].outcome
        if head is None or not isinstance(outcome, Completed):
            return None
        headers = [list(pair) for pair in head.headers]
        return [head.status, headers, kept[1].body, list(astuple(outcome))]

    def restore(self, key: AnswerKey, state: Any) -> None:
        """Keeps an answer that ``export`` made elsewhere."""
        status, headers, body, outcome = state
        answer = self.open(key)
        pairs = tuple((name, value) for name, value in headers)
        answer.start(ResponseHead(status, pairs))
        answer.chunk(body)
        answer.finish(Completed(*outcome))
        self.finished(key)

    def _lags(self, answer: Answer) -> None:
        if not self._lagging:
            self._clock.callLater(PUMP_INTERVAL_S, self._pump)
        self._lagging.add(answer)

    def _pump(self) -> None:
        lagging, self._lagging = self._lagging, set()
        for answer in lagging:
            answer.pump()

    def _forget(self, key: AnswerKey) -> None:
        kept = self._finished_by_key.pop(key, None)
        if kept is None:
            return
        self._bytes -= kept[1].size
        kept[1].abandon()
