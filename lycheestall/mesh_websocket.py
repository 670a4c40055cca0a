"""The mesh over WebSockets: one connection per pair, CBOR frames."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections import deque
from collections.abc import Coroutine
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from .codec import (
    MAX_FRAME_BYTES,
    CodecError,
    decode_message,
    encode_message,
)
from .ids import VmId
from .mesh import Mesh, MessageHandler, PeerLostHandler
from .mesh_tls import TlsContexts, certificate_names, is_loopback
from .messages import Hello, MeshMessage

__all__ = ["WebsocketMesh"]

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
OPEN_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 0.2
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0
TLS_CHECK_INTERVAL_S = 1.0
MAX_QUEUED_BYTES = 64 * 1024 * 1024
MAX_PENDING_HANDSHAKES = 64

_log = structlog.get_logger(__name__)


class _Link:
    """One open connection and its bounded send queue."""

    def __init__(self, peer: VmId, connection: Connection) -> None:
        self.peer = peer
        self.connection = connection
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._frames_queued = asyncio.Event()

    def enqueue(self, frame: bytes) -> bool:
        """Queues a frame; returns False if the queue is full."""
        if self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            return False
        self._frames.append(frame)
        self._queued_bytes += len(frame)
        self._frames_queued.set()
        return True

    async def send_forever(self) -> None:
        """Sends queued frames until the connection closes."""
        while True:
            await self._frames_queued.wait()
            self._frames_queued.clear()
            while self._frames:
                frame = self._frames.popleft()
                self._queued_bytes -= len(frame)
                await self.connection.send(frame)

    def abort(self) -> None:
        """Closes the connection without a closing handshake."""
        self.connection.transport.abort()


class WebsocketMesh(Mesh):
    """Keeps one connection to each peer; the lower VM id connects.

    Needs a running asyncio event loop, on which the Twisted reactor
    runs too. The WebSocket library's keepalive pings detect an
    unresponsive connection within ``ping_interval_s + ping_timeout_s``;
    the connecting side then opens a new one. Both sides' first frame is
    ``Hello``. Without ``tls``, the mesh only listens on and connects to
    loopback addresses.
    """

    def __init__(
        self,
        hello: Hello,
        host: str,
        port: int,
        *,
        tls: TlsContexts | None = None,
        ping_interval_s: float = PING_INTERVAL_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ) -> None:
        """Creates the mesh; ``start`` opens the listener.

        Args:
            hello: The ``Hello`` message of this daemon.
            host: IP address to listen on.
            port: Port to listen on; 0 selects a free one.
            tls: Contexts for mutual TLS; None allows loopback addresses
                only.
            ping_interval_s: Seconds between pings on a connection.
            ping_timeout_s: Seconds to wait for a pong.

        Raises:
            ValueError: There is no TLS and the address is not loopback.
        """
        if tls is None and not is_loopback(host):
            raise ValueError(
                f"mesh without TLS needs a loopback address, not {host}"
            )
        self._hello = hello
        self._host = host
        self._port = port
        self._tls = tls
        self._ping_interval_s = ping_interval_s
        self._ping_timeout_s = ping_timeout_s
        self._server: Server | None = None
        self._server_context: ssl.SSLContext | None = None
        self._link_by_vm: dict[VmId, _Link] = {}
        self._address_by_vm: dict[VmId, tuple[str, int]] = {}
        self._connect_task_by_vm: dict[VmId, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_handshakes = 0
        self._message_handler: MessageHandler | None = None
        self._lost_handler: PeerLostHandler | None = None

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        return self._port

    def start(self) -> Deferred[None]:
        """Opens the listener."""
        return Deferred.fromFuture(asyncio.ensure_future(self._start()))

    def stop(self) -> Deferred[None]:
        """Closes the listener and all connections."""
        return Deferred.fromFuture(asyncio.ensure_future(self._stop()))

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Queues a message; a full queue closes the connection."""
        link = self._link_by_vm.get(peer)
        if link is None:
            return False
        frame = encode_message(message)
        if len(frame) > MAX_FRAME_BYTES:
            _log.error("mesh.frame_too_large", peer=peer, size=len(frame))
            return False
        if link.enqueue(frame):
            return True
        _log.warning("mesh.queue_full", peer=peer)
        link.abort()
        return False

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Sets the peers to stay connected to; others are disconnected."""
        addresses = dict(address_by_vm)
        addresses.pop(self._hello.vm, None)
        for vm, address in self._address_by_vm.items():
            if addresses.get(vm) == address:
                continue
            self._disconnect(vm)
        self._address_by_vm = addresses
        for vm, (host, port) in addresses.items():
            if vm < self._hello.vm or vm in self._connect_task_by_vm:
                continue
            if self._tls is None and not is_loopback(host):
                _log.error("mesh.peer_not_loopback", peer=vm, host=host)
                continue
            task = self._spawn(self._keep_connected(vm, host, port))
            self._connect_task_by_vm[vm] = task

    def connected(self) -> frozenset[VmId]:
        """Returns the peers with an open connection."""
        return frozenset(self._link_by_vm)

    def on_message(self, handler: MessageHandler) -> None:
        """Sets the handler of received messages."""
        self._message_handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets the handler of lost connections."""
        self._lost_handler = handler

    def _disconnect(self, vm: VmId) -> None:
        connect_task = self._connect_task_by_vm.pop(vm, None)
        if connect_task is not None:
            connect_task.cancel()
        link = self._link_by_vm.get(vm)
        if link is not None:
            link.abort()

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self) -> None:
        await self._listen()
        if self._tls is not None:
            self._spawn(self._watch_tls_files(self._tls))

    async def _listen(self) -> None:
        context = None if self._tls is None else self._tls.server()
        self._server = await serve(
            self._accept,
            self._host,
            self._port,
            ssl=context,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=self._ping_interval_s,
            ping_timeout=self._ping_timeout_s,
            close_timeout=CLOSE_TIMEOUT_S,
        )
        self._server_context = context
        for socket in self._server.sockets:
            self._port = socket.getsockname()[1]

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for link in list(self._link_by_vm.values()):
            link.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.wait_closed()

    async def _watch_tls_files(self, tls: TlsContexts) -> None:
        """Reopens the listener when the TLS files have changed.

        Open connections are kept.
        """
        while True:
            await asyncio.sleep(TLS_CHECK_INTERVAL_S)
            try:
                if tls.server() is self._server_context:
                    continue
                if self._server is not None:
                    self._server.close(close_connections=False)
                await self._listen()
            except (OSError, ssl.SSLError) as error:
                _log.error("mesh.tls_files", error=repr(error))

    async def _accept(self, connection: ServerConnection) -> None:
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            return
        self._pending_handshakes += 1
        try:
            peer = await self._exchange_hello(connection)
        finally:
            self._pending_handshakes -= 1
        if peer is not None:
            await self._run_link(_Link(peer, connection))

    async def _keep_connected(self, vm: VmId, host: str, port: int) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            if await self._connect_once(vm, host, port):
                delay_s = RECONNECT_MIN_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, RECONNECT_MAX_S)

    async def _connect_once(self, vm: VmId, host: str, port: int) -> bool:
        """Opens one connection and runs it until it closes.

        Returns:
            Whether the connection was established.
        """
        url_host = f"[{host}]" if ":" in host else host
        scheme = "ws" if self._tls is None else "wss"
        try:
            async with connect(
                f"{scheme}://{url_host}:{port}/",
                ssl=None if self._tls is None else self._tls.client(),
                compression=None,
                proxy=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=OPEN_TIMEOUT_S,
                ping_interval=self._ping_interval_s,
                ping_timeout=self._ping_timeout_s,
                close_timeout=CLOSE_TIMEOUT_S,
            ) as connection:
                if await self._exchange_hello(connection) != vm:
                    return False
                await self._run_link(_Link(vm, connection))
                return True
        except (OSError, TimeoutError, WebSocketException) as error:
            _log.debug("mesh.dial_failed", peer=vm, error=repr(error))
            return False
        except Exception:
            _log.exception("mesh.dial_broke", peer=vm)
            return False

    async def _exchange_hello(self, connection: Connection) -> VmId | None:
        """Exchanges ``Hello`` messages; returns None to reject the peer."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await connection.send(encode_message(self._hello))
                frame = await connection.recv(decode=False)
            message = decode_message(frame)
        except (ConnectionClosed, CodecError, TimeoutError) as error:
            _log.warning("mesh.no_hello", error=repr(error))
            return None
        if not isinstance(message, Hello):
            _log.warning("mesh.no_hello", got=type(message).__name__)
            return None
        if message.cell != self._hello.cell or message.vm == self._hello.vm:
            _log.warning("mesh.foreign_hello", peer=message.vm)
            return None
        if self._tls is not None and message.vm not in _peer_certificate_names(
            connection
        ):
            _log.warning("mesh.certificate_mismatch", peer=message.vm)
            return None
        return message.vm

    async def _run_link(self, link: _Link) -> None:
        previous = self._link_by_vm.pop(link.peer, None)
        if previous is not None:
            previous.abort()
            self._notify_lost(link.peer)
        self._link_by_vm[link.peer] = link
        sender = self._spawn(link.send_forever())
        try:
            await self._receive(link)
        except (ConnectionClosed, CodecError) as error:
            _log.info("mesh.lost", peer=link.peer, error=repr(error))
        finally:
            sender.cancel()
            link.abort()
            if self._link_by_vm.get(link.peer) is link:
                del self._link_by_vm[link.peer]
                self._notify_lost(link.peer)

    async def _receive(self, link: _Link) -> None:
        while True:
            message = decode_message(await link.connection.recv(decode=False))
            if self._link_by_vm.get(link.peer) is not link:
                return
            if self._message_handler is None:
                continue
            try:
                self._message_handler(link.peer, message)
            except Exception:
                kind = type(message).__name__
                _log.exception("mesh.handler_failed", kind=kind)

    def _notify_lost(self, peer: VmId) -> None:
        if self._lost_handler is not None:
            self._lost_handler(peer)


def _peer_certificate_names(connection: Connection) -> frozenset[VmId]:
    ssl_object = connection.transport.get_extra_info("ssl_object")
    if ssl_object is None:
        return frozenset()
    return certificate_names(ssl_object.getpeercert())
