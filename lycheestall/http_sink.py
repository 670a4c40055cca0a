"""Writes one answer to a caller's HTTP connection."""

from __future__ import annotations

import orjson
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.server import Request

from .calls import CallHandle, CallSink, ResponseHead
from .clock import Clock, Timer
from .outcomes import (
    Completed,
    Failed,
    Outcome,
    Reason,
    Refused,
    Step,
    outcome_kind,
)

__all__ = ["HttpSink", "error_document", "status_of"]

MAX_PENDING_BYTES = 1024 * 1024
FLUSH_S = 0.01

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.PROGRAM_UNKNOWN: 404,
    Reason.ANSWER_GONE: 410,
    Reason.PROGRAM_ENDED: 409,
    Reason.KEY_REUSED: 409,
    Reason.KEY_MISSING: 400,
    Reason.KEY_UNPROVEN: 409,
    Reason.CALL_GAP: 409,
    Reason.CALL_SUPERSEDED: 409,
    Reason.HISTORY_MISMATCH: 409,
    Reason.RECEIPT_REQUIRED: 428,
    Reason.BUDGET_SPENT: 402,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.TURN_LIMIT: 403,
    Reason.TIME_LIMIT: 403,
    Reason.QUARANTINED: 422,
    Reason.CANCELLED: 409,
}
_REFUSED_STATUS = 503
_FAILED_STATUS = 502


def status_of(outcome: Outcome) -> int:
    """Returns the HTTP status that fits an outcome.

    Args:
        outcome: A call's final outcome.
    """
    if isinstance(outcome, Completed):
        return 200
    if isinstance(outcome, Failed):
        return _FAILED_STATUS
    return _STATUS_BY_REASON.get(outcome.reason, _REFUSED_STATUS)


def error_document(outcome: Refused | Failed) -> dict[str, object]:
    """Returns the body of an error answer, in the usual chat API shape.

    Args:
        outcome: What went wrong.
    """
    refused = isinstance(outcome, Refused)
    return {
        "error": {
            "message": outcome.detail or outcome.reason.value,
            "type": outcome_kind(outcome),
            "outcome": outcome_kind(outcome),
            "step": outcome.step.value,
            "peer": outcome.peer,
            "reason": outcome.reason.value,
            "rule": outcome.rule if isinstance(outcome, Refused) else "",
            "needs": outcome.needs if isinstance(outcome, Refused) else "",
            "retry_after_s": outcome.retry_after_s,
            "not_run": refused,
        }
    }


class HttpSink(CallSink):
    """One HTTP response.

    Chunks that come within ``FLUSH_S`` of a write share the next one; the
    first goes out at once. A reader so slow that ``MAX_PENDING_BYTES``
    wait for it is dropped; the answer stays fetchable from where it
    broke.

    Args:
        request: The caller's request.
        clock: Times the writes.

    Attributes:
        finished: Fires once the response is written or the caller left.
    """

    def __init__(self, request: Request, *, clock: Clock) -> None:
        self._request = request
        self._clock = clock
        self._parts: list[bytes] = []
        self._flushing: Timer | None = None
        self._flushed_at = float("-inf")
        self._started = False
        self._gone = False
        self._paused = False
        self._pending = 0
        self._handle: CallHandle | None = None
        self.finished: Deferred[None] = Deferred()
        request.notifyFinish().addErrback(self._disconnected)
        request.registerProducer(self, True)

    def hold(self, handle: CallHandle) -> None:
        """Keeps the call's handle, to detach it if the caller leaves."""
        self._handle = handle
        if self._gone:
            handle.detach()

    def start(self, head: ResponseHead) -> None:
        """Writes status and headers."""
        if self._gone:
            return
        self._started = True
        self._request.setResponseCode(head.status)
        for name, value in head.headers:
            self._request.setHeader(name, value)

    def chunk(self, data: bytes) -> None:
        """Writes body bytes, unless the caller is too far behind."""
        if self._gone:
            return
        if self._paused:
            self._pending += len(data)
        if self._pending > MAX_PENDING_BYTES:
            self._request.loseConnection()
            return
        self._parts.append(data)
        if self._flushing is not None:
            return
        wait_s = self._flushed_at + FLUSH_S - self._clock.seconds()
        if wait_s <= 0:
            self._flush()
            return
        self._flushing = self._clock.callLater(wait_s, self._flush)

    def _flush(self) -> None:
        """Writes what has come since the last write, in one piece."""
        if self._flushing is not None and self._flushing.active():
            self._flushing.cancel()
        self._flushing = None
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._flushed_at = self._clock.seconds()
        self._request.write(data)

    def finish(self, outcome: Outcome) -> None:
        """Ends the response; renders an error if nothing was sent."""
        if self._gone:
            return
        self._flush()
        self._gone = True
        if not self._started and not isinstance(outcome, Completed):
            self._write_error(outcome)
        elif not isinstance(outcome, Completed):
            self._write_broken(outcome)
        self._request.unregisterProducer()
        self.finished.callback(None)

    def congested(self) -> bool:
        """Returns whether the connection asked to pause."""
        return self._paused

    def pauseProducing(self) -> None:  # noqa: N802
        """Notes that the connection's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Notes that the connection's buffer has drained."""
        self._paused = False
        self._pending = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Notes that the connection is gone."""

    def _write_error(self, outcome: Refused | Failed) -> None:
        request = self._request
        request.setResponseCode(status_of(outcome))
        request.setHeader("content-type", "application/json")
        request.setHeader("lycheestall-outcome", outcome_kind(outcome))
        if outcome.retry_after_s > 0:
            seconds = max(1, round(outcome.retry_after_s))
            request.setHeader("retry-after", str(seconds))
        request.write(orjson.dumps(error_document(outcome)))

    def _write_broken(self, outcome: Refused | Failed) -> None:
        document = orjson.dumps(error_document(outcome))
        self._request.write(b"event: error\ndata: " + document + b"\n\n")

    def _disconnected(self, _: Failure) -> None:
        if self._gone:
            return
        self._gone = True
        self._parts.clear()
        self._flush()
        if self._handle is not None:
            self._handle.detach()
        self.finished.callback(None)


def bad_request(detail: str) -> Refused:
    """Returns the refusal of a request that cannot be understood.

    Args:
        detail: What is wrong with it.
    """
    return Refused(Step.PARSE, Reason.BAD_REQUEST, detail=detail)
