"""Creates the connections of a port."""

from __future__ import annotations

from twisted.internet.protocol import Factory

from ...clock import Clock
from ..http_messages import Request
from ..responses import RequestHandler, ResponseState, ResponseStep
from .bounds import ConnectionBounds
from .caller_connection import CallerConnection, ConnectionObserver
from .connection_budget import ConnectionBudget
from .connection_log import ConnectionLog
from .connection_use import Displaceable
from .refusals import LimitCause

__all__ = ["CallerFactory"]

_WITHOUT_BOUNDS = ConnectionBounds(memory_bytes=2**40, descriptors=2**30)


class CallerFactory(Factory, ConnectionObserver):
    """Creates callers' connections and tracks the open ones.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
        bounds: Bounds on all connections together; none by default.
        log: Notes what goes wrong on connections, if given.
    """

    noisy = False

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        *,
        bounds: ConnectionBounds = _WITHOUT_BOUNDS,
        log: ConnectionLog | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._log = log
        self._open: set[CallerConnection] = set()
        self.budget: ConnectionBudget[Displaceable] = ConnectionBudget(bounds)

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Creates the protocol of a new connection."""
        connection = CallerConnection(
            self._handler,
            self._clock,
            self.budget,
            observer=self,
            address=getattr(addr, "host", ""),
        )
        self._open.add(connection)
        return connection

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self._open):
            connection.close_if_idle()

    @property
    def connections(self) -> frozenset[CallerConnection]:
        """The open connections."""
        return frozenset(self._open)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not connection.idle for connection in self._open)

    def closed(self, connection: CallerConnection) -> None:
        """Forgets a connection that is closed."""
        self._open.discard(connection)

    def limited(self, cause: LimitCause, address: str) -> None:
        """Logs that a connection was refused or closed."""
        if self._log is not None:
            self._log.reached(cause, address)

    def step_misused(
        self, step: ResponseStep, before: ResponseState, request: Request
    ) -> None:
        """Logs a step of a response that was not allowed."""
        if self._log is not None:
            self._log.step_misused(step, before, request)
