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
        self._ends: set[_Near] = set()
        self._listening = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port: int = self._listening.getHost().port

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes what is done; RESET ends what is open."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for near in list(self._ends):
                near.abort()

    def buildProtocol(self, addr: Any) -> _Near:  # noqa: N802
        """Returns the near end of a new connection."""
        near = _Near(self)
        self._ends.add(near)
        return near

    def forget(self, near: _Near) -> None:
        """Drops a connection that has ended."""
        self._ends.discard(near)

    def stop(self) -> None:
        """Stops listening."""
        self._listening.stopListening()


class _Near(Protocol):
    """The caller's side of a connection."""

    transport: Any

    def __init__(self, proxy: LoopbackProxy) -> None:
        self.proxy = proxy
        self.far: _Far | None = None
        self._held: list[bytes] = []
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connects onwards, unless connections are reset."""
        if self.proxy.mode is ProxyMode.RESET:
            self.abort()
            return
        self.proxy.reactor.connectTCP(
            "127.0.0.1", self.proxy.target_port, _FarFactory(self)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes on as the mode says."""
        mode = self.proxy.mode
        if mode is ProxyMode.SILENT:
            return
        if mode is ProxyMode.DELAY:
            self.proxy.reactor.callLater(DELAY_S, self._onwards, data)
        else:
            self._onwards(data)

    def back(self, data: bytes) -> None:
        """Passes bytes of the far end back as the mode says."""
        mode = self.proxy.mode
        if self.lost or mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY):
            return
        self.transport.write(data)

    def join(self, far: _Far) -> None:
        """Takes the far end."""
        self.far = far
        held, self._held = self._held, []
        for data in held:
            far.transport.write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Ends the far end."""
        self.lost = True
        self.proxy.forget(self)
        if self.far is not None and not self.far.lost:
            self.far.transport.abortConnection()

    def abort(self) -> None:
        """Resets the connection."""
        self.transport.abortConnection()

    def _onwards(self, data: bytes) -> None:
        if self.lost:
            return
        if self.far is None:
            self._held.append(data)
        elif not self.far.lost:
            self.far.transport.write(data)


class _Far(Protocol):
    """The other side of a connection."""

    transport: Any

    def __init__(self, near: _Near) -> None:
        self._near = near
        self.lost = False

    def connectionMade(self) -> None:  # noqa: N802
        """Joins both sides."""
        self._near.join(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes bytes back."""
        self._near.back(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Ends the near side."""
        self.lost = True
        if not self._near.lost:
            self._near.transport.loseConnection()


class _FarFactory(ClientFactory):
    """Connects one far end."""

    noisy = False

    def __init__(self, near: _Near) -> None:
        self._near = near

    def buildProtocol(self, addr: Any) -> _Far:  # noqa: N802
        """Returns the far end."""
        return _Far(self._near)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Resets the near end."""
        if not self._near.lost:
            self._near.abort()
