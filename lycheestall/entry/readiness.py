"""HTTP handlers for the readiness and metrics endpoints."""

from __future__ import annotations

from collections.abc import Callable

from .configuration import CallerLimits
from .responses import Exchange, RequestHandler

__all__ = ["MetricsHandler", "ReadinessHandler"]

_LIMITS = CallerLimits(body_bytes=1024)
"""Requests to these endpoints need no body."""


class ReadinessHandler(RequestHandler):
    """Responds with 200 while the VM accepts new callers, else with 503.

    Args:
        ready: Returns whether the VM accepts new callers.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def handle(self, exchange: Exchange) -> None:
        """Responds with the readiness of the VM."""
        if self._ready():
            exchange.respond(200, [], b"ready\n")
        else:
            exchange.respond(503, [], b"not ready\n")

    def limits(self) -> CallerLimits:
        """Returns limits without room for bodies."""
        return _LIMITS

    def should_close(self) -> bool:
        """Returns False: connections are kept open."""
        return False


class MetricsHandler(RequestHandler):
    """Serves the metrics in the Prometheus text format.

    Args:
        render: Returns the exposition.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def handle(self, exchange: Exchange) -> None:
        """Responds with all metrics."""
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.respond(200, headers, self._render())

    def limits(self) -> CallerLimits:
        """Returns limits without room for bodies."""
        return _LIMITS

    def should_close(self) -> bool:
        """Returns False: connections are kept open."""
        return False
