"""A pool of persistent HTTP client connections to one address."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import TCPTimedOutError, TimeoutError  # noqa: A004
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .http_client_connection import HttpClientConnection

__all__ = ["ConnectionPool", "is_timeout"]

MAX_IDLE_CONNECTIONS = 16
"""Maximum number of idle connections to one peer."""

IDLE_MARGIN_S = 1.5
"""Seconds before the peer's idle timeout after which a connection is no
longer used."""

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout in seconds where the peer has not announced one."""


class ConnectionPool:
    """Reuses connections to one address, the most recently used first.

    Args:
        reactor: Opens connections and provides the time.
        host: IP address of the peer.
        port: TCP port of the peer.
        connect_timeout_s: Timeout for opening a connection.
        idle_s: Idle time after which a connection is not reused, where
            the peer has not announced its own timeout.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        *,
        connect_timeout_s: float,
        idle_s: float = DEFAULT_IDLE_TIMEOUT_S,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: list[HttpClientConnection] = []

    def acquire(self) -> Deferred[HttpClientConnection]:
        """Returns an idle connection or opens a new one."""
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.open and self._is_fresh(connection, now):
                return succeed(connection)
            connection.abort()
        return self._connect(self._connect_timeout_s)

    def probe(self, *, timeout_s: float) -> Deferred[None]:
        """Opens a connection and keeps it as an idle one.

        Args:
            timeout_s: Timeout for opening it.
        """
        return self._connect(timeout_s).addCallback(self.release)

    def release(self, connection: HttpClientConnection) -> None:
        """Returns a connection to the pool, or closes it if unusable."""
        if not connection.open:
            connection.transport.loseConnection()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).transport.loseConnection()

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.transport.loseConnection()

    def _is_fresh(self, connection: HttpClientConnection, now: float) -> bool:
        limit_s = self._idle_s
        if connection.idle_timeout_s is not None:
            limit_s = max(connection.idle_timeout_s - IDLE_MARGIN_S, 0.5)
        return now - connection.idle_since < limit_s

    def _connect(self, timeout_s: float) -> Deferred[HttpClientConnection]:
        factory = _ConnectionFactory(self._remove)
        connector = self._reactor.connectTCP(
            self._host, self._port, factory, timeout=timeout_s
        )
        factory.connector = connector
        return factory.connected

    def _remove(self, connection: HttpClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)


def is_timeout(failure: Failure) -> bool:
    """Returns whether nothing was heard from the peer of a connection."""
    return failure.check(TimeoutError, TCPTimedOutError) is not None


class _ConnectionFactory(ClientFactory):
    """Opens a single connection for the pool."""

    noisy = False

    def __init__(self, on_lost: Any) -> None:
        self.connector: Any = None
        self.connected: Deferred[HttpClientConnection] = Deferred(self._cancel)
        self._on_lost = on_lost
        self._done = False

    def buildProtocol(  # noqa: N802
        self, addr: IAddress | None
    ) -> HttpClientConnection | None:
        """Returns the protocol instance, or None after a cancellation."""
        if self._done:
            return None
        connection = _PooledConnection(self)
        connection.on_lost = self._on_lost
        return connection

    def established(self, connection: HttpClientConnection) -> None:
        """Fires the deferred with the established connection."""
        if self._done:
            connection.abort()
            return
        self._done = True
        self.connected.callback(connection)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Failure
    ) -> None:
        """Fails the deferred with the connection error."""
        if not self._done:
            self._done = True
            self.connected.errback(reason)

    def _cancel(self, _: Deferred[HttpClientConnection]) -> None:
        self._done = True
        if self.connector is not None:
            self.connector.disconnect()


class _PooledConnection(HttpClientConnection):
    """A connection that notifies its factory when it is established."""

    def __init__(self, factory: _ConnectionFactory) -> None:
        super().__init__()
        self._factory = factory

    def connectionMade(self) -> None:  # noqa: N802
        """Sets the socket options, then notifies the factory."""
        super().connectionMade()
        self._factory.established(self)
