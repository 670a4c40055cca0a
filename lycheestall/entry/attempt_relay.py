"""Sends attempts to targets for peers that have lost their links to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from ..clock import Clock
from ..logs import Logger
from .attempt import StreamSink
from .attempt_messages import AskLinks, AttemptResult, LinkReport, SendAttempt
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotSent,
    StreamEnded,
    Unreachable,
)
from .connection_pool import ConnectionPool
from .crashes.crash_reporter import CrashReporter
from .decision_log import DecisionLog
from .event_splitter import EVENT_SEPARATORS
from .header_codec import HeaderCodec
from .http_client_connection import CONNECTION_LOST
from .http_messages import Header, ResponseHead, encode_request
from .link_monitor import LinkMonitor
from .message_metadata import RequestMetadata
from .peer_messages import encode
from .placement.target_chooser import TargetChooser
from .relayed_attempt import RELAYED_HEADER, UNTIL_CLOSE_HEADER, RelayedKind
from .responses import Exchange
from .target_announcements import TargetAnnouncements
from .target_attempt import TargetAttempt
from .target_table import TargetRegistration, TargetTable
from .token_ledger import HolderId

__all__ = ["AttemptRelay"]

MAX_RELAYED = 256
"""Attempts for peers at a time, so that this VM's own callers are served as
before; peers then ask another VM."""

_LONGEST_SEPARATOR = max(map(len, EVENT_SEPARATORS))
_RESULT_HEADERS: tuple[Header, ...] = (
    (b"Content-Type", b"application/cbor"),
    (RELAYED_HEADER, RelayedKind.RESULT.value),
)


class AttemptRelay:
    """Sends peers' attempts over this VM's own links, and over no others.

    An attempt is carried one step only, so that none goes round in a circle.

    Args:
        holder: This VM.
        table: The registered targets.
        chooser: Counts the requests at each target.
        monitor: Knows which links work.
        announcements: Takes note of what targets say about themselves.
        headers: Parses and writes headers.
        crash_reporter: Reports requests that crash targets.
        pool_of: Returns the connection pool of a target.
        clock: Times the attempts.
        log: Logs them.
        logger: Receives unexpected errors.
        draining: Returns whether this VM is shutting down.

    Attributes:
        running: Attempts in progress.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        table: TargetTable,
        chooser: TargetChooser,
        monitor: LinkMonitor,
        announcements: TargetAnnouncements,
        headers: HeaderCodec,
        crash_reporter: CrashReporter,
        pool_of: Callable[[TargetRegistration], ConnectionPool],
        clock: Clock,
        log: DecisionLog,
        logger: Logger,
        draining: Callable[[], bool],
    ) -> None:
        self._holder = holder
        self._table = table
        self._chooser = chooser
        self._monitor = monitor
        self._announcements = announcements
        self._headers = headers
        self._crash_reporter = crash_reporter
        self._pool_of = pool_of
        self._clock = clock
        self._log = log
        self._logger = logger
        self._draining = draining
        self.running = 0

    def report(self, message: AskLinks) -> LinkReport:
        """Returns which targets this VM reaches."""
        summary = self._monitor.links.summary(self._clock.seconds())
        return LinkReport(
            self._holder,
            accepts=not summary.all_lost and self._may_accept(),
            lost=summary.lost,
            relaying=self.running,
        )

    def handle(self, message: SendAttempt, exchange: Exchange) -> None:
        """Sends an attempt; the outcome is written to the exchange."""
        received_at = self._clock.seconds()
        registration = self._find(message)
        if isinstance(registration, Unreachable):
            self._finish(message, exchange, registration, received_at)
            return
        self.running += 1
        sending = ensureDeferred(
            self._send(message, registration, exchange, received_at)
        )
        sending.addErrback(self._failed, exchange)
        sending.addCallback(self._ended)

    async def _send(
        self,
        message: SendAttempt,
        registration: TargetRegistration,
        exchange: Exchange,
        received_at: float,
    ) -> None:
        metadata = RequestMetadata(request_id=message.request_id, host="")
        sink = _ForwardedStream(exchange) if message.is_stream else None
        link = self._monitor.use(registration.target)
        attempt = TargetAttempt(
            self._pool_of(registration),
            self._headers,
            request_id=message.request_id,
            forwarder=sink,
            is_head_request=message.method == b"HEAD",
            on_response=lambda head, response: self._announcements.observe(
                metadata, registration, head, response
            ),
            link=link,
        )
        link.on_lost = lambda: attempt.link_lost(may_repeat=message.may_repeat)
        attempt.hold = exchange.hold
        exchange.on_disconnect = attempt.stop
        if sink is not None:
            exchange.on_flow = attempt.set_flowing
        timer: Any = self._clock.callLater(
            max(0.0, message.remaining_s), attempt.stop
        )
        self._chooser.request_started(registration.target)
        try:
            attempt.start(lambda: self._encode(message, received_at))
            outcome = await attempt.outcome
        finally:
            if timer.active():
                timer.cancel()
            self._chooser.request_ended(registration.target)
            link.end()
        if isinstance(outcome, Broken) and outcome.reason in CONNECTION_LOST:
            self._crash_reporter.connection_lost(
                registration.target, message.fingerprint
            )
        if isinstance(outcome, NotSent):
            # Whether the target is down is for the VM that asks to decide.
            all_lost = self._monitor.links.all_lost
            outcome = Unreachable(outcome.error, target_lost=not all_lost)
        self._finish(message, exchange, outcome, received_at)

    def _find(self, message: SendAttempt) -> TargetRegistration | Unreachable:
        if not self._may_accept():
            return Unreachable("the peer takes no more attempts")
        registration = self._table.get_usable(message.target)
        if registration is None:
            return Unreachable("the target is unknown to the peer or leaving")
        if registration.started_ms != message.started_ms:
            return Unreachable("the peer knows another process of the target")
        links = self._monitor.links
        if links.all_lost:
            return Unreachable("the peer reaches no target")
        if not links.is_up(message.target, self._clock.seconds()):
            links.want(message.target, self._clock.seconds())
            return Unreachable("the peer has lost its link", target_lost=True)
        return registration

    def _may_accept(self) -> bool:
        return self.running < MAX_RELAYED and not self._draining()

    def _encode(
        self, message: SendAttempt, received_at: float
    ) -> bytes | None:
        held_s = self._clock.seconds() - received_at
        if held_s >= min(message.send_within_s, message.remaining_s):
            return None
        headers = self._headers.replace_deadline(
            message.headers, remaining_s=message.remaining_s - held_s
        )
        return encode_request(
            message.method, message.url, headers, message.body
        )

    def _finish(
        self,
        message: SendAttempt,
        exchange: Exchange,
        outcome: AttemptOutcome,
        received_at: float,
    ) -> None:
        self._log.attempt_sent_for_peer(
            message, outcome, took_s=self._clock.seconds() - received_at
        )
        if exchange.ended:
            return
        if isinstance(outcome, StreamEnded):
            exchange.finish()
        elif exchange.started:
            exchange.abort()
        else:
            exchange.respond(
                200, _RESULT_HEADERS, encode(AttemptResult(outcome))
            )

    def _failed(self, failure: Failure, exchange: Exchange) -> None:
        self._logger.error(
            "sending an attempt for a peer failed",
            error=failure.getTraceback(),
        )
        exchange.abort()

    def _ended(self, _: object) -> None:
        self.running -= 1


class _ForwardedStream(StreamSink):
    """Forwards a target's stream to the peer.

    Args:
        exchange: The peer's request.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._last_bytes = b""

    def start_attempt(self, head: ResponseHead, headers: list[Header]) -> bool:
        """Forwards the head."""
        own = [(RELAYED_HEADER, RelayedKind.STREAM.value)]
        if not head.framed:
            own.append((UNTIL_CLOSE_HEADER, b"1"))
        self._exchange.start(head.status, [*headers, *own])
        return True

    def feed(self, data: bytes) -> bool:
        """Forwards a part of the stream."""
        self._exchange.write(data)
        last_bytes = self._last_bytes + data[-_LONGEST_SEPARATOR:]
        self._last_bytes = last_bytes[-_LONGEST_SEPARATOR:]
        return not self._exchange.ended

    @property
    def complete(self) -> bool:
        """Whether the stream is between two events.

        The VM that asked checks the events themselves.
        """
        if not self._last_bytes:
            return True
        return self._last_bytes.endswith(EVENT_SEPARATORS)
