"""Supervised polling loops."""

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
    """Runs a step repeatedly with a pause after each run.

    Args:
        name: The child's name in the supervisor.
        step: The step to run; an error ends the child.
        interval_s: Seconds from the end of a step to the next start.
        clock: Schedules the next step.
    """

    def __init__(
        self, name: str, step: PollStep, *, interval_s: float, clock: Clock
    ) -> None:
        self.name = name
        self._step = step
        self._interval_s = interval_s
        self._clock = clock
        self._completion: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._current_step: Deferred[None] | None = None

    def run(self) -> Deferred[None]:
        """Starts the loop; the first step runs at once."""
        self._completion = Deferred()
        completion = self._completion
        self._run_step()
        return completion

    def stop(self) -> Deferred[None]:
        """Stops the loop and cancels a step in progress."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self._current_step is not None:
            self._current_step.cancel()
        self._finish(None)
        return succeed(None)

    def _run_step(self) -> None:
        self._timer = None
        current_step = ensureDeferred(self._step())
        self._current_step = current_step
        current_step.addCallbacks(self._on_step_done, self._on_step_failed)

    def _on_step_done(self, _: object) -> None:
        self._current_step = None
        if self._completion is None:
            return
        self._timer = self._clock.callLater(self._interval_s, self._run_step)

    def _on_step_failed(self, failure: Failure) -> None:
        self._current_step = None
        self._finish(failure)

    def _finish(self, failure: Failure | None) -> None:
        completion, self._completion = self._completion, None
        if completion is None:
            return
        if failure is None:
            completion.callback(None)
        else:
            completion.errback(failure)
