"""Small HTTP answers: readiness for the platform, metrics for operators."""

from __future__ import annotations

from collections.abc import Callable

from .configuration import CallerLimits
from .exchange import Exchange, RequestHandler

__all__ = ["MetricsHandler", "ReadinessHandler"]


class ReadinessHandler(RequestHandler):
    """Answers 200 while the VM takes new callers, else 503.

    Args:
        ready: Whether it does.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def handle(self, exchange: Exchange) -> None:
        """Answers whether the VM is ready."""
        if self._ready():
            exchange.answer(200, [], b"ready\n")
        else:
            exchange.answer(503, [], b"not ready\n")

    def limits(self) -> CallerLimits:
        """Returns the usual bounds."""
        return CallerLimits()

    def closing(self) -> bool:
        """Returns False: these connections may stay."""
        return False


class MetricsHandler(RequestHandler):
    """Serves the metrics as text.

    Args:
        render: Returns them.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def handle(self, exchange: Exchange) -> None:
        """Answers with all metrics."""
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.answer(200, headers, self._render())

    def limits(self) -> CallerLimits:
        """Returns the usual bounds."""
        return CallerLimits()

    def closing(self) -> bool:
        """Returns False: these connections may stay."""
        return False
