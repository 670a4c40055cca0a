"""Sends a request to one target and tells how it ended."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    Stopped,
    StreamEnded,
    WholeAnswer,
)
from .connection_pool import ConnectionPool
from .header_codec import HeaderCodec
from .http_client_connection import (
    BreakReason,
    HttpClientConnection,
    ResponseReceiver,
)
from .http_messages import AnswerHead
from .request_facts import AnswerFacts
from .stream_forwarder import StreamForwarder

__all__ = ["TargetAttempt"]

_PROMISES_NOT_RUN = (408, 421, 429, 503)
_MISDIRECTED = 421


class TargetAttempt(ResponseReceiver):
    """One request at one target.

    Args:
        pool: Connections to the target.
        headers: Reads answers' headers.
        attempt: The request's id, which the answer must echo.
        data: The request's bytes.
        forwarder: Takes a successful stream; None where the answer is
            collected.
        bodiless: Whether the answer has no body.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        headers: HeaderCodec,
        *,
        attempt: bytes,
        forwarder: StreamForwarder | None,
        bodiless: bool,
    ) -> None:
        self._pool = pool
        self._headers = headers
        self._attempt = attempt
        self._forwarder = forwarder
        self._bodiless = bodiless
        self._connection: HttpClientConnection | None = None
        self._connecting: Deferred[HttpClientConnection] | None = None
        self._build: Callable[[], bytes] | None = None
        self._head: AnswerHead | None = None
        self._facts: AnswerFacts | None = None
        self._body: list[bytes] = []
        self._streaming = False
        self._ended = False
        self.sent = False
        self.outcome: Deferred[AttemptOutcome] = Deferred()

    def start(self, build: Callable[[], bytes]) -> None:
        """Connects and sends.

        Args:
            build: Returns the request's bytes, at the time of sending.
        """
        self._build = build
        self._connecting = self._pool.acquire()
        self._connecting.addCallbacks(self._connected, self._not_connected)

    def stop(self) -> None:
        """Gives up; the target's connection is closed at once."""
        if self._ended:
            return
        self._disconnect()
        self._end(Stopped(sent=self.sent))

    def overdue(self) -> None:
        """Gives up on this target, unless its answer has begun."""
        if self._ended or self._head is not None:
            return
        self._disconnect()
        if self.sent:
            self._end(Broken(BreakReason.OVERDUE, answered=False))
        else:
            self._end(NotSent("the connection is overdue"))

    def response_started(self, head: AnswerHead) -> bool:
        """Takes a head; one of another request is skipped."""
        facts = self._headers.answer_facts(head)
        if facts.attempt != self._attempt:
            return facts.attempt is None and self._unnamed(head, facts)
        self._head = head
        self._facts = facts
        if self._connection is not None:
            self._connection.idle_timeout_s = facts.idle_timeout_s
        if self._forwarder is None or not _succeeded(head, facts):
            return True
        self._streaming = True
        headers = self._headers.caller_headers(head.headers)
        self._forwarder.begin_run(head, headers)
        return True

    def response_body(self, data: bytes) -> None:
        """Forwards or collects a piece."""
        if self._ended:
            return
        if not self._streaming or self._forwarder is None:
            self._body.append(data)
            return
        if not self._forwarder.feed(data):
            self._break(BreakReason.MALFORMED)

    def response_ended(self) -> None:
        """Ends the attempt with the whole answer."""
        if self._ended:
            return
        if self._connection is not None:
            self._pool.release(self._connection)
        if self._streaming and self._forwarder is not None:
            if self._forwarder.end_run():
                self._end(StreamEnded())
            else:
                self._end(Broken(BreakReason.MALFORMED, answered=True))
            return
        self._end(self._judge())

    def response_failed(self, reason: BreakReason) -> None:
        """Ends the attempt without a whole answer."""
        self._end(Broken(reason, answered=self._head is not None))

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _unnamed(self, head: AnswerHead, facts: AnswerFacts) -> bool:
        # A refusal may come without the request's id.
        if not facts.not_run and head.status != _MISDIRECTED:
            return False
        self._head = head
        self._facts = facts
        return True

    def _judge(self) -> AttemptOutcome:
        head, facts = self._head, self._facts
        if head is None or facts is None:
            return Broken(BreakReason.MALFORMED, answered=False)
        body = b"".join(self._body)
        if facts.not_run or head.status == _MISDIRECTED:
            return NotRun(
                _not_run_reason(head.status), head.status, head, body
            )
        if head.status in _PROMISES_NOT_RUN or facts.encoded:
            return Broken(BreakReason.MALFORMED, answered=True)
        if head.status < 300 and not facts.sealed:
            return Broken(BreakReason.MALFORMED, answered=True)
        return WholeAnswer(head, body)

    def _connected(self, connection: HttpClientConnection) -> None:
        if self._ended or self._build is None:
            self._pool.release(connection)
            return
        self._connection = connection
        self.sent = True
        connection.send(self._build(), self, bodiless=self._bodiless)

    def _not_connected(self, failure: Failure) -> None:
        if failure.check(CancelledError):
            return
        self._end(NotSent(failure.getErrorMessage()))

    def _break(self, reason: BreakReason) -> None:
        if self._connection is not None:
            self._connection.abort()
        self._end(Broken(reason, answered=True))

    def _end(self, outcome: AttemptOutcome) -> None:
        if self._ended:
            return
        self._ended = True
        self.outcome.callback(outcome)


def _succeeded(head: AnswerHead, facts: AnswerFacts) -> bool:
    return head.status == 200 and facts.sealed and not facts.encoded


def _not_run_reason(status: int) -> NotRunReason:
    if status == _MISDIRECTED:
        return NotRunReason.OTHER_INSTANCE
    if status in (429, 503):
        return NotRunReason.FULL
    return NotRunReason.REFUSED
