"""Tests of the WebSocket mesh over real loopback connections."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException
from websockets.protocol import State

from lycheestall.codec import encode_message
from lycheestall.ids import CellId, SessionId, VmId
from lycheestall.mesh_tls import TlsContexts
from lycheestall.mesh_websocket import WebsocketMesh
from lycheestall.messages import Hello, MeshMessage, StatusWanted
from lycheestall.settings import TlsSettings

Key = ec.EllipticCurvePrivateKey


class Authority:
    """A certificate authority for the test's VMs."""

    def __init__(self, directory: Path, name: str) -> None:
        self.directory = directory
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = _sign(name, self.key, name, self.key, True)
        self.file = directory / f"{name}.pem"
        self.file.write_bytes(_pem(self.certificate))

    def issue(self, vm: str, file: str) -> TlsSettings:
        """Issues a certificate for a VM and writes it with its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _sign(vm, key, self.name, self.key, False)
        certificate_file = self.directory / f"{file}.pem"
        key_file = self.directory / f"{file}.key"
        certificate_file.write_bytes(_pem(certificate))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(
            str(certificate_file), str(key_file), str(self.file)
        )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _sign(
    name: str, key: Key, issuer: str, issuer_key: Key, authority: bool
) -> x509.Certificate:
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.BasicConstraints(authority, None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name), address]),
            critical=False,
        )
        .sign(issuer_key, hashes.SHA256())
    )


def _name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


class Node:
    """A mesh that records received messages and lost peers."""

    def __init__(self, vm: str, settings: TlsSettings | None) -> None:
        hello = Hello(VmId(vm), SessionId(f"{vm}-1"), CellId("main"), "0")
        tls = None if settings is None else TlsContexts(settings)
        self.mesh = WebsocketMesh(
            hello,
            "127.0.0.1",
            0,
            tls=tls,
            ping_interval_s=0.1,
            ping_timeout_s=0.2,
        )
        self.received: list[tuple[str, MeshMessage]] = []
        self.lost: list[str] = []
        self.mesh.on_message(lambda vm, got: self.received.append((vm, got)))
        self.mesh.on_lost(self.lost.append)

    @property
    def address(self) -> tuple[str, int]:
        """The address of its listener."""
        return ("127.0.0.1", self.mesh.port)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


def _run(nodes: list[Node], scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        for node in nodes:
            await node.mesh.start().asFuture(loop)
        try:
            await scenario()
        finally:
            for node in nodes:
                await node.mesh.stop().asFuture(loop)

    asyncio.run(main())


def test_peers_with_certificates_exchange_messages(tmp_path: Path) -> None:
    authority = Authority(tmp_path, "authority")
    low = Node("a", authority.issue("a", "a"))
    high = Node("b", authority.issue("b", "b"))

    async def scenario() -> None:
        low.mesh.set_peers({VmId("b"): high.address})
        await _wait_until(lambda: bool(low.mesh.connected()))
        await _wait_until(lambda: bool(high.mesh.connected()))
        for number in range(50):
            assert low.mesh.send(VmId("b"), StatusWanted(number))
        assert high.mesh.send(VmId("a"), StatusWanted(99))
        await _wait_until(
            lambda: len(high.received) == 50 and len(low.received) == 1
        )
        low.mesh.set_peers({})
        await _wait_until(lambda: not high.mesh.connected())

    _run([low, high], scenario)
    assert high.received == [("a", StatusWanted(n)) for n in range(50)]
    assert high.lost == ["a"]


@pytest.mark.parametrize("fault", ["other authority", "other name"])
def test_peer_without_valid_certificate_is_rejected(
    tmp_path: Path, fault: str
) -> None:
    authority = Authority(tmp_path, "authority")
    node = Node("b", authority.issue("b", "b"))
    if fault == "other authority":
        given = Authority(tmp_path, "stranger").issue("a", "a")
    else:
        given = authority.issue("c", "c")
    settings = replace(given, authority_file=str(authority.file))

    async def scenario() -> None:
        assert await _is_refused(node, settings)
        assert not node.mesh.connected()
        assert not await _is_refused(node, authority.issue("a", "valid"))

    _run([node], scenario)


async def _is_refused(node: Node, settings: TlsSettings) -> bool:
    """Returns whether a peer that claims to be ``a`` is disconnected."""
    uri = f"wss://127.0.0.1:{node.mesh.port}/"
    hello = Hello(VmId("a"), SessionId("a-1"), CellId("main"), "0")
    context = TlsContexts(settings).client()
    try:
        async with connect(uri, ssl=context, proxy=None) as websocket:
            await websocket.send(encode_message(hello))
            await websocket.recv()
            await _wait_until(
                lambda: (
                    bool(node.mesh.connected())
                    or bool(websocket.state is State.CLOSED)
                )
            )
            return websocket.state is State.CLOSED
    except (OSError, WebSocketException):
        return True


def test_message_before_hello_closes_the_connection() -> None:
    node = Node("b", None)

    async def scenario() -> None:
        uri = f"ws://127.0.0.1:{node.mesh.port}/"
        async with connect(uri, proxy=None, compression=None) as websocket:
            await websocket.send(encode_message(StatusWanted(1)))
            with pytest.raises(WebSocketException):
                while True:
                    await asyncio.wait_for(websocket.recv(), 5)

    _run([node], scenario)
    assert node.received == []


def test_unresponsive_connection_is_detected_and_replaced() -> None:
    low, high = Node("a", None), Node("b", None)

    async def scenario() -> None:
        blackholed_writers: list[asyncio.StreamWriter] = []
        blackholed = asyncio.Event()

        async def forward(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(65536):
                if blackholed.is_set() and writer in blackholed_writers:
                    continue
                writer.write(data)

        async def proxy(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            upstream = await asyncio.open_connection(*high.address)
            if not blackholed.is_set():
                blackholed_writers.extend([writer, upstream[1]])
            await asyncio.gather(
                forward(reader, upstream[1]),
                forward(upstream[0], writer),
                return_exceptions=True,
            )
            upstream[1].close()
            writer.close()

        proxy_server = await asyncio.start_server(proxy, "127.0.0.1", 0)
        port = proxy_server.sockets[0].getsockname()[1]
        low.mesh.set_peers({VmId("b"): ("127.0.0.1", port)})
        await _wait_until(lambda: bool(high.mesh.connected()))
        blackholed.set()
        await _wait_until(
            lambda: bool(low.lost) and bool(low.mesh.connected())
        )
        await _wait_until(
            lambda: bool(high.lost) and bool(high.mesh.connected())
        )
        assert low.mesh.send(VmId("b"), StatusWanted(7))
        await _wait_until(lambda: ("a", StatusWanted(7)) in high.received)
        low.mesh.set_peers({})
        proxy_server.close()

    _run([low, high], scenario)


def test_changed_certificates_are_reloaded_without_restart(
    tmp_path: Path,
) -> None:
    first = Authority(tmp_path, "first")
    second = Authority(tmp_path, "second")
    node = Node("b", first.issue("b", "b"))
    settings = second.issue("a", "a")

    async def scenario() -> None:
        assert await _is_refused(node, settings)
        node.mesh.set_peers({VmId("z"): ("127.0.0.1", 1)})
        second.issue("b", "b")
        first.file.write_bytes(second.file.read_bytes())
        async with asyncio.timeout(20):
            while await _is_refused(node, settings):
                await asyncio.sleep(0.05)

    _run([node], scenario)


def test_mesh_without_tls_needs_a_loopback_address() -> None:
    hello = Hello(VmId("a"), SessionId("a-1"), CellId("main"), "0")
    with pytest.raises(ValueError, match="loopback"):
        WebsocketMesh(hello, "10.0.0.1", 0)
