"""Virtual-time stand-ins of the platform and the network.

A ``World`` holds the time and the pending events of all nodes. Each node
has its own clock; pausing a node holds its timers and deliveries until it
resumes, killing it drops them for good. Nothing here sleeps, and equal
seeds give equal runs.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

from lycheestall.ids import Offset, StreamName, VmId, ZoneId
from lycheestall.mesh import Mesh, MessageHandler, PeerLostHandler
from lycheestall.messages import MeshMessage
from lycheestall.platform_services import (
    Appended,
    AppendResult,
    AppendUnknown,
    LogEntry,
    LogService,
    ReadBatch,
    ReadFailed,
    ReadGone,
    ReadResult,
    VmEntry,
    VmList,
    VmListFailed,
    VmListing,
    VmListResult,
    VmState,
)

FOREVER = float("inf")


@implementer(IDelayedCall)
class FakeDelayedCall:
    """A timer of one node."""

    def __init__(self, clock: NodeClock, at: float, run: Callable[[], Any]):
        self._clock = clock
        self._at = at
        self._run = run
        self._active = True
        self._version = 0
        self._schedule()

    def _schedule(self) -> None:
        self._version += 1
        version = self._version
        due = self._clock.world_time(self._at)
        self._clock.world.at(due, lambda: self._fire(version), self._clock)

    def _fire(self, version: int) -> None:
        if not self._active or version != self._version:
            return
        self._active = False
        self._run()

    def getTime(self) -> float:  # noqa: N802
        """Returns when it is due, on the node's clock."""
        return self._at

    def cancel(self) -> None:
        """Drops the timer."""
        self._active = False

    def delay(self, secondsLater: float) -> None:  # noqa: N803
        """Puts the timer off."""
        self._at += secondsLater
        self._schedule()

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803
        """Starts the timer anew."""
        self._at = self._clock.seconds() + secondsFromNow
        self._schedule()

    def active(self) -> bool:
        """Returns whether it is still to fire."""
        return self._active


@implementer(IReactorTime)
class NodeClock:
    """One life of one node: its monotonic clock and its timers.

    Attributes:
        world: The shared time.
        name: The node.
        rate: How fast the clock runs against true time.
        alive: False after a kill.
        paused: Whether the node stands still.
    """

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world = world
        self.name = name
        self.rate = rate
        self.alive = True
        self.paused = False
        self.backlog: list[Callable[[], Any]] = []
        self._start = world.now
        self._offset = world.rng.uniform(100.0, 10_000.0)

    def seconds(self) -> float:
        """Returns the node's monotonic time."""
        return self._offset + (self.world.now - self._start) * self.rate

    def world_time(self, seconds: float) -> float:
        """Returns the true time of a reading of this clock."""
        return self._start + (seconds - self._offset) / self.rate

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> FakeDelayedCall:
        """Runs something later on this node."""
        at = self.seconds() + delay
        return FakeDelayedCall(self, at, lambda: callable(*args, **kw))

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Not kept by this clock."""
        return []


class World:
    """Shared virtual time and the fate of the nodes.

    Attributes:
        now: True time in seconds.
        rng: The run's only source of chance.
        clock_by_node: The newest life of each node.
        after_event: Called after each event with the node's life that
            it ran on, for checkers.
    """

    def __init__(self, seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.clock_by_node: dict[str, NodeClock] = {}
        self.after_event: list[Callable[[NodeClock | None], None]] = []
        self.on_kill: list[Callable[[str], None]] = []
        self._events: list[
            tuple[float, int, Callable[[], Any], NodeClock | None]
        ] = []
        self._order = itertools.count()

    def boot(self, name: str, *, rate: float = 1.0) -> NodeClock:
        """Starts a new life of a node and returns its clock."""
        if name in self.clock_by_node:
            self.kill(name)
        clock = NodeClock(self, name, rate)
        self.clock_by_node[name] = clock
        return clock

    def at(
        self,
        time: float,
        run: Callable[[], Any],
        clock: NodeClock | None = None,
    ) -> None:
        """Schedules an event at a true time, on a node's life if given."""
        entry = (max(time, self.now), next(self._order), run, clock)
        heapq.heappush(self._events, entry)

    def later(
        self,
        delay: float,
        run: Callable[[], Any],
        clock: NodeClock | None = None,
    ) -> None:
        """Schedules an event after a true delay."""
        self.at(self.now + delay, run, clock)

    def kill(self, name: str) -> None:
        """Ends a node's life; its timers and deliveries never come."""
        clock = self.clock_by_node[name]
        clock.alive = False
        clock.backlog.clear()
        for hook in self.on_kill:
            hook(name)

    def pause(self, name: str) -> None:
        """Makes a node stand still."""
        self.clock_by_node[name].paused = True

    def resume(self, name: str) -> None:
        """Lets a node run on; what was due meanwhile comes in a lump."""
        clock = self.clock_by_node[name]
        clock.paused = False
        backlog, clock.backlog = clock.backlog, []
        for run in backlog:
            self.at(self.now, run, clock)

    def running(self, name: str) -> bool:
        """Returns whether a node is alive and not paused."""
        clock = self.clock_by_node.get(name)
        return clock is not None and clock.alive and not clock.paused

    def step(self) -> bool:
        """Runs the next event; False when there is none."""
        if not self._events:
            return False
        time, _, run, clock = heapq.heappop(self._events)
        self.now = max(self.now, time)
        if clock is not None and not clock.alive:
            return True
        if clock is not None and clock.paused:
            clock.backlog.append(run)
            return True
        run()
        for check in self.after_event:
            check(clock)
        return True

    def run_until(self, time: float) -> None:
        """Runs all events up to a true time."""
        while self._events and self._events[0][0] <= time:
            self.step()
        self.now = max(self.now, time)

    def run_for(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        self.run_until(self.now + seconds)

    def run_while(self, wanted: Callable[[], bool], limit_s: float) -> bool:
        """Runs until ``wanted`` is False; False when time is up."""
        end = self.now + limit_s
        while wanted():
            if not self._events or self._events[0][0] > end:
                self.now = max(self.now, end)
                return not wanted()
            self.step()
        return True

    def sleep(self, seconds: float, clock: NodeClock) -> Deferred[None]:
        """Returns a Deferred that fires on a node after a true delay."""
        done: Deferred[None] = Deferred()
        self.later(seconds, lambda: done.callback(None), clock)
        return done


@dataclass
class _Fault:
    """A stretch of time in which something goes wrong."""

    start: float
    end: float
    nodes: frozenset[str] | None
    amount: float = 0.0

    def hits(self, now: float, node: str) -> bool:
        if not self.start <= now < self.end:
            return False
        return self.nodes is None or node in self.nodes


@dataclass
class _Stream:
    entries: list[LogEntry] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    first: int = 0
    end: int = 0
    waiters: list[Callable[[], None]] = field(default_factory=list)


class FakeLog(LogService):
    """The log service; ``client`` gives each node its own access.

    Attributes:
        appends: How many appends took effect, by stream.
        payload_count: How many records took effect, by stream.
        reads: How many reads were sent, by stream.
    """

    def __init__(
        self,
        world: World,
        *,
        latency_s: float = 0.002,
        timeout_s: float = 1.0,
        retention_s: float = FOREVER,
    ) -> None:
        self.world = world
        self.latency_s = latency_s
        self.timeout_s = timeout_s
        self.retention_s = retention_s
        self.appends: dict[str, int] = {}
        self.payload_count: dict[str, int] = {}
        self.reads: dict[str, int] = {}
        self._streams: dict[str, _Stream] = {}
        self._outages: list[_Fault] = []
        self._slow: list[_Fault] = []
        self._lost_answers: list[_Fault] = []
        self._late_repeats: list[_Fault] = []
        self._own: FakeLogClient | None = None

    def client(self, name: str) -> FakeLogClient:
        """Returns the access of a node's present life."""
        return FakeLogClient(self, self.world.clock_by_node[name])

    def outage(
        self,
        start: float,
        end: float = FOREVER,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """No request works in the stretch, for all nodes or for some."""
        self._outages.append(_fault(start, end, nodes))

    def slow(
        self,
        start: float,
        end: float,
        extra_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Each request takes longer in the stretch."""
        self._slow.append(_fault(start, end, nodes, extra_s))

    def lose_answers(
        self,
        start: float,
        end: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Appends take effect but their answers never come."""
        self._lost_answers.append(_fault(start, end, nodes))

    def repeat_late(
        self,
        start: float,
        end: float,
        delay_s: float,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """Appends take effect, and once more after a delay."""
        self._late_repeats.append(_fault(start, end, nodes, delay_s))

    def retain_from(self, stream: str, first: int) -> None:
        """Drops the entries before an offset."""
        kept = self._stream(stream)
        drop = max(0, min(first, kept.end) - kept.first)
        del kept.entries[:drop]
        del kept.times[:drop]
        kept.first += drop

    def entries(self, stream: str) -> list[LogEntry]:
        """Returns what a stream still holds."""
        return list(self._stream(stream).entries)

    def end(self, stream: str) -> int:
        """Returns the offset of the next append."""
        return self._stream(stream).end

    def write(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends at once, as an operator beside the system would."""
        kept = self._stream(stream)
        first = kept.end
        for payload in payloads:
            kept.entries.append(LogEntry(Offset(kept.end), payload))
            kept.times.append(self.world.now)
            kept.end += 1
        self.appends[stream] = self.appends.get(stream, 0) + 1
        count = self.payload_count.get(stream, 0) + len(payloads)
        self.payload_count[stream] = count
        waiters, kept.waiters = kept.waiters, []
        for wake in waiters:
            self.world.later(0.0, wake)
        return first

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends without a node's faults."""
        return Appended(Offset(self.write(stream, payloads)))

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads at once, without a node's faults."""
        return self.batch(stream, start, limit)

    def batch(self, stream: str, start: int, limit: int) -> ReadResult:
        """Returns what a read finds right now."""
        kept = self._stream(stream)
        self._expire(stream)
        if start < kept.first:
            return ReadGone(Offset(kept.first), Offset(kept.end))
        index = start - kept.first
        entries = tuple(kept.entries[index : index + limit])
        return ReadBatch(entries, Offset(kept.first), Offset(kept.end))

    def wait(self, stream: str, wake: Callable[[], None]) -> None:
        """Calls ``wake`` at the next append."""
        self._stream(stream).waiters.append(wake)

    def down(self, node: str) -> bool:
        """Returns whether the log does not answer a node."""
        return _amount(self._outages, self.world.now, node) is not None

    def extra_s(self, node: str) -> float:
        """Returns how much longer a request takes."""
        return _amount(self._slow, self.world.now, node) or 0.0

    def loses_answer(self, node: str) -> bool:
        """Returns whether an append's answer gets lost."""
        return _amount(self._lost_answers, self.world.now, node) is not None

    def repeat_delay_s(self, node: str) -> float | None:
        """Returns after how long an append takes effect again."""
        return _amount(self._late_repeats, self.world.now, node)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: str) -> None:
        kept = self._stream(stream)
        oldest = self.world.now - self.retention_s
        first = kept.first
        for time in kept.times:
            if time >= oldest:
                break
            first += 1
        self.retain_from(stream, first)


def _fault(
    start: float,
    end: float,
    nodes: Iterable[str] | None,
    amount: float = 0.0,
) -> _Fault:
    return _Fault(
        start, end, None if nodes is None else frozenset(nodes), amount
    )


def _amount(faults: list[_Fault], now: float, node: str) -> float | None:
    for fault in faults:
        if fault.hits(now, node):
            return fault.amount
    return None


class FakeLogClient(LogService):
    """One node's access to the log, with that node's faults."""

    def __init__(self, log: FakeLog, clock: NodeClock) -> None:
        self._log = log
        self._clock = clock

    async def append(
        self, stream: StreamName, payloads: Sequence[bytes]
    ) -> AppendResult:
        """Appends after the way there, answers after the way back."""
        log, world, node = self._log, self._log.world, self._clock.name
        extra_s = log.extra_s(node)
        done: Deferred[AppendResult] = Deferred()
        copied = tuple(payloads)

        def answer(result: AppendResult, delay: float) -> None:
            world.later(delay, lambda: done.callback(result), self._clock)

        def arrive() -> None:
            if log.down(node):
                answer(AppendUnknown("timeout"), log.timeout_s)
                return
            first = log.write(stream, copied)
            repeat = log.repeat_delay_s(node)
            if repeat is not None:
                world.later(repeat, lambda: log.write(stream, copied))
            if log.loses_answer(node):
                answer(AppendUnknown("answer lost"), log.timeout_s)
                return
            answer(Appended(Offset(first)), log.latency_s)

        world.later(log.latency_s + extra_s, arrive)
        return await done

    async def read(
        self,
        stream: StreamName,
        start: Offset,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> ReadResult:
        """Reads, waiting for a first entry if asked to."""
        self._log.reads[stream] = self._log.reads.get(stream, 0) + 1
        log, world, node = self._log, self._log.world, self._clock.name
        extra_s = log.extra_s(node)
        done: Deferred[ReadResult] = Deferred()
        end = world.now + wait_s
        answered = False

        def answer(result: ReadResult, delay: float) -> None:
            nonlocal answered
            answered = True
            world.later(delay, lambda: done.callback(result), self._clock)

        def look() -> None:
            if answered:
                return
            if log.down(node):
                answer(ReadFailed("timeout"), log.timeout_s)
                return
            result = log.batch(stream, start, limit)
            empty = isinstance(result, ReadBatch) and not result.entries
            if empty and world.now < end:
                log.wait(stream, look)
                return
            answer(result, log.latency_s)

        world.later(log.latency_s + extra_s, look)
        if wait_s > 0:
            world.at(end, look)
        return await done


class FakeVmList(VmList):
    """The lagging VM list; ``client`` gives a node its own access."""

    def __init__(self, world: World, *, lag_s: float = 2.0) -> None:
        self.world = world
        self.lag_s = lag_s
        self._entry_by_vm: dict[str, VmEntry] = {}
        self._versions: list[tuple[float, VmListing]] = []
        self._outages: list[_Fault] = []
        self._publish()

    def put(self, entry: VmEntry) -> None:
        """Adds or replaces a VM."""
        self._entry_by_vm[entry.vm] = entry
        self._publish()

    def leave(self, vm: str) -> None:
        """Marks a VM as leaving."""
        self.put(replace(self._entry_by_vm[vm], state=VmState.LEAVING))

    def drop(self, vm: str) -> None:
        """Takes a VM off the list."""
        self._entry_by_vm.pop(vm, None)
        self._publish()

    def outage(
        self,
        start: float,
        end: float = FOREVER,
        nodes: Iterable[str] | None = None,
    ) -> None:
        """The list does not answer in the stretch."""
        self._outages.append(_fault(start, end, nodes))

    def client(self, name: str) -> VmList:
        """Returns a node's access."""
        return _VmListClient(self, name)

    async def fetch(self) -> VmListResult:
        """Returns the newest snapshot that is at least the lag old."""
        return self.fetch_as("")

    def fetch_as(self, node: str) -> VmListResult:
        """Returns what a node gets."""
        if _amount(self._outages, self.world.now, node) is not None:
            return VmListFailed("timeout")
        shown = self._versions[0][1]
        for time, listing in self._versions:
            if time + self.lag_s > self.world.now and time > 0:
                break
            shown = listing
        return shown

    def _publish(self) -> None:
        listing = VmListing(
            len(self._versions), tuple(self._entry_by_vm.values())
        )
        self._versions.append((self.world.now, listing))


class _VmListClient(VmList):
    def __init__(self, shared: FakeVmList, node: str) -> None:
        self._shared = shared
        self._node = node

    async def fetch(self) -> VmListResult:
        return self._shared.fetch_as(self._node)


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
