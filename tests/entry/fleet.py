"""Several entry VMs that share a store, targets and a virtual clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred

from lycheestall.entry.callers import CallerFactory
from lycheestall.entry.connection_pool import ConnectionPool
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.peer_rpc import PeerClient, PeerEndpoint
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.entry.vm_settings import Address
from lycheestall.logs import get_logger
from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_links import TargetLink
from tests.entry.fake_network import (
    FakeReactor,
    FakeTarget,
    FakeTransport,
    RecordingCaller,
    RequestCallback,
    VmReactor,
)
from tests.entry.memory_store import Fault, MemoryLog

PEER_DELAY_S = 0.001
"""Seconds that a message to a peer, or its reply, is on the way."""


class PeerLinks:
    """The links between the VMs; a VM's links can be cut.

    Args:
        reactor: Times the messages.

    Attributes:
        cut: VMs that reach no other one.
        isolated_group: VMs that reach each other, but none of the others.
        sent: Number of messages by their type.
    """

    def __init__(self, reactor: FakeReactor) -> None:
        self.reactor = reactor
        self.handle_by_address: dict[Address, Callable[[Any], Any]] = {}
        self.cut: set[Address] = set()
        self.isolated_group: set[Address] = set()
        self.sent: Counter[type] = Counter()

    def is_cut(self, one: Address, other: Address) -> bool:
        """Returns whether two VMs don't reach each other."""
        if {one, other} & self.cut:
            return True
        return (one in self.isolated_group) != (other in self.isolated_group)

    def connect(self, address: Address, reactor: Any) -> LinkedPeers:
        """Returns the client of the VM at an address.

        Args:
            address: Where the VM's own endpoint is.
            reactor: Opens the VM's connections.
        """
        return LinkedPeers(self, address, reactor)


class LinkedPeers:
    """Calls the other VMs over the links.

    Args:
        links: All links.
        own: Address of the VM that calls.
        reactor: Opens its connections.

    Attributes:
        killed: Whether the VM's process was killed; it sends nothing more.
    """

    def __init__(self, links: PeerLinks, own: Address, reactor: Any) -> None:
        self._links = links
        self._own = own
        self.killed = False
        self._client = PeerClient(reactor, get_logger())

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns the reply, or None without one in time."""
        reply: Deferred[PeerReply | None] = Deferred()
        if self.killed:
            return reply
        self._links.sent[type(message)] += 1
        reactor = self._links.reactor
        handle = self._links.handle_by_address.get(address)
        if handle is None or self._links.is_cut(self._own, address):
            reactor.callLater(timeout_s, reply.callback, None)
            return reply
        data = encode(message)
        reactor.callLater(PEER_DELAY_S, self._deliver, handle, data, reply)
        return reply

    def pool(self, address: Address) -> ConnectionPool:
        """Returns the connections to a peer."""
        return self._client.pool(address)

    def close(self) -> None:
        """Does nothing."""

    def _deliver(
        self,
        handle: Callable[[Any], Any],
        data: bytes,
        reply: Deferred[PeerReply | None],
    ) -> None:
        handled = maybeDeferred(handle, decode(data))
        handled.addCallback(
            lambda value: self._links.reactor.callLater(
                PEER_DELAY_S, reply.callback, decode(encode(value))
            )
        )


class Fleet:
    """Entry VMs ``vm-0`` and so on.

    Args:
        vms: Number of VMs.
        zones: Number of availability zones, which they take in turn.

    Attributes:
        link_by_vm: Each VM's links to the targets.
    """

    def __init__(self, *, vms: int, zones: int = 1) -> None:
        self.reactor = FakeReactor()
        self.log = MemoryLog()
        self.links = PeerLinks(self.reactor)
        self.link_by_vm: dict[int, TargetLink] = {}
        self._zones = zones
        self._sent = 0
        self._connections_by_vm: dict[int, list[FakeTransport]] = {}
        self._peers_by_vm: dict[int, LinkedPeers] = {}
        self.vms: list[EntryVmHarness] = []
        for number in range(vms):
            self.vms.append(self._add(number, incarnation=1))

    def start(self) -> None:
        """Starts all VMs and waits until they know each other."""
        for vm in self.vms:
            vm.vm.start()
        self.reactor.run(2.5)

    def kill(self, number: int) -> None:
        """Kills a VM's process, with its callers' connections.

        Nothing happens if it is not running. What the process still does
        reaches neither callers nor peers nor the store.
        """
        address = self.vms[number].address
        self.links.handle_by_address.pop(address, None)
        self.vms[number].store.fault = Fault.REFUSES
        self._peers_by_vm[number].killed = True
        listener = self.reactor.listener_by_address.pop(
            (address.host, address.port), None
        )
        if listener is None:
            return
        for connection in list(listener.connections):
            connection.transport.abortConnection()
        for connection in self._connections_by_vm.pop(number, ()):
            connection.abortConnection()

    def restart(self, number: int) -> None:
        """Kills a VM and starts a new process at its address."""
        self.kill(number)
        self.vms[number] = self._add(number, incarnation=2)
        self.vms[number].vm.start()

    def cut_peers(self, number: int) -> None:
        """Cuts a VM off from all other VMs."""
        self.links.cut.add(self.vms[number].address)

    def cut_group(self, numbers: Iterable[int]) -> None:
        """Cuts some VMs off from all others, but not from each other."""
        self.links.isolated_group = {
            self.vms[number].address for number in numbers
        }

    def add_target(
        self,
        name: str,
        on_request: RequestCallback,
        *,
        service: str = "app",
        **fields: Any,
    ) -> FakeTarget:
        """Registers a target; see ``EntryVmHarness.add_target``."""
        return self.vms[0].add_target(
            name, on_request, service=service, **fields
        )

    def remove_target(self, name: str) -> None:
        """Deletes a target's registration."""
        self.log.put(Topic.TARGETS, KeyedWrite(name.encode(), None))

    def send(
        self,
        path: str,
        *,
        vm: int | None = None,
        headers: str = "",
        request_id: str | None = None,
    ) -> RecordingCaller:
        """Sends a request to a VM, or to each in turn.

        Args:
            path: The path.
            vm: Number of the VM; the next one if None.
            headers: Further header lines.
            request_id: ID of the request; a new one if None.

        Returns:
            The caller's protocol, which records what it receives.
        """
        self._sent += 1
        number = self._sent % len(self.vms) if vm is None else vm
        harness = self.vms[number]
        caller = harness.connect()
        self._connections_by_vm.setdefault(number, []).append(caller)
        received: RecordingCaller = caller.protocol
        harness.send_request(
            path,
            method="POST",
            headers=headers,
            request_id=request_id or f"r{self._sent}",
            run_s=0.0,
            caller=caller,
        )
        return received

    def _add(self, number: int, *, incarnation: int) -> EntryVmHarness:
        address = Address(f"10.0.1.{number + 1}", 4)
        reactor = VmReactor(self.reactor)
        self.link_by_vm[number] = reactor.link
        self._peers_by_vm[number] = self.links.connect(address, reactor)
        harness = EntryVmHarness(
            reactor=reactor,
            log=self.log,
            peers=self._peers_by_vm[number],
            name=f"vm-{number}",
            incarnation=incarnation,
            address=address,
            zone=f"zone-{number % self._zones}",
        )
        self.links.handle_by_address[address] = harness.vm.handle_message
        self.reactor.listener_by_address[address.host, address.port] = (
            CallerFactory(PeerEndpoint(harness.vm, get_logger()), reactor)
        )
        return harness
