"""Waiting for a result no longer than a given time."""

from __future__ import annotations

from typing import TypeVar

from twisted.internet.defer import Deferred

from .clock import Clock, Timer

__all__ = ["first_within"]

T = TypeVar("T")


def first_within(
    waited: Deferred[T], seconds: float, clock: Clock
) -> Deferred[T | None]:
    """Returns a result, or None when it does not come in time.

    What is waited for is not cancelled and goes on with its callbacks.

    Args:
        waited: What is waited for; its failure counts as None.
        seconds: How long.
        clock: Measures the time.
    """
    result: Deferred[T | None] = Deferred()
    timer: Timer = clock.callLater(seconds, lambda: give(None))

    def give(value: T | None) -> T | None:
        if not result.called:
            if timer.active():
                timer.cancel()
            result.callback(value)
        return value

    waited.addCallbacks(give, lambda _: give(None))
    return result
