"""Waiting for a Deferred with a timeout."""

from __future__ import annotations

from typing import TypeVar

from twisted.internet.defer import Deferred

from .clock import Clock, Timer

__all__ = ["result_within"]

T = TypeVar("T")


def result_within(
    deferred: Deferred[T], timeout_s: float, clock: Clock
) -> Deferred[T | None]:
    """Returns a Deferred's result, or None if it times out.

    On a timeout, ``deferred`` is not cancelled; its callbacks still run
    when it fires.

    Args:
        deferred: The Deferred to wait for; its failure gives None.
        timeout_s: How long to wait.
        clock: Schedules the timeout.
    """
    result: Deferred[T | None] = Deferred()
    timer: Timer = clock.callLater(timeout_s, lambda: resolve(None))

    def resolve(value: T | None) -> T | None:
        if not result.called:
            if timer.active():
                timer.cancel()
            result.callback(value)
        return value

    deferred.addCallbacks(resolve, lambda _: resolve(None))
    return result
