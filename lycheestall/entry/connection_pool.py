"""Kept connections to targets and to the store."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .http_client_connection import HttpClientConnection

__all__ = ["ConnectionPool"]

MAX_IDLE = 16
"""Idle connections kept to one peer."""

IDLE_MARGIN_S = 1.5
"""Seconds before a peer's idle timeout at which a connection is dropped."""

DEFAULT_IDLE_S = 4.0
"""Idle seconds after which a connection is dropped if the peer did not
say how long it keeps one."""


class ConnectionPool:
    """Connections to one address, the last used first.

    Args:
        reactor: Opens connections and tells the time.
        host: The peer's IP address.
        port: Its TCP port.
        connect_timeout_s: Longest time for a new connection.
        idle_s: Idle time after which a connection is not used again,
            where the peer did not say.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        *,
        connect_timeout_s: float,
        idle_s: float = DEFAULT_IDLE_S,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: list[HttpClientConnection] = []

    def acquire(self) -> Deferred[HttpClientConnection]:
        """Returns an idle connection, or opens one."""
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.open and self._fresh(connection, now):
                return succeed(connection)
            connection.abort()
        return self._connect()

    def release(self, connection: HttpClientConnection) -> None:
        """Takes a connection back after its answer, or drops it."""
        if not connection.open:
            connection.transport.loseConnection()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE:
            self._idle.pop(0).transport.loseConnection()

    def close(self) -> None:
        """Drops the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.transport.loseConnection()

    def _fresh(self, connection: HttpClientConnection, now: float) -> bool:
        limit_s = self._idle_s
        if connection.idle_timeout_s is not None:
            limit_s = max(connection.idle_timeout_s - IDLE_MARGIN_S, 0.5)
        return now - connection.idle_since < limit_s

    def _connect(self) -> Deferred[HttpClientConnection]:
        factory = _Connecting(self._lost)
        connector = self._reactor.connectTCP(
            self._host, self._port, factory, timeout=self._connect_timeout_s
        )
        factory.connector = connector
        return factory.connected

    def _lost(self, connection: HttpClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)


class _Connecting(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, lost: Any) -> None:
        self.connector: Any = None
        self.connected: Deferred[HttpClientConnection] = Deferred(self._cancel)
        self._lost = lost
        self._done = False

    def buildProtocol(  # noqa: N802
        self, addr: IAddress | None
    ) -> HttpClientConnection | None:
        """Returns the protocol of the new connection."""
        if self._done:
            return None
        connection = _Announced(self)
        connection.on_lost = self._lost
        return connection

    def made(self, connection: HttpClientConnection) -> None:
        """Hands over the connection."""
        if self._done:
            connection.abort()
            return
        self._done = True
        self.connected.callback(connection)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Failure
    ) -> None:
        """Reports that no connection came about."""
        if not self._done:
            self._done = True
            self.connected.errback(reason)

    def _cancel(self, _: Deferred[HttpClientConnection]) -> None:
        self._done = True
        if self.connector is not None:
            self.connector.disconnect()


class _Announced(HttpClientConnection):
    """A connection that tells its factory when it is up."""

    def __init__(self, factory: _Connecting) -> None:
        super().__init__()
        self._factory = factory

    def connectionMade(self) -> None:  # noqa: N802
        """Sets the socket up, then announces the connection."""
        super().connectionMade()
        self._factory.made(self)
