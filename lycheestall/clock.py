"""The part of Twisted's reactor that tells and waits for time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

__all__ = ["Clock", "Timer", "sleep"]


class Timer(Protocol):
    """A pending timed call."""

    def cancel(self) -> None:
        """Drops the call; an error if it has run."""

    def active(self) -> bool:
        """Returns whether the call is still to come."""


class Clock(Protocol):
    """Monotonic time in seconds; the reactor or a virtual clock.

    ``IReactorTime`` says the same, but type checkers cannot read it.
    """

    def seconds(self) -> float:
        """Returns the time."""

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> Any:
        """Calls back after ``delay`` seconds; returns a ``Timer``."""


def sleep(clock: Clock, seconds: float) -> Deferred[None]:
    """Returns a Deferred that fires after a while; cancelling drops it.

    Args:
        clock: Times the wait.
        seconds: How long to wait.
    """
    timer: Timer | None = None

    def cancel(_: Deferred[None]) -> None:
        if timer is not None and timer.active():
            timer.cancel()

    done: Deferred[None] = Deferred(cancel)
    timer = clock.callLater(seconds, done.callback, None)
    return done
