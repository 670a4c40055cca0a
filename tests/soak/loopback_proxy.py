"""A TCP proxy on loopback that can delay, reset or silence connections."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

DELAY_S = 0.15
"""How much later bytes arrive while the proxy delays."""


class ProxyMode(Enum):
    """What the proxy does with bytes and new connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class LoopbackProxy(Factory):
    """Forwards a port to another one.

    Args:
        reactor: Listens and connects.
        port: Where the connections go.
    """

    noisy = False

    def __init__(self, reactor: Any, port: int) -> None:
        self.reactor = reactor
        self.target_port = port
        self.mode = ProxyMode.PASS
        self._connections: set[_Downstream] = set()
        self._listening = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listening.getHost().port

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes what is done; RESET ends what is open."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for downstream in list(self._connections):
                downstream.abort()

    def buildProtocol(self, addr: Any) -> _Downstream:  # noqa: N802
        """Returns the near end of a new connection."""
        downstream = _Downstream(self)
        self._connections.add(downstream)
        return downstream

    def remove(self, downstream: _Downstream) -> None:
        """Drops a connection that has ended."""
        self._connections.discard(downstream)

    def stop(self) -> None:
        """Stops listening."""
        self._listening.stopListening()


class _Downstream(Protocol):
    """The caller's side of a connection."""

    transport: Any

    def __init__(self, proxy: LoopbackProxy) -> None:
        self.proxy = proxy
        self.upstream: _Upstream | None = None
        self._buffered: list[bytes] = []
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connects onwards, unless connections are reset."""
        if self.proxy.mode is ProxyMode.RESET:
            self.abort()
            return
        self.proxy.reactor.connectTCP(
            "127.0.0.1", self.proxy.target_port, _UpstreamFactory(self)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes on as the mode says."""
        mode = self.proxy.mode
        if mode is ProxyMode.SILENT:
            return
        if mode is ProxyMode.DELAY:
            self.proxy.reactor.callLater(DELAY_S, self._forward, data)
        else:
            self._forward(data)

    def write_downstream(self, data: bytes) -> None:
        """Passes bytes of the far end back as the mode says."""
        mode = self.proxy.mode
        if self.lost or mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY):
            return
        self.transport.write(data)

    def upstream_connected(self, upstream: _Upstream) -> None:
        """Takes the far end."""
        self.upstream = upstream
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            upstream.transport.write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Ends the far end."""
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
    """The other side of a connection."""

    transport: Any

    def __init__(self, downstream: _Downstream) -> None:
        self._downstream = downstream
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Joins both sides."""
        self._downstream.upstream_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes back."""
        self._downstream.write_downstream(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Ends the near side."""
        self.lost = True
        if not self._downstream.lost:
            self._downstream.transport.loseConnection()


class _UpstreamFactory(ClientFactory):
    """Connects one far end."""

    noisy = False

    def __init__(self, downstream: _Downstream) -> None:
        self._downstream = downstream

    def buildProtocol(self, addr: Any) -> _Upstream:  # noqa: N802
        """Returns the far end."""
        return _Upstream(self._downstream)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Resets the near end."""
        if not self._downstream.lost:
            self._downstream.abort()
