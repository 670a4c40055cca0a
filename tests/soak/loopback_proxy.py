"""A TCP proxy on loopback that can delay, reset or drop traffic."""

from __future__ import annotations

import socket
from enum import Enum
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

DELAY_S = 0.15
"""Delay of bytes from the client in DELAY mode."""


class ProxyMode(Enum):
    """How the proxy treats connections and bytes.

    Attributes:
        PASS: Forwards everything.
        DELAY: Forwards bytes from the client after a delay.
        RESET: Resets open and new connections.
        SILENT: Drops the bytes of both directions.
        ONE_WAY: Drops the bytes of the server.
        REFUSE: Forwards on open connections and refuses new ones.
        CUT: Resets open connections and refuses new ones.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    REFUSE = "refuse"
    CUT = "cut"


_REFUSING = (ProxyMode.REFUSE, ProxyMode.CUT)


class LoopbackProxy(Factory):
    """Forwards connections from a port of its own to another port.

    Args:
        reactor: Listens and connects.
        port: Port to connect to.
    """

    noisy = False

    def __init__(self, reactor: Any, port: int) -> None:
        self.reactor = reactor
        self.target_port = port
        self.mode = ProxyMode.PASS
        self._connections: set[_Downstream] = set()
        # Keeps the port for this proxy while it refuses connections.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        self.port: int = self._reserved.getsockname()[1]
        self._listening = reactor.listenTCP(
            self.port, self, interface="127.0.0.1"
        )

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes the mode, also for the open connections."""
        self.mode = mode
        if mode in _REFUSING:
            if self._listening.connected:
                self._listening.stopListening()
        elif not self._listening.connected:
            self._listening.startListening()
        if mode in (ProxyMode.RESET, ProxyMode.CUT):
            for downstream in list(self._connections):
                downstream.abort()

    def buildProtocol(self, addr: Any) -> _Downstream:  # noqa: N802
        """Returns the client side of a new connection."""
        downstream = _Downstream(self)
        self._connections.add(downstream)
        return downstream

    def remove(self, downstream: _Downstream) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(downstream)

    def stop(self) -> None:
        """Stops listening."""
        self._listening.stopListening()
        self._reserved.close()


class _Downstream(Protocol):
    """The client side of a connection."""

    transport: Any

    def __init__(self, proxy: LoopbackProxy) -> None:
        self.proxy = proxy
        self.upstream: _Upstream | None = None
        self._buffered: list[bytes] = []
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connects to the server, unless connections are reset."""
        if self.proxy.mode is ProxyMode.RESET:
            self.abort()
            return
        self.proxy.reactor.connectTCP(
            "127.0.0.1", self.proxy.target_port, _UpstreamFactory(self)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards bytes to the server as the mode requires."""
        mode = self.proxy.mode
        if mode is ProxyMode.SILENT:
            return
        if mode is ProxyMode.DELAY:
            self.proxy.reactor.callLater(DELAY_S, self._forward, data)
        else:
            self._forward(data)

    def write_downstream(self, data: bytes) -> None:
        """Sends bytes to the client as the mode requires."""
        mode = self.proxy.mode
        if self.lost or mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY):
            return
        self.transport.write(data)

    def upstream_connected(self, upstream: _Upstream) -> None:
        """Attaches the server side and sends it the buffered bytes."""
        self.upstream = upstream
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            upstream.transport.write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Closes the server side."""
        self.lost = True
        self.proxy.remove(self)
        if self.upstream is not None and not self.upstream.lost:
            self.upstream.transport.abortConnection()

    def abort(self) -> None:
        """Resets the connection."""
        self.transport.abortConnection()

    def _forward(self, data: bytes) -> None:
        if self.lost:
            return
        if self.upstream is None:
            self._buffered.append(data)
        elif not self.upstream.lost:
            self.upstream.transport.write(data)


class _Upstream(Protocol):
    """The server side of a connection."""

    transport: Any

    def __init__(self, downstream: _Downstream) -> None:
        self._downstream = downstream
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Attaches itself to the client side."""
        self._downstream.upstream_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes to the client side."""
        self._downstream.write_downstream(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Closes the client side."""
        self.lost = True
        if not self._downstream.lost:
            self._downstream.transport.loseConnection()


class _UpstreamFactory(ClientFactory):
    """Creates the server side of one connection."""

    noisy = False

    def __init__(self, downstream: _Downstream) -> None:
        self._downstream = downstream

    def buildProtocol(self, addr: Any) -> _Upstream:  # noqa: N802
        """Returns the server side."""
        return _Upstream(self._downstream)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Resets the client side."""
        if not self._downstream.lost:
            self._downstream.abort()
