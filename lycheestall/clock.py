"""Protocols for the time functions of Twisted's reactor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

__all__ = ["Clock", "Timer", "sleep"]


class Timer(Protocol):
    """A scheduled call (``IDelayedCall``)."""

    def cancel(self) -> None:
        """Cancels the call; raises an error if it has already run."""

    def active(self) -> bool:
        """Returns whether the call is still pending."""


class Clock(Protocol):
    """A monotonic clock: the reactor or a virtual clock.

    Same as Twisted's ``IReactorTime``, which is a ``zope.interface`` and
    so means nothing to type checkers.
    """

    def seconds(self) -> float:
        """Returns the current time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> Any:
        """Schedules a call after ``delay`` seconds; returns a ``Timer``."""


def sleep(clock: Clock, seconds: float) -> Deferred[None]:
    """Returns a Deferred that fires after a delay and can be cancelled.

    Args:
        clock: Schedules the delay.
        seconds: The delay.
    """
    timer: Timer | None = None

    def cancel(_: Deferred[None]) -> None:
        if timer is not None and timer.active():
            timer.cancel()

    done: Deferred[None] = Deferred(cancel)
    timer = clock.callLater(seconds, done.callback, None)
    return done
