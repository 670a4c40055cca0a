"""Bodies of HTTP requests and answers, as producers and readers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["BodyReader", "GatedBody", "SendStoppedError"]

_DONE = Failure(ResponseDone())


class SendStoppedError(Exception):
    """The gate was closed when the request was about to be written."""


@implementer(IBodyProducer)
class GatedBody:
    """A body that asks its gate right before it is written.

    The head is written in the same turn of the loop; a closed gate
    drops the connection with the request incomplete.
    """

    def __init__(self, body: bytes, may_send: Callable[[], bool]) -> None:
        self.length = len(body)
        self._body = body
        self._may_send = may_send

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes the whole body, or fails at a closed gate."""
        if not self._may_send():
            return fail(SendStoppedError())
        if self._body:
            consumer.write(self._body)
        return succeed(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Has nothing to stop."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Has nothing to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Has nothing to resume."""


class BodyReader(Protocol):
    """Hands on a body's bytes and watches for a stall.

    Attributes:
        done: Fires with an empty string when the body is whole, else
            with what went wrong. Cancelling it drops the connection.
    """

    def __init__(
        self, clock: Any, take: Callable[[bytes], None], stall_s: float
    ) -> None:
        self.done: Deferred[str] = Deferred(self._cancelled)
        self._clock = clock
        self._take = take
        self._stall_s = stall_s
        self._wire: Any = None
        self._timer = clock.callLater(stall_s, self._stalled)

    def connectionMade(self) -> None:  # noqa: N802
        """Takes the connection."""
        self._wire = self.transport

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes the next bytes."""
        if self.done.called:
            return
        self._timer.reset(self._stall_s)
        self._take(data)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = Failure(ResponseDone()),  # noqa: B008
    ) -> None:
        """Takes the end of the body."""
        whole = reason.check(ResponseDone) is not None
        self._end("" if whole else f"body cut: {reason.value!r}")

    def abort(self, why: str) -> None:
        """Drops the connection.

        Args:
            why: What ``done`` says.
        """
        self._end(why)
        if self._wire is not None:
            self._wire.loseConnection()

    def _stalled(self) -> None:
        self.abort(f"no byte for {self._stall_s} s")

    def _cancelled(self, _: Deferred[str]) -> None:
        if self._timer.active():
            self._timer.cancel()
        if self._wire is not None:
            self._wire.loseConnection()

    def _end(self, why: str) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(why)
