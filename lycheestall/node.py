"""One VM of the system: all its parts, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, ensureDeferred

from .application_directory import ApplicationDirectory
from .calls import Call, CallHandle, CallHandler, CallSink, ResponseHead
from .clock import Clock, sleep
from .engine_directory import EngineDirectory
from .engine_dispatcher import EngineDispatcher
from .ids import AccountId, ProgramId, SessionId, TargetId, VmId
from .logs import Logger
from .mesh import Mesh
from .messages import MeshMessage
from .metrics import Metrics
from .outcomes import Outcome
from .partitions import partition_of
from .platform import LogService, VmList, VmListing, VmRole
from .polling import Poller
from .program_ids import NONCE_BYTES, issue_program_id
from .program_owner import ProgramOwner
from .router import Router
from .rule_book import RuleBook
from .rules_match import EMPTY_RULES
from .settings import Settings
from .static_cell import StaticCell
from .supervisor import Supervisor
from .target_factory import TargetFactory

__all__ = ["Node", "NodePorts"]

VM_POLL_INTERVAL_S = 1.0
LOAD_POLL_INTERVAL_S = 0.5
ISSUE_TRIES = 64
DRAIN_CHECK_S = 0.02


@dataclass(frozen=True, slots=True)
class NodePorts:
    """What a node is plugged into.

    Attributes:
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        log: The platform's log service.
        vm_list: The platform's VM list.
        mesh: The other daemons.
        targets: Makes clients of targets.
        random: Seeded source for ties and ids.
        logger: Where the node logs.
        metrics: Where the node counts.
    """

    clock: Clock
    wall_ms: Callable[[], int]
    log: LogService
    vm_list: VmList
    mesh: Mesh
    targets: TargetFactory
    random: Random
    logger: Logger
    metrics: Metrics


class Node(CallHandler):
    """Wires the parts together and runs their loops.

    Args:
        settings: This VM's settings.
        session: This life of the daemon.
        ports: What it is plugged into.
    """

    def __init__(
        self, *, settings: Settings, session: SessionId, ports: NodePorts
    ) -> None:
        self.settings = settings
        self.session = session
        self._ports = ports
        self._vm = settings.vm
        self._partitions = settings.tuning.partitions
        self._receipt_keys = [
            bytes.fromhex(key) for key in settings.receipt_keys
        ]
        self._draining = False
        self._calls = 0
        self.supervisor = Supervisor(clock=ports.clock, logger=ports.logger)
        self.cell = StaticCell(settings.vm, [settings.vm])
        self.engines = EngineDirectory(factory=ports.targets.engine)
        self.dispatcher = EngineDispatcher(
            engines=self.engines,
            rules=self.rules,
            clock=ports.clock,
            wall_ms=ports.wall_ms,
            random=ports.random,
            vm=settings.vm,
            crash_reporter=self._report_crash,
            quarantined=self._quarantined,
            cell_size=self._cell_size,
            session=lambda: self.cell.session,
        )
        self.applications = ApplicationDirectory(
            factory=ports.targets.application,
            kept_from_work=self._kept_from_work,
        )
        self.owner = ProgramOwner(
            cell=self.cell,
            dispatcher=self.dispatcher,
            applications=self.applications,
            rules=self.rules,
            clock=ports.clock,
            wall_ms=ports.wall_ms,
            receipt_keys=self._receipt_keys,
            settings=settings.tuning,
            partitions=self._partitions,
        )
        self.router = Router(
            vm=settings.vm,
            cell=self.cell,
            mesh=ports.mesh,
            owner=self.owner,
            partitions=self._partitions,
            clock=ports.clock,
        )
        ports.mesh.on_message(self._on_message)
        ports.mesh.on_lost(self.router.on_lost)

    def start(self) -> None:
        """Starts the loops."""
        clock = self._ports.clock
        self.supervisor.add(
            Poller(
                "vm-list",
                self._poll_vms,
                interval_s=VM_POLL_INTERVAL_S,
                clock=clock,
            )
        )
        self.supervisor.add(
            Poller(
                "loads",
                self._poll_loads,
                interval_s=LOAD_POLL_INTERVAL_S,
                clock=clock,
            )
        )

    def rules(self) -> RuleBook:
        """Returns the rules in force on this VM."""
        return EMPTY_RULES

    def issue_program(self, account: AccountId) -> ProgramId:
        """Returns a new program id, of a partition owned here if any."""
        for _ in range(ISSUE_TRIES):
            program = self._new_program(account)
            partition = partition_of(account, program, self._partitions)
            if self.cell.owner_of(partition) == self._vm:
                break
        return program

    def _new_program(self, account: AccountId) -> ProgramId:
        return issue_program_id(
            account=account,
            issued_ms=self._ports.wall_ms(),
            nonce=self._ports.random.randbytes(NONCE_BYTES),
            key=self._receipt_keys[0],
        )

    def ready(self) -> bool:
        """Returns whether the node takes new calls."""
        return not self._draining

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Runs a caller's call and counts it."""
        counted = _CountedSink(self, call, sink)
        self._calls += 1
        return self.router.handle(call, counted)

    def calls_in_progress(self) -> int:
        """Returns how many calls of callers and peers are under way."""
        return self._calls + self.router.in_progress()

    def call_ended(self, call: Call, outcome: Outcome, since: float) -> None:
        """Counts the end of a caller's call.

        Args:
            call: The call.
            outcome: How it ended.
            since: When it arrived, on the node's clock.
        """
        self._calls -= 1
        duration_s = self._ports.clock.seconds() - since
        self._ports.metrics.call_ended(call, outcome, duration_s)

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining

    def peers(self) -> frozenset[VmId]:
        """Returns the VMs with an open connection."""
        return self._ports.mesh.connected()

    def now(self) -> float:
        """Returns the node's monotonic time in seconds."""
        return self._ports.clock.seconds()

    def drain(self) -> Deferred[None]:
        """Begins a planned stop.

        Returns:
            Fires when nothing is in flight and all is handed over.
        """
        self._draining = True
        return ensureDeferred(self._drain())

    def stop(self) -> Deferred[object]:
        """Stops the loops."""
        done: Deferred[object] = Deferred()
        self.supervisor.stop().addBoth(done.callback)
        return done

    async def _drain(self) -> None:
        end = self.now() + self.settings.tuning.drain_limit_s
        while self.calls_in_progress() and self.now() < end:
            await sleep(self._ports.clock, DRAIN_CHECK_S)

    def _on_message(self, peer: VmId, message: MeshMessage) -> None:
        self.router.on_message(peer, message)

    async def _poll_vms(self) -> None:
        listing = await self._ports.vm_list.fetch()
        if not isinstance(listing, VmListing):
            return
        if self.engines.update(listing):
            self.dispatcher.engines_changed()
        self.applications.update(listing)
        peers = {
            entry.vm: (entry.host, entry.port)
            for entry in listing.entries
            if entry.role is VmRole.ENTRY
        }
        self.cell.set_members(sorted(peers))
        peers.pop(self._vm, None)
        self._ports.mesh.set_peers(peers)

    async def _poll_loads(self) -> None:
        for entry in self.engines.entries():
            engine = self.engines.engine(entry.target)
            if engine is None:
                continue
            report = await engine.load()
            if report is not None:
                self.dispatcher.observe(report)

    def _report_crash(self, fingerprint: bytes, target: TargetId) -> None:
        self._ports.logger.warning("target crashed", peer=target)

    def _quarantined(self, fingerprint: bytes) -> bool:
        return False

    def _cell_size(self) -> int:
        return 1

    def _kept_from_work(
        self, target: TargetId, group: str, error_share: float
    ) -> str:
        line = self.rules().left_alone(
            target,
            group,
            at_ms=self._ports.wall_ms(),
            load=0.0,
            error_share=error_share,
        )
        if line is None:
            return ""
        return f"line {line.number}, asked for by {line.member}"


class _CountedSink(CallSink):
    """Passes an answer through and counts its outcome."""

    def __init__(self, node: Node, call: Call, sink: CallSink) -> None:
        self._node = node
        self._call = call
        self._sink = sink
        self._arrived = node.now()

    def start(self, head: ResponseHead) -> None:
        self._sink.start(head)

    def chunk(self, data: bytes) -> None:
        self._sink.chunk(data)

    def finish(self, outcome: Outcome) -> None:
        self._node.call_ended(self._call, outcome, self._arrived)
        self._sink.finish(outcome)

    def congested(self) -> bool:
        return self._sink.congested()
