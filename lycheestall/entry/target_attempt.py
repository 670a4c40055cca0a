"""Sends a request to one target and determines the outcome."""

from __future__ import annotations

from collections.abc import Callable

from twisted.python.failure import Failure

from .attempt import Attempt, StreamSink
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    StreamEnded,
    WholeAnswer,
)
from .connection_pool import ConnectionPool, is_timeout
from .header_codec import HeaderCodec
from .http_client_connection import BreakReason, is_fragmented
from .http_messages import ResponseHead
from .link_monitor import LinkUse
from .message_metadata import ResponseMetadata

__all__ = ["TargetAttempt"]

MAX_BUFFERED_BODY_BYTES = 4_194_304
"""Largest body of a response that is buffered as a whole."""

MIN_MEAN_BUFFERED_BYTES = 32
"""Mean size of the pieces of a buffered body that has many of them."""

# These imply that the request was not run. Without a header that states it,
# or status 421, the response is treated as malformed.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_MISDIRECTED_REQUEST = 421


class TargetAttempt(Attempt):
    """One attempt to send a request to one target.

    Args:
        pool: Connections to the target.
        headers: Parses the headers of responses.
        request_id: ID of the request, which the response must echo.
        forwarder: Forwards a successful stream; None if the response is
            buffered.
        is_head_request: Whether the method is HEAD, so that the response
            has no body.
        on_response: Called with the head of the response and its metadata.
        link: Learns what is heard from the target.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        headers: HeaderCodec,
        *,
        request_id: bytes,
        forwarder: StreamSink | None,
        is_head_request: bool,
        on_response: Callable[[ResponseHead, ResponseMetadata], None],
        link: LinkUse,
    ) -> None:
        super().__init__(pool, is_head_request=is_head_request)
        self._on_response = on_response
        self._link = link
        self._headers = headers
        self._request_id = request_id
        self._forwarder = forwarder
        self._head: ResponseHead | None = None
        self._metadata: ResponseMetadata | None = None
        self._body = bytearray()
        self._body_pieces = 0
        self._streaming = False

    def link_lost(self, *, may_repeat: bool) -> None:
        """Ends the attempt because the link to the target is lost.

        Args:
            may_repeat: Whether to end it if it has been sent; otherwise its
                response may still arrive if the link comes back.
        """
        if self._ended:
            return
        if not self.sent:
            self._disconnect()
            self._end(NotSent("link lost", timed_out=True))
        elif may_repeat:
            self._disconnect()
            self._end(
                Broken(
                    BreakReason.LINK_LOST,
                    response_started=self.started,
                )
            )

    def response_started(self, head: ResponseHead) -> bool:
        """Handles a head; a response to another request is skipped."""
        self._link.heard()
        metadata = self._headers.parse_response_headers(head)
        if metadata.request_id != self._request_id:
            return metadata.request_id is None and self._accept_without_id(
                head, metadata
            )
        self._accept(head, metadata)
        if self._connection is not None:
            self._connection.idle_timeout_s = metadata.idle_timeout_s
        if self._forwarder is None or not _succeeded(head, metadata):
            return True
        self._streaming = True
        headers = self._headers.caller_headers(head.headers)
        if not self._forwarder.start_attempt(head, headers):
            self._break(BreakReason.MALFORMED)
            return False
        return True

    def response_body(self, data: bytes) -> None:
        """Forwards or buffers a part of the body."""
        self._link.heard()
        if self._ended:
            return
        if not self._streaming or self._forwarder is None:
            if not self._buffer(data):
                self._break(BreakReason.TOO_LARGE)
            return
        if not self._forwarder.feed(data):
            self._break(BreakReason.MALFORMED)

    def _buffer(self, data: bytes) -> bool:
        """Appends a part of the body; returns whether it may be as large."""
        self._body += data
        self._body_pieces += 1
        size = len(self._body)
        if size > MAX_BUFFERED_BODY_BYTES:
            return False
        if is_fragmented(self._body_pieces, size, MIN_MEAN_BUFFERED_BYTES):
            return False
        return self.hold(size)

    def response_ended(self) -> None:
        """Ends the attempt with a complete response."""
        if self._ended:
            return
        self._release()
        if self._streaming and self._forwarder is not None:
            if self._forwarder.complete:
                self._end(StreamEnded())
            else:
                self._end(Broken(self._break_reason(), response_started=True))
            return
        self._end(self._classify_response())

    def response_failed(self, reason: BreakReason) -> None:
        """Ends the attempt without a complete response."""
        self._end(Broken(reason, response_started=self.started))

    def _end(self, outcome: AttemptOutcome) -> None:
        # The attempt itself may be kept until the next garbage collection.
        self._body = bytearray()
        super()._end(outcome)

    def _release(self) -> None:
        head, metadata = self._head, self._metadata
        connection = self._connection
        if connection is None:
            return
        if head and metadata and _is_refusal(head, metadata):
            connection.refused = True
            if metadata.request_id is None:
                connection.reusable = False
        self._pool.release(connection)

    def _break_reason(self) -> BreakReason:
        # Without a length or chunks, only the events tell a connection that
        # was lost in the middle from one that was closed at the end.
        if self._head is not None and not self._head.framed:
            return BreakReason.CLOSED
        return BreakReason.MALFORMED

    def _accept_without_id(
        self, head: ResponseHead, metadata: ResponseMetadata
    ) -> bool:
        # A refusal may lack the request ID. After another refusal on the same
        # connection, it may be that one, sent again by a faulty target.
        if not _is_refusal(head, metadata):
            return False
        if self._connection is None or self._connection.refused:
            return False
        self._accept(head, metadata)
        return True

    def _accept(self, head: ResponseHead, metadata: ResponseMetadata) -> None:
        self._head = head
        self._metadata = metadata
        self.started = True
        self._on_response(head, metadata)

    def _classify_response(self) -> AttemptOutcome:
        head, metadata = self._head, self._metadata
        if head is None or metadata is None:
            return Broken(BreakReason.MALFORMED, response_started=False)
        body = bytes(self._body)
        if _is_refusal(head, metadata):
            return NotRun(
                _not_run_reason(head.status), head.status, head, body
            )
        if head.status in _NOT_RUN_STATUSES or metadata.encoded:
            return Broken(BreakReason.MALFORMED, response_started=True)
        if head.status < 300 and not metadata.sealed:
            return Broken(BreakReason.MALFORMED, response_started=True)
        return WholeAnswer(head, body)

    def _connect_timed_out(self) -> AttemptOutcome:
        return NotSent("timed out waiting for a connection", timed_out=True)

    def _connect_failed(self, failure: Failure) -> AttemptOutcome:
        timed_out = is_timeout(failure)
        self._link.connect_failed(refused=not timed_out)
        return NotSent(failure.getErrorMessage(), timed_out=timed_out)

    def _on_connected(self) -> None:
        if self.new_connection:
            self._link.connected()


def _succeeded(head: ResponseHead, metadata: ResponseMetadata) -> bool:
    return head.status == 200 and metadata.sealed and not metadata.encoded


def _is_refusal(head: ResponseHead, metadata: ResponseMetadata) -> bool:
    return metadata.not_run or head.status == _MISDIRECTED_REQUEST


def _not_run_reason(status: int) -> NotRunReason:
    if status == _MISDIRECTED_REQUEST:
        return NotRunReason.OTHER_INSTANCE
    if status in (429, 503):
        return NotRunReason.FULL
    return NotRunReason.REFUSED
