"""Log lines about calls to the store that take long or fail."""

from __future__ import annotations

from ..clock import Clock
from ..logs import Logger
from .store import AppendUnknown, StoreFailed, Topic

__all__ = ["StoreCallLog"]

SLOW_S = 0.15
"""Time of a call, beyond what the store may wait, that is worth a line."""

PAUSE_S = 0.5
"""Shortest time between two lines; calls between them are counted."""


class StoreCallLog:
    """Notes slow and failed calls, a bounded number of lines a second.

    Args:
        logger: Where the lines go.
        clock: Times the calls.
    """

    def __init__(self, logger: Logger, clock: Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._next_line_at = float("-inf")
        self._left_out = 0

    def ended(
        self,
        operation: str,
        topic: Topic,
        outcome: object,
        *,
        started_at: float,
        wait_s: float,
    ) -> None:
        """Notes the end of a call.

        Args:
            operation: What was asked of the store.
            topic: Of which topic.
            outcome: How it ended.
            started_at: When it started.
            wait_s: How long the store was allowed to wait.
        """
        now = self._clock.seconds()
        took_s = now - started_at
        failed = isinstance(outcome, StoreFailed | AppendUnknown)
        if not failed and took_s < SLOW_S + wait_s:
            return
        if now < self._next_line_at:
            self._left_out += 1
            return
        self._next_line_at = now + PAUSE_S
        self._logger.info(
            "store call failed" if failed else "store call slow",
            operation=operation,
            topic=topic.value,
            took_ms=round(took_s * 1000, 1),
            error=getattr(outcome, "error", None),
            left_out=self._left_out,
        )
        self._left_out = 0
