"""Writes a call's response to the caller's HTTP connection."""

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

MAX_PAUSED_BYTES = 1024 * 1024
FLUSH_INTERVAL_S = 0.01

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
    """Returns the HTTP status for an outcome.

    Args:
        outcome: A call's final outcome.
    """
    if isinstance(outcome, Completed):
        return 200
    if isinstance(outcome, Failed):
        return _FAILED_STATUS
    return _STATUS_BY_REASON.get(outcome.reason, _REFUSED_STATUS)


def error_document(outcome: Refused | Failed) -> dict[str, object]:
    """Returns an error response body in the usual format of chat APIs.

    Args:
        outcome: The refusal or failure.
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
    """Writes one HTTP response.

    The first chunk is written at once; chunks that arrive within
    ``FLUSH_INTERVAL_S`` of a write are combined into the next one. If a
    slow reader keeps the write buffer full while more than
    ``MAX_PAUSED_BYTES`` arrive, the connection is closed; the caller can
    resume the response from where it was interrupted.

    Args:
        request: The caller's request.
        clock: Schedules the writes.

    Attributes:
        finished: Fires when the response is written or the caller has
            disconnected.
    """

    def __init__(self, request: Request, *, clock: Clock) -> None:
        self._request = request
        self._clock = clock
        self._chunks: list[bytes] = []
        self._flush_timer: Timer | None = None
        self._flushed_at = float("-inf")
        self._started = False
        self._closed = False
        self._paused = False
        self._paused_bytes = 0
        self._handle: CallHandle | None = None
        self.finished: Deferred[None] = Deferred()
        request.notifyFinish().addErrback(self._on_disconnect)
        request.registerProducer(self, True)

    def attach(self, handle: CallHandle) -> None:
        """Sets the call to detach from when the caller disconnects."""
        self._handle = handle
        if self._closed:
            handle.detach()

    def start(self, head: ResponseHead) -> None:
        """Sets status and headers."""
        if self._closed:
            return
        self._started = True
        self._request.setResponseCode(head.status)
        for name, value in head.headers:
            self._request.setHeader(name, value)

    def chunk(self, data: bytes) -> None:
        """Writes body bytes, or disconnects a caller that is too slow."""
        if self._closed:
            return
        if self._paused:
            self._paused_bytes += len(data)
        if self._paused_bytes > MAX_PAUSED_BYTES:
            self._request.loseConnection()
            return
        self._chunks.append(data)
        if self._flush_timer is not None:
            return
        wait_s = self._flushed_at + FLUSH_INTERVAL_S - self._clock.seconds()
        if wait_s <= 0:
            self._flush()
            return
        self._flush_timer = self._clock.callLater(wait_s, self._flush)

    def _flush(self) -> None:
        """Writes all chunks since the last write at once."""
        if self._flush_timer is not None and self._flush_timer.active():
            self._flush_timer.cancel()
        self._flush_timer = None
        if not self._chunks:
            return
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._flushed_at = self._clock.seconds()
        self._request.write(data)

    def finish(self, outcome: Outcome) -> None:
        """Ends the response, with an error body or event on failure."""
        if self._closed:
            return
        self._flush()
        self._closed = True
        if not self._started and not isinstance(outcome, Completed):
            self._write_error(outcome)
        elif not isinstance(outcome, Completed):
            self._write_error_event(outcome)
        self._request.unregisterProducer()
        self.finished.callback(None)

    def congested(self) -> bool:
        """Returns whether the connection's write buffer is full."""
        return self._paused

    def pauseProducing(self) -> None:  # noqa: N802
        """Records that the connection's write buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Records that the connection's write buffer has drained."""
        self._paused = False
        self._paused_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``notifyFinish`` reports the disconnect."""

    def _write_error(self, outcome: Refused | Failed) -> None:
        request = self._request
        request.setResponseCode(status_of(outcome))
        request.setHeader("content-type", "application/json")
        request.setHeader("lycheestall-outcome", outcome_kind(outcome))
        if outcome.retry_after_s > 0:
            seconds = max(1, round(outcome.retry_after_s))
            request.setHeader("retry-after", str(seconds))
        request.write(orjson.dumps(error_document(outcome)))

    def _write_error_event(self, outcome: Refused | Failed) -> None:
        document = orjson.dumps(error_document(outcome))
        self._request.write(b"event: error\ndata: " + document + b"\n\n")

    def _on_disconnect(self, _: Failure) -> None:
        if self._closed:
            return
        self._closed = True
        self._chunks.clear()
        self._flush()
        if self._handle is not None:
            self._handle.detach()
        self.finished.callback(None)


def bad_request(detail: str) -> Refused:
    """Returns the refusal of an invalid request.

    Args:
        detail: What is wrong with the request.
    """
    return Refused(Step.PARSE, Reason.BAD_REQUEST, detail=detail)
