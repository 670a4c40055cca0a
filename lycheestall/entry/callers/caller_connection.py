"""Server side of callers' HTTP/1.1 connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ...clock import Clock, Timer
from ..configuration import CallerLimits
from ..exchange import (
    Exchange,
    RequestHandler,
    ResponseChannel,
)
from ..http_messages import (
    Header,
    Request,
    encode_response,
    encode_response_head,
)
from .connection_budget import ConnectionBudget, Standing
from .connection_use import ConnectionUse, Displaceable
from .refusals import (
    OUT_OF_DESCRIPTORS,
    OUT_OF_MEMORY,
    LimitCause,
    Refusal,
)
from .request_queue import QueuedRequest, RequestQueue
from .request_reader import RequestListener, RequestReader

__all__ = ["CallerConnection"]

LINGER_S = 1.0
"""Seconds to keep reading after the last response; closing at once could
send a reset that discards the response before the caller reads it."""


class CallerConnection(
    Protocol, ResponseChannel, RequestListener, Displaceable
):
    """Parses pipelined requests and handles them one at a time.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
        budget: Decides on the memory and the descriptors that it may use.
        on_closed: Called with the connection once it is closed.
        on_limited: Called with the bound that the connection has reached
            and the address.
        address: IP address of the caller.
    """

    transport: Any

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        budget: ConnectionBudget[Displaceable],
        *,
        on_closed: Callable[[CallerConnection], None],
        on_limited: Callable[[LimitCause, str], None],
        address: str,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._on_closed = on_closed
        self._on_limited = on_limited
        self._address = address
        self._reader = RequestReader(self, clock)
        self._use = ConnectionUse(self, budget, clock.seconds())
        self._queue = RequestQueue()
        self._current: Exchange | None = None
        self._proven = False
        self._reading_paused = False
        self._writing_paused = False
        self._closing = False
        self._timer: Timer | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._current is None and not self._reader.in_message

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the idle timeout, or closes a connection too many."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if not self._use.displace_others():
            self.give_way(LimitCause.DESCRIPTORS)
            return
        self._set_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes."""
        reader = self._reader
        if self._closing or reader.refusal is not None:
            return
        messages = reader.messages
        reader.feed(data)
        if reader.refusal is not None:
            self._cancel_timer()
        elif reader.in_message:
            self._continue_reading(
                len(data), begun=reader.messages != messages
            )
        self._handle_next()

    def connectionLost(  # noqa: N802
        self, reason: Failure | None = None
    ) -> None:
        """Drops queued requests and cancels the current one."""
        self._closing = True
        self._cancel_timer()
        self._use.disconnect()
        self._queue.clear()
        current, self._current = self._current, None
        if current is not None:
            current.caller_disconnected()
        self._on_closed(self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Notes that the caller doesn't read as fast as it is sent to."""
        if self._writing_paused:
            return
        self._writing_paused = True
        self._use.writing_paused()
        if self._current is not None:
            self._current.set_flowing(False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Continues once the caller has read all that was sent."""
        self._writing_paused = False
        self._use.all_sent()
        if self._closing:
            return
        if self._current is not None:
            self._current.set_flowing(True)
        self._update()
        self._handle_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``connectionLost`` ends the response."""

    def send_response(
        self,
        exchange: Exchange,
        status: int,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Writes a complete response and continues with the next request."""
        if self._closing:
            return
        close = self._should_close_after(exchange.request)
        self._use.response_bytes = 0
        self.write(encode_response(status, headers, body, close=close))
        self.exchange_ended(close=close)

    def send_head(
        self, exchange: Exchange, status: int, headers: Sequence[Header]
    ) -> None:
        """Writes the head of a chunked response."""
        if self._closing:
            return
        all_headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        close = not exchange.request.keep_alive
        self.write(encode_response_head(status, all_headers, close=close))

    def write(self, data: bytes) -> None:
        """Writes encoded bytes of the current response."""
        if self._closing:
            return
        self.transport.write(data)
        if not self._writing_paused:
            return
        self._use.written(len(data))
        if not self._update():
            self.give_way(LimitCause.UNREAD)

    def hold_response(self, size: int) -> bool:
        """Notes how much of a response is held until it is complete.

        Returns:
            Whether there is memory for it.
        """
        self._use.response_bytes = size
        return self._update()

    def exchange_ended(self, *, close: bool | None = None) -> None:
        """Continues with the next request, or closes the connection.

        Args:
            close: Whether the response announced ``Connection: close``;
                None if that depends on the request alone.
        """
        current, self._current = self._current, None
        self._use.end_request()
        if self._closing:
            return
        if close is None:
            close = current is None or not current.request.keep_alive
        if close:
            self._close()
            return
        if not self._queue and not self._reader.in_message:
            self._set_idle_timer()
        self._update()
        if self._queue or self._reader.refusal is not None:
            self._clock.callLater(0, self._handle_next)

    def abort(self) -> None:
        """Resets the connection."""
        self._current = None
        self._closing = True
        self._cancel_timer()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.idle and not self._closing:
            self._close()

    def give_way(self, cause: LimitCause) -> None:
        """Frees what the connection uses, for others.

        A request that is being read has not run and is refused; in all other
        cases, the connection is closed.

        Args:
            cause: The bound that was reached.
        """
        self._on_limited(cause, self._address)
        reading = self._current is None and self._reader.in_message
        if self._closing or self._writing_paused or not reading:
            self._closing = True
            self._cancel_timer()
            self.transport.abortConnection()
            return
        self._refuse(OUT_OF_MEMORY)
        self._send_refusal()

    def next_limits(self) -> CallerLimits:
        """Returns the limits in force."""
        return self._handler.limits()

    def request_read(self, request: Request, *, head_bytes: int) -> None:
        """Queues a complete request."""
        self._cancel_timer()
        self._proven = True
        self._queue.append(QueuedRequest(request, head_bytes))
        if self._queue.full:
            self._pause_reading()

    def continue_expected(self) -> None:
        """Asks the caller for the body."""
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _continue_reading(self, received: int, *, begun: bool) -> None:
        reader = self._reader
        self._use.received(received, self._clock.seconds())
        if reader.head_done:
            self._set_timer(reader.limits.idle_timeout_s, self._body_timeout)
        elif begun:
            self._set_timer(reader.limits.header_timeout_s, self._head_timeout)
        if not self._update():
            self._refuse(OUT_OF_MEMORY)

    def _should_close_after(self, request: Request) -> bool:
        if not request.keep_alive:
            return True
        return self._handler.should_close() and not self._queue

    def _handle_next(self) -> None:
        if self._closing or self._current is not None:
            return
        if self._writing_paused:
            if self._timer is None:
                # Nothing else ends a connection whose caller never reads.
                self._set_idle_timer()
            return
        if self._queue and self._start_next():
            assert self._current is not None
            self._handler.handle(self._current)
            return
        if self._reader.refusal is not None:
            self._on_limited(self._reader.refusal.cause, self._address)
            self._send_refusal()

    def _start_next(self) -> bool:
        queued = self._queue.pop()
        request = queued.request
        self._current = Exchange(request, self)
        refusal: Refusal | None = None
        if not self._use.start_request(
            queued.head_bytes, len(request.body), self._clock.seconds()
        ):
            refusal = OUT_OF_DESCRIPTORS
        elif not self._update():
            refusal = OUT_OF_MEMORY
        if refusal is None:
            if not self._queue:
                self._resume_reading()
            return True
        self._current = None
        self._use.end_request()
        self._queue.clear()
        # It has not run, nor will those that follow it.
        self._reader.refusal = None
        self._refuse(refusal)
        return False

    def _update(self) -> bool:
        # Returns whether there is memory for all that the connection holds.
        return self._use.update(
            self._standing(),
            self._reader.held_bytes + self._queue.size,
            self._clock.seconds(),
        )

    def _standing(self) -> Standing:
        if self._closing:
            return Standing.CLOSING
        if self._current is not None:
            return Standing.RUNNING
        if self._writing_paused:
            return Standing.UNREAD
        if self._queue or self._reader.in_message:
            return Standing.READING if self._proven else Standing.UNPROVEN
        return Standing.IDLE if self._proven else Standing.UNUSED

    def _refuse(self, refusal: Refusal) -> None:
        self._reader.refuse(refusal)
        self._cancel_timer()

    def _send_refusal(self) -> None:
        refusal = self._reader.refusal
        assert refusal is not None
        self.transport.write(refusal.encode())
        self._close()

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self.transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self.transport.resumeProducing()

    def _head_timeout(self) -> None:
        self._time_out("request head took too long", LimitCause.HEAD_TIME)

    def _body_timeout(self) -> None:
        self._time_out("request body took too long", LimitCause.BODY_TIME)

    def _time_out(self, reason: str, cause: LimitCause) -> None:
        self._timer = None
        self._refuse(Refusal(408, reason, cause))
        self._handle_next()

    def _idle_timeout(self) -> None:
        self._timer = None
        if self._writing_paused and self._current is None:
            self.give_way(LimitCause.UNREAD)
        else:
            self.close_if_idle()

    def _close(self) -> None:
        self._closing = True
        self._cancel_timer()
        self._update()
        # A paused producer would keep the transport from closing.
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._set_timer(LINGER_S, self.transport.abortConnection)

    def _set_idle_timer(self) -> None:
        self._set_timer(self._reader.limits.idle_timeout_s, self._idle_timeout)

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
