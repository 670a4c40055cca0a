"""Connections between VMs in virtual time, and what breaks them."""

from __future__ import annotations

from collections.abc import Iterable

from lycheestall.ids import VmId, ZoneId
from lycheestall.mesh import Mesh, MessageHandler, PeerLostHandler
from lycheestall.messages import MeshMessage
from tests.fake_world import NodeClock, World


class _Link:
    """One connection between two meshes."""

    def __init__(self, low: FakeMesh, high: FakeMesh) -> None:
        self.low = low
        self.high = high
        self.up = True
        self.silent = False
        self.blocked_since: float | None = None
        self.held: dict[str, list[MeshMessage]] = {}

    def other(self, mesh: FakeMesh) -> FakeMesh:
        """Returns the far end."""
        return self.high if mesh is self.low else self.low


class FakeNetwork:
    """Connections between the nodes' meshes, and what breaks them.

    A blocked direction holds messages; they arrive late if it opens
    again before the pings find out, else the connection is lost on both
    sides and with it every message not yet delivered.

    Attributes:
        detect_s: After how long the pings find a dead connection.
        frames: How many messages were sent.
    """

    def __init__(
        self,
        world: World,
        *,
        same_zone_s: float = 0.0002,
        cross_zone_s: float = 0.0005,
        detect_s: float = 3.0,
    ) -> None:
        self.world = world
        self.same_zone_s = same_zone_s
        self.cross_zone_s = cross_zone_s
        self.detect_s = detect_s
        self.frames = 0
        self.latency_by_zones: dict[tuple[str, str], float] = {}
        self.mesh_by_vm: dict[str, FakeMesh] = {}
        self._links: dict[tuple[str, str], _Link] = {}
        self._blocked: set[tuple[str, str]] = set()
        world.later(0.0, self._tick)

    def mesh(self, vm: VmId, zone: ZoneId) -> FakeMesh:
        """Returns a new mesh for a node's present life."""
        mesh = FakeMesh(self, vm, zone, self.world.clock_by_node[vm])
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
        """Opens both directions again."""
        self._blocked.discard((left, right))
        self._blocked.discard((right, left))
        link = self._links.get(_pair(left, right))
        if link is not None and link.up and not link.silent:
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

    def silence(self, left: str, right: str) -> None:
        """The present connection goes silent; a new one would work."""
        link = self._links.get(_pair(left, right))
        if link is not None:
            link.silent = True

    def latency_s(self, left: FakeMesh, right: FakeMesh) -> float:
        """Returns the one-way latency between two meshes."""
        if left.zone == right.zone:
            return self.same_zone_s
        key = (left.zone, right.zone)
        return self.latency_by_zones.get(key, self.cross_zone_s)

    def link_of(self, left: FakeMesh, right: str) -> _Link | None:
        """Returns the open connection from a mesh to a node."""
        link = self._links.get(_pair(left.vm, right))
        if link is None or not link.up or left not in (link.low, link.high):
            return None
        return link

    def transmit(
        self, link: _Link, sender: FakeMesh, message: MeshMessage
    ) -> None:
        """Sends one message over a connection."""
        self.frames += 1
        receiver = link.other(sender)
        held = link.held.get(sender.vm)
        blocked = (sender.vm, receiver.vm) in self._blocked or link.silent
        if blocked or held:
            link.held.setdefault(sender.vm, []).append(message)
            return
        self._deliver(link, sender, message)

    def _deliver(
        self, link: _Link, sender: FakeMesh, message: MeshMessage
    ) -> None:
        receiver = link.other(sender)
        self.world.later(
            self.latency_s(sender, receiver),
            lambda: receiver.arrive(link, sender.vm, message),
            receiver.clock,
        )

    def _flush(self, link: _Link) -> None:
        for sender in (link.low, link.high):
            receiver = link.other(sender)
            if (sender.vm, receiver.vm) in self._blocked:
                continue
            for message in link.held.pop(sender.vm, []):
                self._deliver(link, sender, message)

    def _tick(self) -> None:
        for link in list(self._links.values()):
            if link.up:
                self._check(link)
        for mesh in list(self.mesh_by_vm.values()):
            self.dial(mesh)
        self.world.later(0.25, self._tick)

    def _check(self, link: _Link) -> None:
        low, high = link.low, link.high
        answers = self._path_open(low, high) and not link.silent
        if answers:
            link.blocked_since = None
            return
        if link.blocked_since is None:
            link.blocked_since = self.world.now
        if self.world.now - link.blocked_since >= self.detect_s:
            self.break_link(link)

    def _path_open(self, low: FakeMesh, high: FakeMesh) -> bool:
        if (low.vm, high.vm) in self._blocked:
            return False
        if (high.vm, low.vm) in self._blocked:
            return False
        return low.serving() and high.serving()

    def break_link(self, link: _Link) -> None:
        """Loses a connection; both sides are told."""
        if not link.up:
            return
        link.up = False
        link.held.clear()
        self._links.pop(_pair(link.low.vm, link.high.vm), None)
        for mesh in (link.low, link.high):
            other = link.other(mesh).vm
            self.world.later(
                0.001, lambda m=mesh, o=other: m.lose(link, o), mesh.clock
            )

    def dial(self, mesh: FakeMesh) -> None:
        """Opens the connections that a mesh has to dial."""
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
        clock: The life it belongs to.
        peers: Whom it keeps connections with.
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
        self._lost: PeerLostHandler | None = None

    def serving(self) -> bool:
        """Returns whether the node runs."""
        return self.clock.alive and not self.clock.paused

    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Queues a message; False without a connection."""
        link = self._network.link_of(self, peer)
        if link is None:
            return False
        self._network.transmit(link, self, message)
        return True

    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Says whom to stay connected with."""
        wanted = {str(vm) for vm in address_by_vm if vm != self.vm}
        for vm in self.peers - wanted:
            link = self._network.link_of(self, vm)
            if link is not None:
                self._network.break_link(link)
        self.peers = wanted
        self._network.world.later(
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
        """Sets who gets messages."""
        self._handler = handler

    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets who is told of lost connections."""
        self._lost = handler

    def arrive(self, link: _Link, sender: VmId, message: MeshMessage) -> None:
        """Takes a message that came over a connection."""
        if self._handler is not None:
            self._handler(sender, message)

    def lose(self, link: _Link, peer: VmId) -> None:
        """Takes the news that a connection is lost."""
        if self._lost is not None:
            self._lost(peer)
