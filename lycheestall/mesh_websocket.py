"""The mesh over websockets: one connection per pair, CBOR frames."""

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
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 1.0
TLS_CHECK_INTERVAL_S = 1.0
MAX_QUEUED_BYTES = 64 * 1024 * 1024
MAX_UNNAMED_CONNECTIONS = 64

_log = structlog.get_logger(__name__)


class _Link:
    """One open connection and its bounded send queue."""

    def __init__(self, peer: VmId, connection: Connection) -> None:
        self.peer = peer
        self.connection = connection
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._filled = asyncio.Event()

    def put(self, frame: bytes) -> bool:
        """Queues a frame; False when the queue is full."""
        if self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            return False
        self._frames.append(frame)
        self._queued_bytes += len(frame)
        self._filled.set()
        return True

    async def send_forever(self) -> None:
        """Writes the queue to the connection until it closes."""
        while True:
            await self._filled.wait()
            self._filled.clear()
            while self._frames:
                frame = self._frames.popleft()
                self._queued_bytes -= len(frame)
                await self.connection.send(frame)

    def abort(self) -> None:
        """Drops the connection without waiting for the peer."""
        self.connection.transport.abort()


class WebsocketMesh(Mesh):
    """Keeps one connection with each peer; the lower VM id dials.

    Needs a running asyncio event loop, on which the Twisted reactor
    runs too. The websocket library's own pings find a silent connection
    within ``ping_interval_s + ping_timeout_s``; the dialling side then
    opens a new one. Both sides' first frame is ``Hello``. Without
    ``tls`` only loopback addresses are served and dialled.
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
        """Sets up; nothing is opened before ``start``.

        Args:
            hello: What this daemon says of itself.
            host: IP address to listen on.
            port: Port to listen on; 0 takes a free one.
            tls: Mutual TLS; None allows loopback addresses only.
            ping_interval_s: Between pings on a connection.
            ping_timeout_s: How long a ping's answer may take.

        Raises:
            ValueError: No TLS and the address is not loopback.
        """
        if tls is None and not is_loopback(host):
            raise ValueError(f"mesh without TLS on {host}: not loopback")
        self._hello = hello
        self._host = host
        self._port = port
        self._tls = tls
        self._ping_interval_s = ping_interval_s
        self._ping_timeout_s = ping_timeout_s
        self._server: Server | None = None
        self._served_context: ssl.SSLContext | None = None
        self._link_by_vm: dict[VmId, _Link] = {}
        self._address_by_vm: dict[VmId, tuple[str, int]] = {}
        self._dialler_by_vm: dict[VmId, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unnamed = 0
        self._handler: MessageHandler | None = None
        self._lost: PeerLostHandler | None = None

    @property
    def port(self) -> int:
        """The port in use."""
        return self._port

    def start(self) -> Deferred[None]:
        """Opens the listener."""
        return Deferred.fromFuture(asyncio.ensure_future(self._start()))

    def stop(self) -> Deferred[None]:
        """Closes the listener and all connections."""
        return Deferred.fromFuture(asyncio.ensure_future(self._stop()))

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Queues a message; a full queue drops the connection."""
        link = self._link_by_vm.get(peer)
        if link is None:
            return False
        frame = encode_message(message)
        if len(frame) > MAX_FRAME_BYTES:
            _log.error("mesh.frame_too_large", peer=peer, size=len(frame))
            return False
        if link.put(frame):
            return True
        _log.warning("mesh.queue_full", peer=peer)
        link.abort()
        return False

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Says whom to stay connected with; others are dropped."""
        wanted = dict(address_by_vm)
        wanted.pop(self._hello.vm, None)
        for vm, address in self._address_by_vm.items():
            if wanted.get(vm) == address:
                continue
            self._drop(vm)
        self._address_by_vm = wanted
        for vm, (host, port) in wanted.items():
            if vm < self._hello.vm or vm in self._dialler_by_vm:
                continue
            if self._tls is None and not is_loopback(host):
                _log.error("mesh.peer_not_loopback", peer=vm, host=host)
                continue
            task = self._spawn(self._dial_forever(vm, host, port))
            self._dialler_by_vm[vm] = task

    def connected(self) -> frozenset[VmId]:
        """Returns the peers with an open connection."""
        return frozenset(self._link_by_vm)

    def on_message(self, handler: MessageHandler) -> None:
        """Sets who gets the messages that arrive."""
        self._handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets who is told of a peer's lost connection."""
        self._lost = handler

    def _drop(self, vm: VmId) -> None:
        dialler = self._dialler_by_vm.pop(vm, None)
        if dialler is not None:
            dialler.cancel()
        link = self._link_by_vm.get(vm)
        if link is not None:
            link.abort()

    def _spawn(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self) -> None:
        await self._listen()
        if self._tls is not None:
            self._spawn(self._watch_tls(self._tls))

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
        self._served_context = context
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

    async def _watch_tls(self, tls: TlsContexts) -> None:
        """Listens anew whenever the files have changed."""
        while True:
            await asyncio.sleep(TLS_CHECK_INTERVAL_S)
            try:
                if tls.server() is self._served_context:
                    continue
                if self._server is not None:
                    self._server.close(close_connections=False)
                await self._listen()
            except (OSError, ssl.SSLError) as error:
                _log.error("mesh.tls_files", error=repr(error))

    async def _accept(self, connection: ServerConnection) -> None:
        if self._unnamed >= MAX_UNNAMED_CONNECTIONS:
            return
        self._unnamed += 1
        try:
            peer = await self._greet(connection)
        finally:
            self._unnamed -= 1
        if peer is not None:
            await self._serve_link(_Link(peer, connection))

    async def _dial_forever(self, vm: VmId, host: str, port: int) -> None:
        delay_s = REDIAL_MIN_S
        while True:
            if await self._dial(vm, host, port):
                delay_s = REDIAL_MIN_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, REDIAL_MAX_S)

    async def _dial(self, vm: VmId, host: str, port: int) -> bool:
        """Opens one connection; returns after its end whether it was up."""
        literal = f"[{host}]" if ":" in host else host
        scheme = "ws" if self._tls is None else "wss"
        try:
            async with connect(
                f"{scheme}://{literal}:{port}/",
                ssl=None if self._tls is None else self._tls.client(),
                compression=None,
                proxy=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=OPEN_TIMEOUT_S,
                ping_interval=self._ping_interval_s,
                ping_timeout=self._ping_timeout_s,
                close_timeout=CLOSE_TIMEOUT_S,
            ) as connection:
                if await self._greet(connection) != vm:
                    return False
                await self._serve_link(_Link(vm, connection))
                return True
        except (OSError, TimeoutError, WebSocketException) as error:
            _log.debug("mesh.dial_failed", peer=vm, error=repr(error))
            return False
        except Exception:
            _log.exception("mesh.dial_broke", peer=vm)
            return False

    async def _greet(self, connection: Connection) -> VmId | None:
        """Exchanges ``Hello``; None when the peer is not acceptable."""
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
        if self._tls is not None and message.vm not in _names_of(connection):
            _log.warning("mesh.certificate_mismatch", peer=message.vm)
            return None
        return message.vm

    async def _serve_link(self, link: _Link) -> None:
        former = self._link_by_vm.pop(link.peer, None)
        if former is not None:
            former.abort()
            self._tell_lost(link.peer)
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
                self._tell_lost(link.peer)

    async def _receive(self, link: _Link) -> None:
        while True:
            message = decode_message(await link.connection.recv(decode=False))
            if self._link_by_vm.get(link.peer) is not link:
                return
            if self._handler is None:
                continue
            try:
                self._handler(link.peer, message)
            except Exception:
                kind = type(message).__name__
                _log.exception("mesh.handler_failed", kind=kind)

    def _tell_lost(self, peer: VmId) -> None:
        if self._lost is not None:
            self._lost(peer)


def _names_of(connection: Connection) -> frozenset[VmId]:
    channel = connection.transport.get_extra_info("ssl_object")
    if channel is None:
        return frozenset()
    return certificate_names(channel.getpeercert())
