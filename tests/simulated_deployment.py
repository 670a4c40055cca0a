"""A deployment in virtual time: nodes, platform, targets and callers."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from lycheestall.calls import CallHandler
from lycheestall.ids import (
    AccountId,
    Offset,
    OperatorName,
    PartitionId,
    SessionId,
    VmId,
    ZoneId,
)
from lycheestall.metrics import Metrics
from lycheestall.node import Node, NodeDependencies
from lycheestall.platform_services import (
    VmEntry,
    VmList,
    VmListing,
    VmListResult,
    VmRole,
    VmState,
)
from lycheestall.settings import (
    AccountSettings,
    ListenSettings,
    PlatformSettings,
    Settings,
    TuningSettings,
)
from tests.fake_application import FakeApplication
from tests.fake_callers import CallerGroup, FakeCaller, ProgramStep
from tests.fake_engine import FakeEngine
from tests.fake_log import FakeLog
from tests.fake_network import FakeNetwork
from tests.fake_targets import FakeTargets
from tests.fake_vm_list import FakeVmList
from tests.guarantees import Observations
from tests.simulation import NodeClock, Simulation

ZONES = ("north", "middle", "south")
WALL_START_MS = 1_800_000_000_000
STARTUP_LIMIT_S = 30.0
RECEIPT_KEY = "11" * 32


def null_logger() -> structlog.typing.FilteringBoundLogger:
    """Returns a logger that writes nothing."""
    wrapper = structlog.make_filtering_bound_logger(logging.CRITICAL)
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        None, processors=[], wrapper_class=wrapper
    )
    return logger


@dataclass
class RunningVm:
    """One process of an entry VM."""

    node: Node
    clock: NodeClock
    draining: bool = False


class _RecordingVmList(VmList):
    """Records when a VM first reads that a target is leaving."""

    def __init__(
        self, inner: VmList, simulation: Simulation, observations: Observations
    ) -> None:
        self._inner = inner
        self._simulation = simulation
        self._observations = observations

    async def fetch(self) -> VmListResult:
        """Fetches the VM list and records targets that are leaving."""
        result = await self._inner.fetch()
        if not isinstance(result, VmListing):
            return result
        visible_at = self._observations.leaving_visible_at
        for entry in result.entries:
            if entry.state is VmState.LEAVING:
                visible_at.setdefault(entry.vm, self._simulation.now)
        return result


class SimulatedDeployment:
    """Real nodes over a fake platform, network, targets and callers.

    Attributes:
        simulation: Virtual time and the processes of all nodes.
        vm_by_name: The VMs that were started and not killed.
        wall_clock_step_ms: Offset of the wall clock, by VM.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        vms: int = 4,
        engines: int = 3,
        applications: int = 2,
        tuning: TuningSettings | None = None,
    ) -> None:
        self.simulation = Simulation(seed)
        self.random = random.Random(seed)
        self.tuning = tuning or TuningSettings(partitions=12)
        self.log = FakeLog(self.simulation)
        self.vm_list = FakeVmList(self.simulation)
        self.network = FakeNetwork(self.simulation)
        self.vm_by_name: dict[str, RunningVm] = {}
        self.wall_clock_step_ms: dict[str, int] = {}
        self.caller_group = CallerGroup()
        self.observations = Observations(self.caller_group.callers, [], [])
        self.engine_by_name: dict[str, FakeEngine] = {}
        self.application_by_name: dict[str, FakeApplication] = {}
        self._start_count = 0
        for index in range(engines):
            self._add_engine(f"engine-{index}", ZONES[index % 3])
        for index in range(applications):
            self._add_application(f"app-{index}", ZONES[index % 3])
        for index in range(vms):
            self.start_vm(f"vm-{index:02d}", ZONES[index % 3])
        self.simulation.on_kill.append(self._on_vm_killed)
        self.simulation.after_event.append(self._record_rules_version)

    def start_vm(self, name: str, zone: str) -> RunningVm:
        """Starts a VM and adds it to the platform's VM list."""
        clock = self.simulation.start_node(name)
        self._start_count += 1
        entry = VmEntry(VmId(name), VmRole.ENTRY, ZoneId(zone), "10.0.0.3", 1)
        self.vm_list.put(entry)
        node = Node(
            settings=self._settings(name, zone),
            session=SessionId(f"{name}.{self._start_count}"),
            dependencies=self._node_dependencies(name, zone, clock),
        )
        running = RunningVm(node, clock)
        self.vm_by_name[name] = running
        node.start()
        return running

    def kill_vm(self, name: str, *, listed_for_s: float = 2.0) -> None:
        """Kills a VM; it stays in the VM list for some seconds."""
        self.simulation.kill(name)
        self.simulation.later(
            listed_for_s, lambda: self._remove_from_vm_list(name)
        )

    def drain_vm(self, name: str) -> None:
        """Starts to drain a VM; its process ends when it has drained."""
        running = self.vm_by_name.get(name)
        if running is None:
            return
        running.draining = True
        self.vm_list.leave(name)
        result = running.node.drain()
        result.addCallback(lambda _: self._finish_drain(name))

    def replace_vm(self, name: str, zone: str) -> None:
        """Starts a new VM under the name of one that has ended."""
        self.start_vm(name, zone)

    def mark_target_leaving(self, name: str) -> None:
        """Marks a target as leaving in the VM list."""
        self.vm_list.leave(name)

    def settle(self) -> bool:
        """Runs until every partition has an owner with authority."""
        return self.simulation.run_while(
            lambda: not self.all_owned(), STARTUP_LIMIT_S
        )

    def all_owned(self) -> bool:
        """Returns whether a VM has authority over each partition."""
        for partition in range(self.tuning.partitions):
            if not self.vms_with_authority(partition):
                return False
        return True

    def vms_with_authority(self, partition: int) -> list[str]:
        """Returns the VMs that have authority over a partition now."""
        names: list[str] = []
        for name, running in self.vm_by_name.items():
            if not self.simulation.running(name):
                continue
            cell = running.node.cell
            if cell.refusal(PartitionId(partition)) is None:
                names.append(name)
        return names

    def add_caller(
        self,
        account: str,
        steps: Sequence[ProgramStep],
        *,
        at: float | None = None,
        program_class: str = "",
        deadline_s: float = 60.0,
        max_retries: int = 60,
    ) -> FakeCaller:
        """Adds a caller that starts at a virtual time, now by default."""
        caller = FakeCaller(
            self.simulation,
            self.pick_vm,
            account,
            steps,
            program_class=program_class,
            deadline_s=deadline_s,
            max_retries=max_retries,
        )
        self.caller_group.callers.append(caller)
        start = self.simulation.now if at is None else at
        self.simulation.at(start, caller.start)
        return caller

    def pick_vm(self) -> tuple[str, CallHandler] | None:
        """Picks a random VM that is ready, as a load balancer does."""
        ready: list[str] = []
        for name, running in self.vm_by_name.items():
            if not self.simulation.clock_by_node[name].alive:
                continue
            if running.draining or not running.node.ready():
                continue
            ready.append(name)
        if not ready:
            return None
        name = self.random.choice(sorted(ready))
        return name, self.vm_by_name[name].node

    def publish(self, text: str, *, base: int, via: str) -> list[object]:
        """Publishes rules through a VM; the reply is added to the result."""
        replies: list[object] = []
        if via not in self.vm_by_name:
            return replies
        node = self.vm_by_name[via].node
        result = node.publish_rules(Offset(base), text, OperatorName("ops"))
        result.addBoth(replies.append)
        return replies

    def run_to_end(self, limit_s: float, *, grace_s: float = 40.0) -> bool:
        """Runs until all callers have stopped, then for a grace period.

        Returns:
            Whether all callers stopped in time.
        """
        finished = self.simulation.run_while(
            self.caller_group.any_running, limit_s
        )
        self.simulation.run_for(grace_s)
        return finished

    def collect_observations(self) -> Observations:
        """Returns the observations up to now."""
        observations = self.observations
        observations.engines = list(self.engine_by_name.values())
        observations.applications = list(self.application_by_name.values())
        observations.observed_at = self.simulation.now
        observations.sessions_in_authority = [
            running.node.session
            for name, running in self.vm_by_name.items()
            if self.simulation.running(name) and self._has_authority(name)
        ]
        return observations

    def _has_authority(self, name: str) -> bool:
        for partition in range(self.tuning.partitions):
            if name in self.vms_with_authority(partition):
                return True
        return False

    def _add_engine(self, name: str, zone: str) -> None:
        engine = FakeEngine(self.simulation, name, zone)
        self.engine_by_name[name] = engine
        self.vm_list.put(engine.entry())

    def _add_application(self, name: str, zone: str) -> None:
        application = FakeApplication(self.simulation, name, "orders", zone)
        self.application_by_name[name] = application
        self.vm_list.put(application.entry())

    def _settings(self, name: str, zone: str) -> Settings:
        return Settings(
            vm=VmId(name),
            zone=ZoneId(zone),
            listen=ListenSettings("10.0.0.3", 1, 2, 3),
            platform=PlatformSettings("http://log", "http://list"),
            accounts=[AccountSettings(AccountId("trust"), [])],
            receipt_keys=[RECEIPT_KEY],
            tuning=self.tuning,
        )

    def _node_dependencies(
        self, name: str, zone: str, clock: NodeClock
    ) -> NodeDependencies:
        return NodeDependencies(
            clock=clock,
            wall_ms=self._wall_clock(name),
            log=self.log.client(name),
            vm_list=_RecordingVmList(
                self.vm_list.client(name), self.simulation, self.observations
            ),
            mesh=self.network.mesh(VmId(name), ZoneId(zone)),
            target_factory=FakeTargets(
                self.engine_by_name, self.application_by_name, clock, name
            ),
            random=random.Random(self.random.getrandbits(64)),
            logger=null_logger(),
            metrics=Metrics(vm=name),
        )

    def _wall_clock(self, name: str) -> Callable[[], int]:
        def wall_ms() -> int:
            step_ms = self.wall_clock_step_ms.get(name, 0)
            return WALL_START_MS + int(self.simulation.now * 1000) + step_ms

        return wall_ms

    def _on_vm_killed(self, name: str) -> None:
        if name in self.vm_by_name:
            del self.vm_by_name[name]
            self.caller_group.vm_connections_lost(name)

    def _remove_from_vm_list(self, name: str) -> None:
        if name not in self.vm_by_name:
            self.vm_list.drop(name)

    def _finish_drain(self, name: str) -> None:
        for caller in self.caller_group.callers:
            for attempt in caller.attempts:
                if attempt.vm == name and attempt.ended_at is None:
                    self.observations.cut_by_drain.append(attempt)
        self.kill_vm(name)

    def _record_rules_version(self, clock: NodeClock | None) -> None:
        running = None if clock is None else self.vm_by_name.get(clock.name)
        if running is None:
            return
        version = running.node.rules().version
        session = running.node.session
        applied = self.observations.rules_applied.setdefault(session, [])
        if not applied or applied[-1][1] != version:
            applied.append((self.simulation.now, version))
