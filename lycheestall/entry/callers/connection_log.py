"""Logs and counts what goes wrong on the connections of a port."""

from __future__ import annotations

from ...clock import Clock
from ...logs import Logger
from ..decision_writer import DecisionWriter
from ..entry_metrics import EntryMetrics
from ..http_messages import Request
from ..responses import ResponseState, ResponseStep
from .refusals import LimitCause

__all__ = ["ConnectionLog"]

MAX_LOGGED_PATH = 200
"""Characters of a path that are logged."""


class ConnectionLog:
    """Counts each event, and writes log lines at a bounded rate.

    Args:
        port: Name of the port, such as ``callers``.
        logger: Receives the log lines.
        metrics: Counts the refusals by cause, and the steps of responses
            that were not allowed.
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

    def step_misused(
        self, step: ResponseStep, before: ResponseState, request: Request
    ) -> None:
        """Notes a step of a response that was not allowed.

        Args:
            step: The step.
            before: State of the response in which it was taken.
            request: The request.
        """
        self._metrics.response_step_misused(
            self._port, before.value, step.value
        )
        self._write(
            "response step not allowed",
            port=self._port,
            state=before.value,
            step=step.value,
            method=request.method.decode("latin-1"),
            path=request.path[:MAX_LOGGED_PATH],
        )
