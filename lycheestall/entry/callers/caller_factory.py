"""Creates the connections of a port."""

from __future__ import annotations

from twisted.internet.protocol import Factory

from ...clock import Clock
from ..exchange import RequestHandler
from .bounds import ConnectionBounds
from .caller_connection import CallerConnection
from .connection_budget import ConnectionBudget
from .connection_use import Displaceable
from .limit_log import LimitLog
from .refusals import LimitCause

__all__ = ["CallerFactory"]

_WITHOUT_BOUNDS = ConnectionBounds(memory_bytes=2**40, descriptors=2**30)


class CallerFactory(Factory):
    """Creates callers' connections and tracks the open ones.

    Args:
        handler: Handles the requests.
        clock: Schedules the timeouts.
        bounds: Bounds on all connections together; none by default.
        log: Notes the bounds that connections reach, if given.
    """

    noisy = False

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        *,
        bounds: ConnectionBounds = _WITHOUT_BOUNDS,
        log: LimitLog | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._log = log
        self._open: set[CallerConnection] = set()
        # Shared by all connections, which saves memory.
        self._on_closed = self._open.discard
        self._on_limited = self._limited
        self.budget: ConnectionBudget[Displaceable] = ConnectionBudget(bounds)

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Creates the protocol of a new connection."""
        connection = CallerConnection(
            self._handler,
            self._clock,
            self.budget,
            on_closed=self._on_closed,
            on_limited=self._on_limited,
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

    def _limited(self, cause: LimitCause, address: str) -> None:
        if self._log is not None:
            self._log.reached(cause, address)
