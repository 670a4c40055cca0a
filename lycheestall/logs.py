"""Structured logging: one JSON object per line."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import TextIO

import structlog
from twisted.python.failure import Failure

__all__ = ["Logger", "configure_logs", "failure_logger", "get_logger"]

Logger = structlog.typing.FilteringBoundLogger


def configure_logs(
    *, level: str = "info", output: TextIO | None = None
) -> None:
    """Configures logging as JSON lines for the whole process.

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        output: Where the lines are written; default is standard error.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(file=output or sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(**fields: str) -> Logger:
    """Returns a logger that adds the given fields to each line."""
    logger: Logger = structlog.get_logger(**fields)
    return logger


def failure_logger(event: str, **fields: str) -> Callable[[Failure], None]:
    """Returns an errback that logs a failure and handles it.

    For operations that are retried elsewhere.

    Args:
        event: The log event.
        fields: Fields of the log line.
    """

    def log_failure(failure: Failure) -> None:
        get_logger(**fields).info(event, error=failure.getErrorMessage())

    return log_failure
