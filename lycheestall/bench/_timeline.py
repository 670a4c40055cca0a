"""The virtual clock of the policy bench."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["Timeline"]


class Timeline:
    """Calls in order of their time; equal times in order of entry."""

    def __init__(self) -> None:
        """Starts at time zero with nothing to do."""
        self.now = 0.0
        self._serial = 0
        self._calls: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []

    def at(self, time: float, call: Callable[..., None], *args: Any) -> None:
        """Calls a function at a time, now if that has passed."""
        self._serial += 1
        when = max(time, self.now)
        heapq.heappush(self._calls, (when, self._serial, call, args))

    def after(
        self, delay: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Calls a function after a delay."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float, finished: Callable[[], bool]) -> None:
        """Runs calls up to a time, or until ``finished`` says so."""
        while self._calls and not finished():
            when, _, call, args = heapq.heappop(self._calls)
            if when > until:
                return
            self.now = when
            call(*args)
