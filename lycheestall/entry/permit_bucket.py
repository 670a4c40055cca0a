"""Spreads requests to one target evenly over time."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MIN_RATE_PER_S", "PermitBucket", "Slot"]

BURST_S = 0.5
"""Seconds by which requests may be ahead of an even spacing, so that two
that arrive together need not wait for each other."""

MIN_RATE_PER_S = 0.25
"""Requests per second to a target that names a lower limit or zero; its
responses to them are the only way to learn that the limit has ended."""


@dataclass(frozen=True, slots=True)
class Slot:
    """The next time at which a target takes a request.

    Attributes:
        taken: Whether it is reserved; otherwise it is later than the caller
            would wait, and the next caller may have it.
        wait_s: Seconds until then.
    """

    taken: bool
    wait_s: float


class PermitBucket:
    """A leaky bucket in its form as a virtual schedule (GCRA).

    Slots are reserved in the order in which they are asked for. How far the
    schedule is ahead of the time is the queue of the requests that wait.
    """

    def __init__(self) -> None:
        self._scheduled_until = float("-inf")

    def take(
        self, rate_per_s: float, now: float, *, max_wait_s: float
    ) -> Slot:
        """Reserves the next slot, unless it is too far ahead.

        Args:
            rate_per_s: Requests per second that the target takes.
            now: Current time.
            max_wait_s: Seconds that the request would wait.
        """
        wait_s = max(0.0, self._scheduled_until - BURST_S - now)
        if wait_s > max_wait_s:
            return Slot(taken=False, wait_s=wait_s)
        interval_s = 1.0 / max(rate_per_s, MIN_RATE_PER_S)
        self._scheduled_until = max(now, self._scheduled_until) + interval_s
        return Slot(taken=True, wait_s=wait_s)
