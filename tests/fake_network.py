"""Simulated connections between VMs in virtual time, with faults."""

from __future__ import annotations

from collections.abc import Iterable

from lycheestall.ids import VmId, ZoneId
from lycheestall.mesh import Mesh, MessageHandler, PeerLostHandler
from lycheestall.messages import MeshMessage
from tests.simulation import NodeClock, Simulation


class _Link:
    """One connection between two meshes."""

    def __init__(self, first: FakeMesh, second: FakeMesh) -> None:
        self.first = first
        self.second = second
        self.up = True
        self.stalled = False
        self.blocked_since: float | None = None
        self.queued_by_sender: dict[str, list[MeshMessage]] = {}

    def other(self, mesh: FakeMesh) -> FakeMesh:
        """Returns the other end."""
        return self.second if mesh is self.first else self.first


class FakeNetwork:
    """Connections between the nodes' meshes, with faults.

    A blocked direction queues its messages. They arrive late if the
    direction is unblocked before the pings time out; otherwise the
    connection is lost on both sides with all undelivered messages.

    Attributes:
        detect_s: After what time pings detect a dead connection.
        frames: Number of messages sent.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        same_zone_s: float = 0.0002,
        cross_zone_s: float = 0.0005,
        detect_s: float = 3.0,
    ) -> None:
        self.simulation = simulation
        self.same_zone_s = same_zone_s
        self.cross_zone_s = cross_zone_s
        self.detect_s = detect_s
        self.frames = 0
        self.latency_by_zones: dict[tuple[str, str], float] = {}
        self.mesh_by_vm: dict[str, FakeMesh] = {}
        self._links: dict[tuple[str, str], _Link] = {}
        self._blocked: set[tuple[str, str]] = set()
        simulation.later(0.0, self._tick)

    def mesh(self, vm: VmId, zone: ZoneId) -> FakeMesh:
        """Returns a new mesh for a node's current run."""
        mesh = FakeMesh(self, vm, zone, self.simulation.clock_by_node[vm])
        self.mesh_by_vm[vm] = mesh
        return mesh

    def cut(self, left: str, right: str) -> None:
        """Blocks both directions between two nodes."""
        self.block(left, right)
        self.block(right, left)

    def block(self, sender: str, receiver: str) -> None:
        """Blocks one direction."""
        self._blocked.add((sender, receiver))

    def heal(self, left: str, right: str) -> None:
        """Unblocks both directions."""
        self._blocked.discard((left, right))
        self._blocked.discard((right, left))
        link = self._links.get(_pair(left, right))
        if link is not None and link.up and not link.stalled:
            self._flush(link)

    def isolate(self, vm: str, others: Iterable[str]) -> None:
        """Cuts a node off from others."""
        for other in others:
            if other != vm:
                self.cut(vm, other)

    def rejoin(self, vm: str, others: Iterable[str]) -> None:
        """Undoes ``isolate``."""
        for other in others:
            if other != vm:
                self.heal(vm, other)

    def stall_connection(self, left: str, right: str) -> None:
        """Stalls the open connection; a new one would work."""
        link = self._links.get(_pair(left, right))
        if link is not None:
            link.stalled = True

    def latency_s(self, left: FakeMesh, right: FakeMesh) -> float:
        """Returns the one-way latency between two meshes."""
        if left.zone == right.zone:
            return self.same_zone_s
        key = (left.zone, right.zone)
        return self.latency_by_zones.get(key, self.cross_zone_s)

    def link_of(self, left: FakeMesh, right: str) -> _Link | None:
        """Returns the open connection from a mesh to a node."""
        link = self._links.get(_pair(left.vm, right))
        if (
            link is None
            or not link.up
            or left not in (link.first, link.second)
        ):
            return None
        return link

    def transmit(
        self, link: _Link, sender: FakeMesh, message: MeshMessage
    ) -> None:
        """Sends one message over a connection."""
        self.frames += 1
        receiver = link.other(sender)
        queued = link.queued_by_sender.get(sender.vm)
        blocked = (sender.vm, receiver.vm) in self._blocked or link.stalled
        if blocked or queued:
            link.queued_by_sender.setdefault(sender.vm, []).append(message)
            return
        self._deliver(link, sender, message)

    def _deliver(
        self, link: _Link, sender: FakeMesh, message: MeshMessage
    ) -> None:
        receiver = link.other(sender)
        self.simulation.later(
            self.latency_s(sender, receiver),
            lambda: receiver.receive(link, sender.vm, message),
            receiver.clock,
        )

    def _flush(self, link: _Link) -> None:
        for sender in (link.first, link.second):
            receiver = link.other(sender)
            if (sender.vm, receiver.vm) in self._blocked:
                continue
            for message in link.queued_by_sender.pop(sender.vm, []):
                self._deliver(link, sender, message)

    def _tick(self) -> None:
        for link in list(self._links.values()):
            if link.up:
                self._check(link)
        for mesh in list(self.mesh_by_vm.values()):
            self.dial(mesh)
        self.simulation.later(0.25, self._tick)

    def _check(self, link: _Link) -> None:
        first, second = link.first, link.second
        responsive = self._path_open(first, second) and not link.stalled
        if responsive:
            link.blocked_since = None
            return
        if link.blocked_since is None:
            link.blocked_since = self.simulation.now
        if self.simulation.now - link.blocked_since >= self.detect_s:
            self.break_link(link)

    def _path_open(self, first: FakeMesh, second: FakeMesh) -> bool:
        if (first.vm, second.vm) in self._blocked:
            return False
        if (second.vm, first.vm) in self._blocked:
            return False
        return first.serving() and second.serving()

    def break_link(self, link: _Link) -> None:
        """Closes a connection and notifies both sides."""
        if not link.up:
            return
        link.up = False
        link.queued_by_sender.clear()
        self._links.pop(_pair(link.first.vm, link.second.vm), None)
        for mesh in (link.first, link.second):
            other = link.other(mesh).vm
            self.simulation.later(
                0.001,
                lambda m=mesh, o=other: m.on_connection_lost(link, o),
                mesh.clock,
            )

    def dial(self, mesh: FakeMesh) -> None:
        """Opens the connections that a mesh has to initiate."""
        if not mesh.serving():
            return
        for vm in mesh.peers:
            peer = self.mesh_by_vm.get(vm)
            if (
                vm <= mesh.vm
                or peer is None
                or _pair(mesh.vm, vm) in (self._links)
            ):
                continue
            if not self._path_open(mesh, peer):
                continue
            link = _Link(mesh, peer)
            self._links[_pair(mesh.vm, vm)] = link


def _pair(left: str, right: str) -> tuple[str, str]:
    return (left, right) if left < right else (right, left)


class FakeMesh(Mesh):
    """One node's end of the network.

    Attributes:
        vm: The node.
        zone: Its availability zone.
        clock: The clock of the node's current run.
        peers: The nodes it keeps connections with.
    """

    def __init__(
        self, network: FakeNetwork, vm: VmId, zone: ZoneId, clock: NodeClock
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.clock = clock
        self.peers: set[str] = set()
        self._network = network
        self._handler: MessageHandler | None = None
        self._lost_handler: PeerLostHandler | None = None

    def serving(self) -> bool:
        """Returns whether the node is running."""
        return self.clock.alive and not self.clock.paused

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Sends a message; returns False without a connection."""
        link = self._network.link_of(self, peer)
        if link is None:
            return False
        self._network.transmit(link, self, message)
        return True

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Sets the nodes to keep connections with."""
        wanted = {str(vm) for vm in address_by_vm if vm != self.vm}
        for vm in self.peers - wanted:
            link = self._network.link_of(self, vm)
            if link is not None:
                self._network.break_link(link)
        self.peers = wanted
        self._network.simulation.later(
            0.002, lambda: self._network.dial(self), self.clock
        )

    def connected(self) -> frozenset[VmId]:
        """Returns the peers with an open connection."""
        found = [
            VmId(vm)
            for vm in self._network.mesh_by_vm
            if vm != self.vm and self._network.link_of(self, vm)
        ]
        return frozenset(found)

    def on_message(self, handler: MessageHandler) -> None:
        """Sets the handler of messages."""
        self._handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets the handler of lost connections."""
        self._lost_handler = handler

    def receive(self, link: _Link, sender: VmId, message: MeshMessage) -> None:
        """Passes a received message to the handler."""
        if self._handler is not None:
            self._handler(sender, message)

    def on_connection_lost(self, link: _Link, peer: VmId) -> None:
        """Passes a lost connection to the handler."""
        if self._lost_handler is not None:
            self._lost_handler(peer)
