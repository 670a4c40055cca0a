"""Simulation of a cell in virtual time that checks partition ownership."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from fake_cell_parts import RecordingLedger, RecordingPortions
from fake_log import FakeLog
from fake_network import FakeNetwork
from fake_vm_list import FakeVmList
from simulation import NodeClock, Simulation
from twisted.internet.defer import Deferred, ensureDeferred

from lycheestall.cell_agent import CellAgent
from lycheestall.cell_dependencies import CellDependencies
from lycheestall.cell_fold import CellFold
from lycheestall.cell_session import CellIdentity
from lycheestall.cell_view import PartitionWatcher
from lycheestall.codec import decode_record
from lycheestall.ids import (
    Offset,
    PartitionId,
    SessionId,
    StreamName,
    VmId,
    ZoneId,
)
from lycheestall.platform_services import VmEntry, VmListing, VmRole
from lycheestall.records import Record
from lycheestall.settings import TuningSettings

STREAM = StreamName("cell")
FULL_CHECK_EVENTS = 50
TUNING = TuningSettings(partitions=6)


class RecordingWatcher(PartitionWatcher):
    """Records gains and losses; quiesces after a delay."""

    def __init__(self, clock: NodeClock) -> None:
        self.clock = clock
        self.quiesce_s = 0.0
        self.owned: dict[int, int] = {}
        self.gains: list[tuple[float, int, dict[str, bytes], bool]] = []
        self.losses: list[tuple[float, int]] = []

    def partition_gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """Records a gained partition."""
        assert partition not in self.owned
        self.owned[partition] = epoch
        now = self.clock.simulation.now
        self.gains.append((now, partition, program_states, may_miss_programs))

    def partition_lost(self, partition: PartitionId) -> None:
        """Records a lost partition."""
        assert partition in self.owned
        del self.owned[partition]
        self.losses.append((self.clock.simulation.now, partition))

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Returns the state of one program after ``quiesce_s``."""
        done: Deferred[dict[str, bytes]] = Deferred()
        state = {f"program-{partition}": b"state"}
        self.clock.callLater(self.quiesce_s, done.callback, state)
        return done


class CellNode:
    """One VM of the simulated cell; it runs a cell agent only."""

    def __init__(
        self, cell: SimulatedCell, vm: str, zone: str, *, rate: float = 1.0
    ) -> None:
        self.cell = cell
        self.vm = VmId(vm)
        self.clock = cell.simulation.start_node(vm, rate=rate)
        self.watcher = RecordingWatcher(self.clock)
        self.vm_list = cell.vm_list.client(vm)
        self.mesh = cell.network.mesh(self.vm, ZoneId(zone))
        fold = CellFold(RecordingLedger(), RecordingPortions())
        self.agent = CellAgent(
            CellIdentity(self.vm, ZoneId(zone), "127.0.0.1", 1, "0"),
            STREAM,
            fold,
            self.watcher,
            CellDependencies(
                clock=self.clock,
                log=cell.log.client(vm),
                mesh=self.mesh,
                new_session=cell.new_session(vm),
            ),
            tuning=cell.tuning,
        )
        self.agent.start()
        self._poll()

    def _poll(self) -> None:
        listed = ensureDeferred(self.vm_list.fetch())
        listed.addCallback(self._observe)
        self.clock.callLater(1.0, self._poll)

    def _observe(self, result: object) -> None:
        if isinstance(result, VmListing):
            self.agent.observe_vms(result)

    def active_partitions(self) -> list[int]:
        """Returns the gained partitions that the node may act on now."""
        if not self.clock.alive:
            return []
        return [
            number
            for number in sorted(self.watcher.owned)
            if self.agent.refusal(PartitionId(number)) is None
        ]

    def permitted_partitions(self) -> list[int]:
        """Returns all partitions the node may act on now, gained or not."""
        return [
            number
            for number in range(self.cell.tuning.partitions)
            if self.agent.refusal(PartitionId(number)) is None
        ]


class SimulatedCell:
    """Real cell agents over a fake log, network and VM list.

    Attributes:
        violations: Times at which several nodes could act on the same
            partition, with the partition and the nodes.
    """

    def __init__(
        self,
        seed: int = 0,
        *,
        tuning: TuningSettings = TUNING,
        retention_s: float = float("inf"),
        list_lag_s: float = 2.0,
    ) -> None:
        self.simulation = Simulation(seed)
        self.tuning = tuning
        self.log = FakeLog(self.simulation, retention_s=retention_s)
        self.network = FakeNetwork(self.simulation)
        self.vm_list = FakeVmList(self.simulation, lag_s=list_lag_s)
        self.node_by_vm: dict[str, CellNode] = {}
        self.violations: list[tuple[float, int, tuple[str, ...]]] = []
        self._sessions = 0
        self._events = 0
        self._active_by_vm: dict[str, frozenset[int]] = {}
        self.simulation.after_event.append(self._check)

    def new_session(self, vm: str) -> Callable[[], SessionId]:
        """Returns a function that creates session ids."""

        def make() -> SessionId:
            self._sessions += 1
            return SessionId(f"{vm}-{self._sessions:04}")

        return make

    def start_vm(
        self, vm: str, zone: str = "z1", *, rate: float = 1.0
    ) -> CellNode:
        """Starts a VM and adds it to the VM list."""
        self.vm_list.put(
            VmEntry(VmId(vm), VmRole.ENTRY, ZoneId(zone), "127.0.0.1", 1)
        )
        node = CellNode(self, vm, zone, rate=rate)
        self.node_by_vm[vm] = node
        return node

    def start_vms(self, count: int, zones: int = 3) -> None:
        """Starts VMs across zones and waits for stable ownership."""
        for number in range(count):
            self.start_vm(f"vm{number:02}", f"z{number % zones}")
        self.settle()

    def settle(self, limit_s: float = 60.0) -> None:
        """Runs until every partition has an active owner, twice 8 s apart."""
        assert self.simulation.run_while(lambda: not self.all_owned(), limit_s)
        self.simulation.run_for(8.0)
        assert self.simulation.run_while(lambda: not self.all_owned(), limit_s)

    def owners(self) -> dict[int, list[str]]:
        """Returns the nodes that may act on each partition now."""
        found: dict[int, list[str]] = {}
        for vm, node in self.node_by_vm.items():
            for partition in node.active_partitions():
                found.setdefault(partition, []).append(vm)
        return found

    def all_owned(self) -> bool:
        """Returns whether each partition has an active owner."""
        return len(self.owners()) == self.tuning.partitions

    def owned_by(self, vm: str) -> list[int]:
        """Returns the partitions that a node may act on."""
        return self.node_by_vm[vm].active_partitions()

    def folded_log(self) -> CellFold:
        """Returns the state after applying the complete log."""
        fold = CellFold(RecordingLedger(), RecordingPortions())
        for entry in self.log.entries(STREAM):
            record = decode_record(entry.payload)
            assert isinstance(record, Record)
            fold.apply(entry.offset, record)
        return fold

    def others(self, *vms: str) -> list[str]:
        """Returns the other nodes."""
        return [vm for vm in self.node_by_vm if vm not in vms]

    def kill(self, vm: str, *, drop: bool = False) -> None:
        """Kills a VM and optionally drops it from the VM list."""
        self.simulation.kill(vm)
        if drop:
            self.vm_list.drop(vm)

    def isolate(self, vms: Iterable[str]) -> None:
        """Cuts a group of nodes off from the other nodes."""
        inside = list(vms)
        for vm in inside:
            self.network.isolate(vm, self.others(*inside))

    def rejoin(self, vms: Iterable[str]) -> None:
        """Undoes ``isolate``."""
        for vm in vms:
            self.network.rejoin(vm, self.others(vm))

    def _check(self, clock: NodeClock | None) -> None:
        """Records partitions with several owners after a node gained some.

        Only a node's own events can add partitions that it may act on,
        so checking after each of them finds the first violation.
        """
        if clock is None:
            return
        node = self.node_by_vm.get(clock.name)
        if node is None or node.clock is not clock:
            return
        self._events += 1
        if self._events % FULL_CHECK_EVENTS == 0:
            assert node.permitted_partitions() == node.active_partitions()
        active = frozenset(node.active_partitions())
        before = self._active_by_vm.get(clock.name, frozenset())
        self._active_by_vm[clock.name] = active
        if active <= before:
            return
        for partition, vms in self.owners().items():
            if len(vms) > 1:
                found = (self.simulation.now, partition, tuple(vms))
                self.violations.append(found)


def tuned(**changes: float) -> TuningSettings:
    """Returns the tests' tuning settings with changes."""
    return replace(TUNING, **changes)
