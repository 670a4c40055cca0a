"""Logs and counts the bounds that connections reach."""

from __future__ import annotations

from ...clock import Clock
from ...logs import Logger
from ..decision_writer import DecisionWriter
from ..entry_metrics import EntryMetrics
from .refusals import LimitCause

__all__ = ["LimitLog"]


class LimitLog:
    """Counts each refusal, and writes log lines at a bounded rate.

    Args:
        port: Name of the port, such as ``callers``.
        logger: Receives the log lines.
        metrics: Counts the refusals by cause.
        clock: Tells the time for the rate limit.
    """

    def __init__(
        self, port: str, logger: Logger, metrics: EntryMetrics, clock: Clock
    ) -> None:
        self._port = port
        self._metrics = metrics
        self._write = DecisionWriter(logger, clock).write

    def reached(self, cause: LimitCause, address: str) -> None:
        """Notes that a connection was refused or closed.

        Args:
            cause: The bound that was reached.
            address: IP address of the other end.
        """
        self._metrics.connection_limited(self._port, cause.value)
        self._write(
            "connection limited",
            port=self._port,
            limit=cause.value,
            address=address,
        )
