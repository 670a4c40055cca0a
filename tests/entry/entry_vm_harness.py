"""An entry VM with an in-memory store and fake targets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
from twisted.internet.defer import succeed

from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.entry_metrics import EntryMetrics
from lycheestall.entry.entry_vm import EntryVm
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address, EntrySettings
from lycheestall.ids import VmId, ZoneId
from lycheestall.logs import get_logger
from lycheestall.platform.headers import PlatformHeaders
from lycheestall.platform.store_records import PlatformRecordDecoder
from tests.entry.fake_network import (
    FakeReactor,
    FakeTarget,
    FakeTransport,
    RequestCallback,
    VmReactor,
)
from tests.entry.memory_store import MemoryLog, MemoryStore

ENGINE = {"slots": 8, "stride": 10}

PEERS_ADDRESS = Address("10.0.0.1", 4)

ROUTES = [
    {
        "name": "safe",
        "host": "crew.example",
        "path_prefix": "/maps/",
        "kind": "safe",
        "timeout_ms": 1500,
        "service": "app",
        "max_attempts": 2,
    },
    {
        "name": "unsafe",
        "host": "crew.example",
        "path_prefix": "/orders/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "service": "app",
        "max_attempts": 1,
    },
    {
        "name": "stream",
        "host": "crew.example",
        "path_prefix": "/plan/",
        "kind": "stream",
        "resumable": True,
        "timeout_ms": 3000,
        "service": "engines",
        "max_attempts": 1,
    },
    {
        "name": "chat",
        "host": "crew.example",
        "path_prefix": "/chat/",
        "kind": "stream",
        "resumable": False,
        "retain_context": True,
        "retention_s": 60.0,
        "timeout_ms": 3000,
        "service": "engines",
        "max_attempts": 2,
    },
    {
        "name": "chat that resumes",
        "host": "crew.example",
        "path_prefix": "/resumed-chat/",
        "kind": "stream",
        "resumable": True,
        "retain_context": True,
        "retention_s": 60.0,
        "timeout_ms": 3000,
        "service": "engines",
        "max_attempts": 2,
    },
]


class SilentPeers:
    """Peers that never reply."""

    def call(self, address: Address, message: Any, *, timeout_s: float) -> Any:
        """Returns no reply."""
        return succeed(None)

    def pool(self, address: Address) -> Any:
        """Fails: no peer is known that could be asked for connections."""
        raise AssertionError(f"no peer at {address}")

    def close(self) -> None:
        """Does nothing."""


class EntryVmHarness:
    """An entry VM, its store, its targets and its callers.

    Args:
        reactor: The clock; a new one by default.
        log: The store's content; by default, an empty one.
        peers: Calls other VMs; by default there are none.
        name: Name of the VM.
        incarnation: Number of this run of its process.
        address: Where peers reach the VM.
        zone: Its availability zone.
        revocation_timeout_s: Seconds without evidence in which it accepts
            keys; None for no limit.
    """

    def __init__(
        self,
        *,
        reactor: FakeReactor | VmReactor | None = None,
        log: MemoryLog | None = None,
        peers: Any = None,
        name: str = "vm",
        incarnation: int = 1,
        address: Address = PEERS_ADDRESS,
        zone: str = "zone-a",
        revocation_timeout_s: float | None = None,
    ) -> None:
        self.reactor: Any = reactor or FakeReactor()
        self.log = log or MemoryLog()
        self.address = address
        self.version = 0
        if log is None or not log.by_topic[Topic.CONFIGURATION]:
            self.configure(ROUTES)
        peers = peers or SilentPeers()
        self.store = MemoryStore(self.log)
        self.metrics = EntryMetrics(vm=name)
        self.vm = EntryVm(
            settings=replace(
                settings(name, address, zone),
                revocation_timeout_s=revocation_timeout_s,
            ),
            store=self.store,
            peers=peers,
            headers=PlatformHeaders(),
            decoder=PlatformRecordDecoder(),
            holder=HolderId(f"{name}.{incarnation}"),
            reactor=self.reactor,
            logger=get_logger(),
            metrics=self.metrics,
        )
        self.callers = CallerFactory(self.vm, self.reactor)
        self._last_address = 0

    def start(self) -> None:
        """Starts the VM and waits until it has read the store."""
        self.vm.start()
        self.reactor.run(0.7)

    def configure(
        self,
        routes: list[dict[str, Any]],
        *,
        limits: Any = None,
        **fields: Any,
    ) -> None:
        """Publishes a configuration.

        Args:
            routes: Its routes.
            limits: Its limits for callers.
            **fields: Further fields.
        """
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "app"},
                {"name": "engines", "engine": ENGINE},
            ],
            "limits": limits or {},
            **fields,
        }
        self.log.put(
            Topic.CONFIGURATION,
            KeyedWrite(b"config", orjson.dumps(document)),
        )

    def add_target(
        self,
        name: str,
        on_request: RequestCallback,
        *,
        service: str = "app",
        **fields: Any,
    ) -> FakeTarget:
        """Registers a target.

        Args:
            name: Its ID.
            on_request: Handles its requests.
            service: Its service.
            **fields: Fields of its registration that differ from the usual.
        """
        self._last_address += 1
        host = f"10.1.0.{self._last_address}"
        target = FakeTarget(on_request)
        self.reactor.target_by_address[(host, 80)] = target
        self.register(name, host, service=service, **fields)
        return target

    def register(
        self, name: str, host: str, *, service: str = "app", **fields: Any
    ) -> None:
        """Writes a target's registration to the store."""
        document = {
            "service": service,
            "address": f"{host}:80",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "born": 1,
            **fields,
        }
        self.log.put(
            Topic.TARGETS,
            KeyedWrite(name.encode(), orjson.dumps(document)),
        )

    def connect(self) -> FakeTransport:
        """Opens a caller's connection."""
        return self.reactor.open_connection(self.callers.buildProtocol(None))

    def send_request(
        self,
        path: str,
        *,
        method: str = "GET",
        headers: str = "",
        body: str = "",
        request_id: str = "r1",
        run_s: float = 0.1,
        caller: FakeTransport | None = None,
    ) -> bytes:
        """Sends a request, runs the clock and returns the bytes received."""
        caller = caller or self.connect()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        text = (
            f"{method} {path} HTTP/1.1\r\nHost: crew.example\r\n"
            f"X-Request-Id: {request_id}\r\n{headers}{length}\r\n{body}"
        )
        caller.write(text.encode())
        self.reactor.run(run_s)
        data: bytes = caller.protocol.data
        return data


def settings(
    name: str = "vm",
    address: Address = PEERS_ADDRESS,
    zone: str = "zone-a",
) -> EntrySettings:
    """Returns the settings of a VM.

    Args:
        name: Name of the VM.
        address: Where peers reach it.
        zone: Its availability zone.
    """
    return EntrySettings(
        vm=VmId(name),
        zone=ZoneId(zone),
        host=address.host,
        callers=Address("10.0.0.1", 1),
        readiness=Address("10.0.0.1", 2),
        metrics_port=3,
        peers_port=address.port,
        store=Address("10.0.0.9", 5),
        grace_s=8.0,
        drain_s=2.0,
    )


def status_of(data: bytes) -> int:
    """Returns the status of the first response; 0 without one."""
    return int(data.split(b" ", 2)[1]) if data else 0
