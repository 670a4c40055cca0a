"""A whole deployment in virtual time: nodes, platform, targets, callers."""

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
from tests.fake_callers import Crowd, FakeCaller, StepKind
from tests.fake_engine import FakeEngine
from tests.fake_log import FakeLog
from tests.fake_network import FakeNetwork
from tests.fake_targets import FakeTargets
from tests.fake_vm_list import FakeVmList
from tests.fake_world import NodeClock, World
from tests.promises import Evidence

ZONES = ("north", "middle", "south")
WALL_START_MS = 1_800_000_000_000
BOOT_LIMIT_S = 30.0
RECEIPT_KEY = "11" * 32


def no_logger() -> structlog.typing.FilteringBoundLogger:
    """Returns a logger that writes nothing."""
    wrapper = structlog.make_filtering_bound_logger(logging.CRITICAL)
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        None, processors=[], wrapper_class=wrapper
    )
    return logger


@dataclass
class RunningVm:
    """One life of one VM."""

    node: Node
    clock: NodeClock
    draining: bool = False


class _WatchedVmList(VmList):
    """Notes when the news of a leaving target first reaches a VM."""

    def __init__(
        self, inner: VmList, world: World, evidence: Evidence
    ) -> None:
        self._inner = inner
        self._world = world
        self._evidence = evidence

    async def fetch(self) -> VmListResult:
        """Returns the snapshot, after a look at it."""
        result = await self._inner.fetch()
        if not isinstance(result, VmListing):
            return result
        shown_at = self._evidence.leaving_shown_at
        for entry in result.entries:
            if entry.state is VmState.LEAVING:
                shown_at.setdefault(entry.vm, self._world.now)
        return result


class System:
    """Nodes over fakes of everything around them.

    Attributes:
        world: Virtual time.
        vm_by_name: The VMs that were started and not killed.
        wall_step_ms: Added to each VM's wall clock.
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
        self.world = World(seed)
        self.random = random.Random(seed)
        self.tuning = tuning or TuningSettings(partitions=12)
        self.log = FakeLog(self.world)
        self.vm_list = FakeVmList(self.world)
        self.network = FakeNetwork(self.world)
        self.vm_by_name: dict[str, RunningVm] = {}
        self.wall_step_ms: dict[str, int] = {}
        self.crowd = Crowd()
        self.evidence = Evidence(self.crowd.callers, [], [])
        self.engine_by_name: dict[str, FakeEngine] = {}
        self.application_by_name: dict[str, FakeApplication] = {}
        self._lives = 0
        for index in range(engines):
            self._add_engine(f"engine-{index}", ZONES[index % 3])
        for index in range(applications):
            self._add_application(f"app-{index}", ZONES[index % 3])
        for index in range(vms):
            self.start_vm(f"vm-{index:02d}", ZONES[index % 3])
        self.world.on_kill.append(self._killed)
        self.world.after_event.append(self._note_rules)

    def start_vm(self, name: str, zone: str) -> RunningVm:
        """Starts a VM, listed by the platform."""
        clock = self.world.boot(name)
        self._lives += 1
        entry = VmEntry(VmId(name), VmRole.ENTRY, ZoneId(zone), "10.0.0.3", 1)
        self.vm_list.put(entry)
        node = Node(
            settings=self._settings(name, zone),
            session=SessionId(f"{name}.{self._lives}"),
            dependencies=self._node_ports(name, zone, clock),
        )
        running = RunningVm(node, clock)
        self.vm_by_name[name] = running
        node.start()
        return running

    def kill_vm(self, name: str, *, listed_s: float = 2.0) -> None:
        """Kills a VM; the platform takes it off its list after a while."""
        self.world.kill(name)
        self.world.later(listed_s, lambda: self._drop(name))

    def drain_vm(self, name: str) -> None:
        """Begins a planned stop; the process ends when it is done."""
        running = self.vm_by_name.get(name)
        if running is None:
            return
        running.draining = True
        self.vm_list.leave(name)
        done = running.node.drain()
        done.addCallback(lambda _: self._stopped(name))

    def replace_vm(self, name: str, zone: str) -> None:
        """Starts a new VM in the place of one that is gone."""
        self.start_vm(name, zone)

    def leave_target(self, name: str) -> None:
        """The platform says that a target is leaving."""
        self.vm_list.leave(name)

    def settle(self) -> bool:
        """Runs until every partition has an owner that may act."""
        return self.world.run_while(lambda: not self.all_owned(), BOOT_LIMIT_S)

    def all_owned(self) -> bool:
        """Returns whether each partition has a VM that may act on it."""
        for partition in range(self.tuning.partitions):
            if not self.actors(partition):
                return False
        return True

    def actors(self, partition: int) -> list[str]:
        """Returns the VMs that may act on a partition right now."""
        found: list[str] = []
        for name, running in self.vm_by_name.items():
            if not self.world.running(name):
                continue
            cell = running.node.cell
            if cell.refusal(PartitionId(partition)) is None:
                found.append(name)
        return found

    def add_caller(
        self,
        account: str,
        steps: Sequence[StepKind],
        *,
        at: float | None = None,
        program_class: str = "",
        deadline_s: float = 60.0,
        patience: int = 60,
    ) -> FakeCaller:
        """Adds a program that starts at a true time, now by default."""
        caller = FakeCaller(
            self.world,
            self.balance,
            account,
            steps,
            program_class=program_class,
            deadline_s=deadline_s,
            patience=patience,
        )
        self.crowd.callers.append(caller)
        start = self.world.now if at is None else at
        self.world.at(start, caller.start)
        return caller

    def balance(self) -> tuple[str, CallHandler] | None:
        """Returns a VM that looks ready to the balancer."""
        ready: list[str] = []
        for name, running in self.vm_by_name.items():
            if not self.world.clock_by_node[name].alive:
                continue
            if running.draining or not running.node.ready():
                continue
            ready.append(name)
        if not ready:
            return None
        name = self.random.choice(sorted(ready))
        return name, self.vm_by_name[name].node

    def publish(self, text: str, *, base: int, via: str) -> list[object]:
        """Publishes rules through a VM; the result list gets the reply."""
        replies: list[object] = []
        if via not in self.vm_by_name:
            return replies
        node = self.vm_by_name[via].node
        done = node.publish_rules(Offset(base), text, OperatorName("ops"))
        done.addBoth(replies.append)
        return replies

    def run_to_end(self, limit_s: float, *, grace_s: float = 40.0) -> bool:
        """Runs until all callers are through; then lets things settle.

        Returns:
            Whether all callers were through in time.
        """
        through = self.world.run_while(self.crowd.busy, limit_s)
        self.world.run_for(grace_s)
        return through

    def judge(self) -> Evidence:
        """Returns the evidence as of now."""
        evidence = self.evidence
        evidence.engines = list(self.engine_by_name.values())
        evidence.applications = list(self.application_by_name.values())
        evidence.judged_at = self.world.now
        evidence.sessions_in_authority = [
            running.node.session
            for name, running in self.vm_by_name.items()
            if self.world.running(name) and self._acts(name)
        ]
        return evidence

    def _acts(self, name: str) -> bool:
        for partition in range(self.tuning.partitions):
            if name in self.actors(partition):
                return True
        return False

    def _add_engine(self, name: str, zone: str) -> None:
        engine = FakeEngine(self.world, name, zone)
        self.engine_by_name[name] = engine
        self.vm_list.put(engine.entry())

    def _add_application(self, name: str, zone: str) -> None:
        application = FakeApplication(self.world, name, "orders", zone)
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

    def _node_ports(
        self, name: str, zone: str, clock: NodeClock
    ) -> NodeDependencies:
        return NodeDependencies(
            clock=clock,
            wall_ms=self._wall(name),
            log=self.log.client(name),
            vm_list=_WatchedVmList(
                self.vm_list.client(name), self.world, self.evidence
            ),
            mesh=self.network.mesh(VmId(name), ZoneId(zone)),
            target_factory=FakeTargets(
                self.engine_by_name, self.application_by_name, clock, name
            ),
            random=random.Random(self.random.getrandbits(64)),
            logger=no_logger(),
            metrics=Metrics(vm=name),
        )

    def _wall(self, name: str) -> Callable[[], int]:
        def wall_ms() -> int:
            step_ms = self.wall_step_ms.get(name, 0)
            return WALL_START_MS + int(self.world.now * 1000) + step_ms

        return wall_ms

    def _killed(self, name: str) -> None:
        if name in self.vm_by_name:
            del self.vm_by_name[name]
            self.crowd.vm_lost(name)

    def _drop(self, name: str) -> None:
        if name not in self.vm_by_name:
            self.vm_list.drop(name)

    def _stopped(self, name: str) -> None:
        for caller in self.crowd.callers:
            for attempt in caller.attempts:
                if attempt.vm == name and attempt.ended_at is None:
                    self.evidence.cut_by_drain.append(attempt)
        self.kill_vm(name)

    def _note_rules(self, clock: NodeClock | None) -> None:
        running = None if clock is None else self.vm_by_name.get(clock.name)
        if running is None:
            return
        version = running.node.rules().version
        session = running.node.session
        applied = self.evidence.rules_applied.setdefault(session, [])
        if not applied or applied[-1][1] != version:
            applied.append((self.world.now, version))
