"""Writes log lines up to a rate that costs little."""

from __future__ import annotations

from ..clock import Clock
from ..logs import Logger

__all__ = ["DecisionWriter"]

WINDOW_S = 1.0
"""Seconds over which log lines are counted for the rate limit."""

MAX_LINES_PER_WINDOW = 300
"""Log lines per window; further ones are only counted, so that logging a
flood of refusals costs no more than handling the requests."""


class DecisionWriter:
    """Writes rate-limited log lines.

    Args:
        logger: Receives the log lines.
        clock: Tells the time for the rate limit.
    """

    def __init__(self, logger: Logger, clock: Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._window_start = 0.0
        self._lines = 0
        self._suppressed = 0

    def write(self, event: str, **fields: object) -> None:
        """Writes a line, or counts it if there are too many.

        Args:
            event: What happened.
            **fields: The inputs and the outcome.
        """
        now = self._clock.seconds()
        if now - self._window_start >= WINDOW_S:
            if self._suppressed:
                self._logger.warning("lines left out", lines=self._suppressed)
            self._window_start = now
            self._lines = 0
            self._suppressed = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_WINDOW:
            self._suppressed += 1
            return
        self._logger.info(event, **fields)
