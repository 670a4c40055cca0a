"""Rate-limited logging of slow and failed store calls."""

from __future__ import annotations

from ..clock import Clock
from ..logs import Logger
from .store import AppendUnknown, StoreFailed, Topic

__all__ = ["StoreCallLog"]

SLOW_CALL_S = 0.15
"""Seconds, not counting the long-poll wait, from which a call is logged as
slow."""

MIN_LINE_INTERVAL_S = 0.5
"""Minimum seconds between two log lines; calls in between are only counted
(log field ``left_out``)."""


class StoreCallLog:
    """Logs slow and failed calls at a limited rate.

    Args:
        logger: Receives the log lines.
        clock: Time source.
    """

    def __init__(self, logger: Logger, clock: Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._next_line_at = float("-inf")
        self._suppressed = 0

    def call_ended(
        self,
        operation: str,
        topic: Topic,
        outcome: object,
        *,
        started_at: float,
        wait_s: float,
    ) -> None:
        """Logs a finished call if it failed or was slow.

        Args:
            operation: Name of the operation, for the log.
            topic: Topic of the call.
            outcome: Outcome of the call.
            started_at: When the call started.
            wait_s: Long-poll wait that the call allowed the store.
        """
        now = self._clock.seconds()
        took_s = now - started_at
        failed = isinstance(outcome, StoreFailed | AppendUnknown)
        if not failed and took_s < SLOW_CALL_S + wait_s:
            return
        if now < self._next_line_at:
            self._suppressed += 1
            return
        self._next_line_at = now + MIN_LINE_INTERVAL_S
        self._logger.info(
            "store call failed" if failed else "store call slow",
            operation=operation,
            topic=topic.value,
            took_ms=round(took_s * 1000, 1),
            error=getattr(outcome, "error", None),
            left_out=self._suppressed,
        )
        self._suppressed = 0
