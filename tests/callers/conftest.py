"""A connection on a virtual clock, and its other end."""

from __future__ import annotations

from lycheestall.entry.callers import CallerConnection, CallerFactory
from tests.entry.fake_network import FakeReactor, FakeTransport


class Caller:
    """The other end of a connection; takes note of what it receives.

    Args:
        factory: Creates the connection.
        reactor: The virtual clock.

    Attributes:
        connection: The VM's end.
        data: What was received.
        lost: Whether the connection is closed.
    """

    def __init__(self, factory: CallerFactory, reactor: FakeReactor) -> None:
        self.connection: CallerConnection = factory.buildProtocol(None)
        self.data = b""
        self.lost = False
        near, self.transport = FakeTransport(reactor), FakeTransport(reactor)
        near.protocol, self.transport.protocol = self.connection, self
        near.peer, self.transport.peer = self.transport, near
        self.connection.transport = near
        self.connection.connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects received data."""
        self.data += data

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Notes that the connection is closed."""
        self.lost = True
