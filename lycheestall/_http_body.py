"""Producers of HTTP request bodies and readers of response bodies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["BodyReader", "ConditionalBody", "SendStoppedError"]

_DONE = Failure(ResponseDone())


class SendStoppedError(Exception):
    """``may_send`` returned False when the request was to be written."""


@implementer(IBodyProducer)
class ConditionalBody:
    """A request body that calls ``may_send`` right before it is written.

    The request head is written in the same iteration of the event loop.
    If ``may_send`` returns False, the connection is dropped with the
    request incomplete.

    Args:
        body: The body's bytes.
        may_send: Returns whether the request may still be sent.
    """

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self.length = len(body)
        self._body = body
        self._may_send = may_send

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes the whole body; fails if ``may_send`` returns False."""
        if not self._may_send():
            return fail(SendStoppedError())
        if self._body:
            consumer.write(self._body)
        return succeed(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the body is written in one call."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing: the body is written in one call."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing: the body is written in one call."""


class BodyReader(Protocol):
    """Passes on the bytes of a response body, with an idle timeout.

    Args:
        clock: Times the idle timeout.
        on_data: Called with each piece of the body.
        idle_timeout_s: The longest time without data, in seconds.

    Attributes:
        done: Fires with an empty string when the body is complete, else
            with an error message. Cancelling it drops the connection.
    """

    def __init__(
        self,
        clock: Any,
        on_data: Callable[[bytes], None],
        idle_timeout_s: float,
    ) -> None:
        self.done: Deferred[str] = Deferred(self._on_cancel)
        self._clock = clock
        self._on_data = on_data
        self._idle_timeout_s = idle_timeout_s
        self._connection: Any = None
        self._timer = clock.callLater(idle_timeout_s, self._on_idle_timeout)

    def connectionMade(self) -> None:  # noqa: N802
        """Keeps the transport, so that the connection can be dropped."""
        self._connection = self.transport

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Restarts the idle timeout and passes the data on."""
        if self.done.called:
            return
        self._timer.reset(self._idle_timeout_s)
        self._on_data(data)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = Failure(ResponseDone()),  # noqa: B008
    ) -> None:
        """Reports whether the body is complete."""
        whole = reason.check(ResponseDone) is not None
        self._finish("" if whole else f"body cut: {reason.value!r}")

    def abort(self, error: str) -> None:
        """Drops the connection.

        Args:
            error: The message that ``done`` fires with.
        """
        self._finish(error)
        if self._connection is not None:
            self._connection.loseConnection()

    def _on_idle_timeout(self) -> None:
        self.abort(f"no byte for {self._idle_timeout_s} s")

    def _on_cancel(self, _: Deferred[str]) -> None:
        if self._timer.active():
            self._timer.cancel()
        if self._connection is not None:
            self._connection.loseConnection()

    def _finish(self, error: str) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(error)
