"""The clock of a discrete-event simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["SimulationClock"]


class SimulationClock:
    """Runs functions in order of time, ties in order of scheduling."""

    def __init__(self) -> None:
        """Starts at time 0 with an empty queue."""
        self.now = 0.0
        self._sequence = 0
        self._events: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []

    def call_at(
        self, time: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedules a call at a time, or now if that time has passed."""
        self._sequence += 1
        event_at = max(time, self.now)
        heapq.heappush(
            self._events, (event_at, self._sequence, function, args)
        )

    def call_later(
        self, delay: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedules a call after a delay in seconds."""
        self.call_at(self.now + delay, function, *args)

    def run(self, until: float, finished: Callable[[], bool]) -> None:
        """Runs scheduled calls until a time or until ``finished()``."""
        while self._events and not finished():
            event_at, _, function, args = heapq.heappop(self._events)
            if event_at > until:
                return
            self.now = event_at
            function(*args)
