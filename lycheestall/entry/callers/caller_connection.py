"""Server side of callers' HTTP/1.1 connections."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ...clock import Clock, Timer
from ..configuration import CallerLimits
from ..http_messages import Request
from ..responses import (
    Exchange,
    RequestHandler,
    ResponseChannel,
    ResponseState,
    ResponseStep,
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

__all__ = ["CallerConnection", "ConnectionObserver"]

LINGER_S = 1.0
"""Seconds to keep reading after the last response; closing at once could
send a reset that discards the response before the caller reads it."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""The interim response that asks a caller for the body of its request."""


class ConnectionObserver(ABC):
    """Learns what happens to connections."""

    @abstractmethod
    def closed(self, connection: CallerConnection) -> None:
        """Notes that a connection is closed."""

    @abstractmethod
    def limited(self, cause: LimitCause, address: str) -> None:
        """Notes that a connection was refused or closed.

        Args:
            cause: The bound that was reached.
            address: IP address of the other end.
        """

    @abstractmethod
    def step_misused(
        self, step: ResponseStep, before: ResponseState, request: Request
    ) -> None:
        """Notes a step of a response that was not allowed.

        Args:
            step: The step.
            before: State of the response in which it was taken.
            request: The request.
        """


class CallerConnection(
    Protocol, ResponseChannel, RequestListener, Displaceable
):
    """Parses pipelined requests and handles them one at a time.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
        budget: Decides on the memory and the descriptors that it may use.
        observer: Learns what happens to it; shared by all connections, which
            saves memory.
        address: IP address of the caller.
    """

    transport: Any

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        budget: ConnectionBudget[Displaceable],
        *,
        observer: ConnectionObserver,
        address: str,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._observer = observer
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
        """Whether no request is being read, waits or is handled."""
        if self._current is not None or self._queue:
            return False
        return not self._reader.in_message

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
        self._observer.closed(self)

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

    def write(self, exchange: Exchange, data: bytes) -> None:
        """Writes encoded bytes of the response in progress."""
        if self._closing or exchange is not self._current:
            return
        self._use.response_bytes = 0
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

    def response_ended(self, exchange: Exchange, *, close: bool) -> None:
        """Continues with the next request, or closes the connection."""
        if exchange is not self._current:
            return
        self._current = None
        self._use.end_request()
        if self._closing:
            return
        if close:
            self._close()
            return
        if not self._queue and not self._reader.in_message:
            self._set_idle_timer()
        self._update()
        reader = self._reader
        if (
            self._queue
            or reader.refusal is not None
            or reader.expects_continue
        ):
            self._clock.callLater(0, self._handle_next)

    def abort(self, exchange: Exchange) -> None:
        """Resets the connection within the response in progress."""
        if exchange is not self._current:
            return
        self._current = None
        self._closing = True
        self._cancel_timer()
        self.transport.abortConnection()

    def closes_after(self, request: Request) -> bool:
        """Returns whether the response to a request is the last one."""
        if not request.keep_alive:
            return True
        return self._handler.should_close() and not self._queue

    def step_misused(
        self, step: ResponseStep, before: ResponseState, request: Request
    ) -> None:
        """Notes a step of a response that was not allowed."""
        self._observer.step_misused(step, before, request)

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
        self._observer.limited(cause, self._address)
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

    def _continue_reading(self, received: int, *, begun: bool) -> None:
        reader = self._reader
        self._use.received(received, self._clock.seconds())
        if reader.expects_continue:
            # Its caller waits until the requests before it are answered.
            self._cancel_timer()
        elif reader.head_done:
            self._set_body_timer()
        elif begun:
            self._set_timer(reader.limits.header_timeout_s, self._head_timeout)
        if not self._update():
            self._refuse(OUT_OF_MEMORY)

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
            self._observer.limited(self._reader.refusal.cause, self._address)
            self._send_refusal()
        elif self._reader.expects_continue:
            self._ask_for_body()

    def _ask_for_body(self) -> None:
        self._reader.expects_continue = False
        self._write_own(CONTINUE)
        self._set_body_timer()

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
        self._write_own(refusal.encode())
        self._close()

    def _write_own(self, data: bytes) -> None:
        # What the connection itself has to say never stands in a response.
        if self._current is not None:
            self._current.abort()
        elif not self._closing:
            self.transport.write(data)

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

    def _set_body_timer(self) -> None:
        self._set_timer(self._reader.limits.idle_timeout_s, self._body_timeout)

    def _set_idle_timer(self) -> None:
        self._set_timer(self._reader.limits.idle_timeout_s, self._idle_timeout)

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
