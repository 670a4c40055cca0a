"""In-memory connections on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,  # noqa: A004
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lycheestall.entry.http_messages import Header
from tests.entry.fake_links import LinkFault, TargetLink

RequestCallback = Callable[["ReceivedRequest"], None]
"""Handles a request that a target received."""


class FakeTransport:
    """Transport of one end; delivers written bytes to the other end."""

    def __init__(
        self,
        reactor: FakeReactor,
        link: TargetLink | None = None,
        host: str = "",
    ) -> None:
        self._reactor = reactor
        self._link = link
        self.host = host
        self.protocol: Any = None
        self.peer: FakeTransport | None = None
        self.written = b""
        self.closed = False
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if self.closed:
            return
        self.written += data
        self._reactor.callLater(0, self._send, lambda: self._deliver(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection after all written bytes."""
        self._close(ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Resets the connection."""
        self.aborted = True
        self._close(ConnectionLost())

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Does nothing: every byte is sent at once."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Does nothing."""

    def _send(self, deliver: Callable[[], None]) -> None:
        if self._link is None:
            deliver()
        else:
            self._link.deliver(self.host, deliver)

    def _deliver(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and not peer.closed:
            peer.protocol.dataReceived(data)

    def _close(self, reason: Exception) -> None:
        if self.closed:
            return
        self.closed = True
        self._reactor.callLater(
            0, self.protocol.connectionLost, Failure(ConnectionDone())
        )
        self._reactor.callLater(
            0, self._send, lambda: self._close_peer(reason)
        )

    def _close_peer(self, reason: Exception) -> None:
        peer = self.peer
        if peer is None or peer.closed:
            return
        peer.closed = True
        peer.protocol.connectionLost(Failure(reason))


class ReceivedRequest:
    """A request received by a target, with methods to respond."""

    def __init__(
        self,
        connection: FakeTargetConnection,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
    ) -> None:
        self._connection = connection
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body

    @property
    def connection(self) -> FakeTargetConnection:
        """The connection that it came over."""
        return self._connection

    @property
    def disconnected(self) -> bool:
        """Whether the connection is closed."""
        return self._connection.lost

    def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self._connection.transport.write(data)

    def close(self) -> None:
        """Closes the connection gracefully."""
        self._connection.transport.loseConnection()

    def reset(self) -> None:
        """Resets the connection."""
        self._connection.transport.abortConnection()

    def respond(
        self,
        status: int,
        body: bytes = b"",
        *,
        headers: tuple[Header, ...] = (),
        request_id: bytes | None = None,
        sealed: bool = True,
    ) -> None:
        """Sends a complete response."""
        self.send(
            self.encode_response(
                status,
                body,
                headers=headers,
                request_id=request_id,
                sealed=sealed,
            )
        )

    def encode_response(
        self,
        status: int,
        body: bytes = b"",
        *,
        headers: tuple[Header, ...] = (),
        request_id: bytes | None = None,
        sealed: bool = True,
    ) -> bytes:
        """Returns an encoded response."""
        echoed = request_id or self.headers[b"x-request-id"]
        lines = [b"HTTP/1.1 %d Any" % status, b"X-Request-Id: " + echoed]
        if sealed:
            lines.append(b"X-Response-Seal: seal")
        lines.append(b"Content-Length: %d" % len(body))
        lines.extend(name + b": " + value for name, value in headers)
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def start_stream(self) -> None:
        """Sends the head of a stream."""
        self.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Response-Seal: seal-of-the-first\r\nX-Request-Id: "
            + self.headers[b"x-request-id"]
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    def send_event(self, number: int) -> None:
        """Sends one event."""
        data = b"id: %d\ndata: piece\n\n" % number
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Ends the stream."""
        self.send(b"0\r\n\r\n")


class FakeTargetConnection:
    """The target's end of a connection."""

    def __init__(self, target: FakeTarget, transport: FakeTransport) -> None:
        self.transport = transport
        self.lost = False
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses bytes sent by the VM."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Records that the connection is closed."""
        self.lost = True

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Stores the URL."""
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Passes the complete request to the target."""
        request = ReceivedRequest(
            self,
            self._parser.get_method(),
            self._url,
            self._headers,
            self._body,
        )
        self._target.requests.append(request)
        self._target.on_request(request)


class FakeTarget:
    """A target whose responses a test defines."""

    def __init__(self, on_request: RequestCallback) -> None:
        self.on_request = on_request
        self.requests: list[ReceivedRequest] = []
        self.connections: list[FakeTargetConnection] = []


class FakeReactor(Clock):  # type: ignore[misc]
    """A virtual clock with connections to fake targets."""

    def __init__(self) -> None:
        super().__init__()
        self.target_by_address: dict[tuple[str, int], FakeTarget] = {}
        self.listener_by_address: dict[tuple[str, int], Any] = {}

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        link: TargetLink | None = None,
    ) -> Any:
        """Connects a client to a target, or refuses the connection."""
        listener = self.listener_by_address.get((host, port))
        if listener is not None:
            self.callLater(0.001, self._accept, listener, factory)
            return _Connector()
        fault = None if link is None else link.fault_to(host)
        if fault is LinkFault.SILENT:
            self.callLater(timeout, self._fail, factory, TimeoutError())
            return _Connector()
        target = self.target_by_address.get((host, port))
        if fault is not None:
            target = None
        self.callLater(0.001, self._connected, target, factory, link, host)
        return _Connector()

    def open_connection(self, protocol: Any) -> FakeTransport:
        """Connects to a protocol; returns the caller's end."""
        local, remote = self._transport_pair()
        remote.protocol = protocol
        local.protocol = RecordingCaller()
        protocol.makeConnection(remote)
        return local

    def run(self, seconds: float) -> None:
        """Advances the clock in steps of one millisecond."""
        for _ in range(int(seconds * 1000)):
            self.advance(0.001)

    def _accept(self, listener: Any, factory: Any) -> None:
        local, remote = self._transport_pair()
        remote.protocol = listener.buildProtocol(None)
        local.protocol = factory.buildProtocol(None)
        if local.protocol is None:
            return
        remote.protocol.makeConnection(remote)
        local.protocol.makeConnection(local)

    def _fail(self, factory: Any, error: Exception) -> None:
        factory.clientConnectionFailed(None, Failure(error))

    def _connected(
        self,
        target: FakeTarget | None,
        factory: Any,
        link: TargetLink | None,
        host: str,
    ) -> None:
        if target is None:
            self._fail(factory, ConnectionRefusedError())
            return
        local, remote = self._transport_pair(link, host)
        if link is not None:
            link.add(local)
        local.protocol = factory.buildProtocol(None)
        if local.protocol is None:
            return
        connection = FakeTargetConnection(target, remote)
        remote.protocol = connection
        target.connections.append(connection)
        local.protocol.makeConnection(local)

    def _transport_pair(
        self, link: TargetLink | None = None, host: str = ""
    ) -> tuple[FakeTransport, FakeTransport]:
        one = FakeTransport(self, link, host)
        other = FakeTransport(self, link, host)
        one.peer, other.peer = other, one
        return one, other


class VmReactor:
    """The reactor as one VM sees it, with its own links to the targets.

    Args:
        reactor: The reactor that all VMs share.

    Attributes:
        link: The VM's links to its targets.
    """

    def __init__(self, reactor: FakeReactor) -> None:
        self._reactor = reactor
        self.link = TargetLink()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> Any:
        """Connects to a target over the VM's links."""
        return self._reactor.connectTCP(
            host, port, factory, timeout=timeout, link=self.link
        )


class _Connector:
    """The return value of ``connectTCP``."""

    def disconnect(self) -> None:
        """Does nothing."""


class RecordingCaller:
    """A caller's protocol that records what it receives."""

    def __init__(self) -> None:
        self.data = b""
        self.lost: Failure | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Appends received bytes."""
        self.data += data

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Records why the connection was closed."""
        self.lost = reason
