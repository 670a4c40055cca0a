"""Supervised loops that ask something again and again."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.python.failure import Failure

from .clock import Clock, Timer
from .supervisor import Child

__all__ = ["PollStep", "Poller"]

PollStep = Callable[[], Coroutine[Deferred[Any], Any, None]]


class Poller(Child):
    """Runs a step, waits, runs it again.

    Args:
        name: The child's name in the supervisor.
        step: What to run; an error ends the child.
        interval_s: Seconds from one step's end to the next one's start.
        clock: Times the waits.
    """

    def __init__(
        self, name: str, step: PollStep, *, interval_s: float, clock: Clock
    ) -> None:
        self.name = name
        self._step = step
        self._interval_s = interval_s
        self._clock = clock
        self._ended: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._running: Deferred[None] | None = None

    def run(self) -> Deferred[None]:
        """Starts with a step at once."""
        self._ended = Deferred()
        ended = self._ended
        self._turn()
        return ended

    def stop(self) -> Deferred[None]:
        """Ends the loop; a step in progress is cancelled."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self._running is not None:
            self._running.cancel()
        self._end(None)
        return succeed(None)

    def _turn(self) -> None:
        self._timer = None
        running = ensureDeferred(self._step())
        self._running = running
        running.addCallbacks(self._stepped, self._failed)

    def _stepped(self, _: object) -> None:
        self._running = None
        if self._ended is None:
            return
        self._timer = self._clock.callLater(self._interval_s, self._turn)

    def _failed(self, failure: Failure) -> None:
        self._running = None
        self._end(failure)

    def _end(self, failure: Failure | None) -> None:
        ended, self._ended = self._ended, None
        if ended is None:
            return
        if failure is None:
            ended.callback(None)
        else:
            ended.errback(failure)
