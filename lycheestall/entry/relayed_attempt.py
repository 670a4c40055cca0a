"""An attempt that a peer sends to the target over its own link."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from twisted.python.failure import Failure

from .attempt import Attempt, StreamSink
from .attempt_messages import AttemptResult
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    StreamEnded,
    Unreachable,
)
from .connection_pool import ConnectionPool
from .header_codec import HeaderCodec
from .http_client_connection import (
    BreakReason,
)
from .http_messages import STATUSES, ResponseHead
from .message_metadata import ResponseMetadata
from .peer_messages import decode

__all__ = [
    "RELAYED_HEADER",
    "UNTIL_CLOSE_HEADER",
    "RelayedAttempt",
    "RelayedKind",
]

RELAYED_HEADER = b"lycheestall-relayed"
"""Header of a peer's reply that tells a target's stream from a result."""

UNTIL_CLOSE_HEADER = b"lycheestall-until-close"
"""Header of a peer's reply with a target's stream that had neither a length
nor chunks, so that it ended with its connection."""

MAX_RESULT_BYTES = 8_388_608
"""Largest result; it holds a target's whole answer."""


class RelayedKind(Enum):
    """What a peer's reply holds, as its header says.

    Attributes:
        STREAM: The target's stream, as it arrives.
        RESULT: An encoded ``AttemptResult``.
    """

    STREAM = b"stream"
    RESULT = b"result"


class RelayedAttempt(Attempt):
    """One attempt that a peer sends to one target.

    Args:
        pool: Connections to the peer.
        headers: Parses the headers of responses.
        sink: Receives a successful stream; None if the response is buffered.
        on_response: Called with the head of the target's response and its
            metadata.

    Attributes:
        peer_failed: Whether the peer gave no complete reply, or takes no
            attempts at present.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        headers: HeaderCodec,
        *,
        sink: StreamSink | None,
        on_response: Callable[[ResponseHead, ResponseMetadata], None],
    ) -> None:
        super().__init__(pool)
        self._headers = headers
        self._sink = sink
        self._on_response = on_response
        self._kind: RelayedKind | None = None
        self._result = bytearray()
        self.peer_failed = False

    def response_started(self, head: ResponseHead) -> bool:
        """Handles the head of the peer's reply."""
        self.started = True
        self._kind = _kind(head)
        if self._kind is not RelayedKind.STREAM or self._sink is None:
            return True
        target_head = _target_head(head)
        self._observe(target_head)
        headers = self._headers.caller_headers(target_head.headers)
        if not self._sink.start_attempt(target_head, headers):
            self._break(BreakReason.MALFORMED)
            return False
        return True

    def response_body(self, data: bytes) -> None:
        """Forwards a part of the stream, or buffers the result."""
        if self._ended:
            return
        if self._kind is RelayedKind.STREAM and self._sink is not None:
            if not self._sink.feed(data):
                self._break(BreakReason.MALFORMED)
            return
        self._result += data
        size = len(self._result)
        if size > MAX_RESULT_BYTES or not self.hold(size):
            self._break(BreakReason.TOO_LARGE)

    def response_ended(self) -> None:
        """Ends the attempt with the peer's complete reply."""
        if self._ended:
            return
        if self._connection is not None:
            self._pool.release(self._connection)
        if self._kind is RelayedKind.STREAM and self._sink is not None:
            if self._sink.complete:
                self._end(StreamEnded())
            else:
                self._end(Broken(BreakReason.MALFORMED, response_started=True))
            return
        self._end(self._decode_result())

    def response_failed(self, reason: BreakReason) -> None:
        """Ends the attempt without a complete reply."""
        self.peer_failed = True
        self._end(Broken(reason, response_started=self.started))

    def _end(self, outcome: AttemptOutcome) -> None:
        # The attempt itself may be kept until the next garbage collection.
        self._result = bytearray()
        super()._end(outcome)

    def _decode_result(self) -> AttemptOutcome:
        malformed = Broken(BreakReason.MALFORMED, response_started=False)
        if self._kind is not RelayedKind.RESULT:
            return malformed
        try:
            message = decode(bytes(self._result))
        except ValueError:
            return malformed
        if not isinstance(message, AttemptResult):
            return malformed
        head = getattr(message.outcome, "head", None)
        if head is not None:
            # A peer of an earlier build passes on any status.
            if head.status not in STATUSES:
                return Broken(BreakReason.MALFORMED, response_started=True)
            self._observe(head)
        if isinstance(message.outcome, Unreachable):
            self.peer_failed = not message.outcome.target_lost
        return message.outcome

    def _observe(self, head: ResponseHead) -> None:
        self._on_response(head, self._headers.parse_response_headers(head))

    def _connect_timed_out(self) -> AttemptOutcome:
        self.peer_failed = True
        return Unreachable("no connection to the peer in time")

    def _connect_failed(self, failure: Failure) -> AttemptOutcome:
        self.peer_failed = True
        return Unreachable(f"peer: {failure.getErrorMessage()}")


def _kind(head: ResponseHead) -> RelayedKind | None:
    # The peer's own header follows those of the target.
    for name, value in reversed(head.headers):
        if name.lower() != RELAYED_HEADER:
            continue
        return next((k for k in RelayedKind if k.value == value), None)
    return None


def _target_head(head: ResponseHead) -> ResponseHead:
    names = {name.lower() for name, _ in head.headers}
    headers = tuple(
        (name, value)
        for name, value in head.headers
        if name.lower() not in (RELAYED_HEADER, UNTIL_CLOSE_HEADER)
    )
    framed = UNTIL_CLOSE_HEADER not in names
    return ResponseHead(head.status, headers, framed, head.keep_alive)
