"""Connections in memory, on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lycheestall.entry.http_messages import Header

Answer = Callable[["ServedRequest"], None]
"""What a target does with a request."""


class Pipe:
    """One end's transport; what is written reaches the other end."""

    def __init__(self, reactor: FakeReactor) -> None:
        self._reactor = reactor
        self.protocol: Any = None
        self.peer: Pipe | None = None
        self.written = b""
        self.closed = False
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if self.closed:
            return
        self.written += data
        self._reactor.callLater(0, self._deliver, data)

    def loseConnection(self) -> None:  # noqa: N802
        """Ends the connection after what was written."""
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
        self._reactor.callLater(0, self._close_peer, reason)

    def _close_peer(self, reason: Exception) -> None:
        peer = self.peer
        if peer is None or peer.closed:
            return
        peer.closed = True
        peer.protocol.connectionLost(Failure(reason))


class ServedRequest:
    """A request as a target sees it, and ways to answer."""

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
    def disconnected(self) -> bool:
        """Whether the connection has gone."""
        return self._connection.lost

    def send(self, data: bytes) -> None:
        """Sends bytes as they are."""
        self._connection.pipe.write(data)

    def close(self) -> None:
        """Ends the connection in order."""
        self._connection.pipe.loseConnection()

    def reset(self) -> None:
        """Resets the connection."""
        self._connection.pipe.abortConnection()

    def answer(
        self,
        status: int,
        body: bytes = b"",
        *,
        headers: tuple[Header, ...] = (),
        request_id: bytes | None = None,
        sealed: bool = True,
    ) -> None:
        """Sends a whole answer."""
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
        """Returns a whole answer."""
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

    def event(self, number: int) -> None:
        """Sends one event."""
        data = b"id: %d\ndata: piece\n\n" % number
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Ends the stream."""
        self.send(b"0\r\n\r\n")


class FakeTargetConnection:
    """A target's end of one connection."""

    def __init__(self, target: FakeTarget, pipe: Pipe) -> None:
        self.pipe = pipe
        self.lost = False
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses the system's bytes."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Notes the end."""
        self.lost = True

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Keeps the URL."""
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Keeps a piece of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Hands the request to the target."""
        request = ServedRequest(
            self,
            self._parser.get_method(),
            self._url,
            self._headers,
            self._body,
        )
        self._target.requests.append(request)
        self._target.on_request(request)


class FakeTarget:
    """A target whose answers a test decides on."""

    def __init__(self, on_request: Answer) -> None:
        self.on_request = on_request
        self.requests: list[ServedRequest] = []
        self.connections: list[FakeTargetConnection] = []


class FakeReactor(Clock):  # type: ignore[misc]
    """A virtual clock that connects to fake targets."""

    def __init__(self) -> None:
        super().__init__()
        self.target_by_address: dict[tuple[str, int], FakeTarget] = {}

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> Any:
        """Connects a client to a target, or refuses."""
        target = self.target_by_address.get((host, port))
        self.callLater(0.001, self._connected, target, factory)
        return _Connector()

    def open(self, protocol: Any) -> Pipe:
        """Returns a caller's end of a new connection to a protocol."""
        ours, theirs = self._pipes()
        theirs.protocol = protocol
        ours.protocol = Collector()
        protocol.makeConnection(theirs)
        return ours

    def run(self, seconds: float) -> None:
        """Lets time pass in steps of a millisecond."""
        for _ in range(int(seconds * 1000)):
            self.advance(0.001)

    def _connected(self, target: FakeTarget | None, factory: Any) -> None:
        if target is None:
            factory.clientConnectionFailed(
                None, Failure(ConnectionRefusedError())
            )
            return
        ours, theirs = self._pipes()
        ours.protocol = factory.buildProtocol(None)
        if ours.protocol is None:
            return
        connection = FakeTargetConnection(target, theirs)
        theirs.protocol = connection
        target.connections.append(connection)
        ours.protocol.makeConnection(ours)

    def _pipes(self) -> tuple[Pipe, Pipe]:
        one, other = Pipe(self), Pipe(self)
        one.peer, other.peer = other, one
        return one, other


class _Connector:
    """What ``connectTCP`` returns."""

    def disconnect(self) -> None:
        """Does nothing."""


class Collector:
    """A caller: keeps what it gets."""

    def __init__(self) -> None:
        self.data = b""
        self.lost: Failure | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps bytes."""
        self.data += data

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Keeps the reason."""
        self.lost = reason
