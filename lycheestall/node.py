"""One VM of the system: all its parts, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from twisted.internet.defer import (
    Deferred,
    TimeoutError,
    ensureDeferred,
)

from . import __version__
from .application_directory import ApplicationDirectory
from .calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
)
from .cell_agent import CellAgent, CellPorts
from .cell_fold import CellFold
from .cell_session import CellIdentity
from .cell_view import PartitionWatcher
from .clock import Clock, sleep
from .counted_call import CallCounter
from .engine_directory import EngineDirectory
from .engine_dispatcher import EngineDispatcher
from .engine_poller import EnginePoller, PollAssignment
from .ids import (
    AccountId,
    Offset,
    OperatorName,
    PartitionId,
    ProgramId,
    SessionId,
    StreamName,
    TargetId,
    VmId,
)
from .ledger import Ledger
from .mesh import Mesh
from .messages import MeshMessage
from .node_ports import NodePorts
from .partitions import partition_of
from .platform_services import VmListing
from .polling import Poller, PollStep
from .portions import Portions
from .program_ids import NONCE_BYTES, issue_program_id
from .program_owner import ProgramOwner
from .records import CrashReported
from .router import Router
from .rules.match import IndexedRuleSet
from .rules.publisher import PublishOutcome, RulesPublisher
from .rules.stream import RulesStream
from .settings import Settings
from .supervisor import Supervisor

__all__ = ["Node", "NodePorts"]

VM_POLL_INTERVAL_S = 1.0
LOAD_POLL_INTERVAL_S = 0.5
CACHE_POLL_INTERVAL_S = 2.0
MEMORY_INTERVAL_S = 10.0
ISSUE_TRIES = 64
DRAIN_CHECK_S = 0.02
RULES_INTERVAL_S = 0.25
LEAVE_RULES_S = 1.0


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
        self._counter = CallCounter(clock=ports.clock, metrics=ports.metrics)
        self._sessions = 0
        self._other_handler: Callable[[VmId, MeshMessage], bool] | None = None
        self.supervisor = Supervisor(clock=ports.clock, logger=ports.logger)
        self.ledger = Ledger()
        self.portions = Portions()
        self.fold = CellFold(self.ledger, self.portions)
        self.cell = CellAgent(
            CellIdentity(
                vm=settings.vm,
                zone=settings.zone,
                host=settings.listen.host,
                port=settings.listen.mesh_port,
                release=__version__,
            ),
            StreamName(settings.platform.cell_stream),
            self.fold,
            _OwnerWatcher(self),
            CellPorts(
                clock=ports.clock,
                log=ports.log,
                mesh=ports.mesh,
                new_session=self._new_session,
            ),
            tuning=settings.tuning,
        )
        self.rules_stream = RulesStream(
            host=self.cell,
            stream=StreamName(settings.platform.rules_stream),
            session=session,
            vm=settings.vm,
            live_vms=self.members,
            clock=ports.clock,
            wall_ms=ports.wall_ms,
        )
        self.publisher = RulesPublisher(
            stream=self.rules_stream,
            clock=ports.clock,
            wall_ms=ports.wall_ms,
            new_nonce=lambda: ports.random.randbytes(16).hex(),
        )
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
            kept_from_work=self.kept_from_work,
        )
        self.owner = ProgramOwner(
            cell=self.cell,
            ledger=lambda: self.ledger,
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
        self.cell.on_other_message(self._on_message)
        self.cell.on_peer_lost(self.router.on_lost)
        self.polls = EnginePoller(
            engines=self.engines,
            dispatcher=self.dispatcher,
            assignment=PollAssignment(
                vm=settings.vm,
                members=self.members,
                up_to_date=self._up_to_date,
                is_live=self._is_live,
            ),
        )
        self.cell.exchange_loads(
            self.polls.take_new_loads, self.polls.receive_loads
        )

    def start(self) -> None:
        """Starts the loops."""
        self.cell.start()
        self._poll("vm-list", self._poll_vms, VM_POLL_INTERVAL_S)
        self._poll("loads", self.polls.poll_loads, LOAD_POLL_INTERVAL_S)
        self._poll("caches", self.polls.poll_caches, CACHE_POLL_INTERVAL_S)
        self._poll("memory", self.polls.reconcile_memory, MEMORY_INTERVAL_S)
        self._poll("rules", self._keep_rules, RULES_INTERVAL_S)

    def _poll(self, name: str, step: PollStep, interval_s: float) -> None:
        self.supervisor.add(
            Poller(name, step, interval_s=interval_s, clock=self._ports.clock)
        )

    def rules(self) -> IndexedRuleSet:
        """Returns the rules in force on this VM."""
        return self.rules_stream.rules

    def publish_rules(
        self, base: Offset, text: str, operator: OperatorName
    ) -> Deferred[PublishOutcome]:
        """Publishes a rule file against a base version."""
        return ensureDeferred(self.publisher.publish(base, text, operator))

    def _issue_program(self, account: AccountId) -> ProgramId:
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
        return not self._draining and self.cell.session != ""

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Runs a caller's call and counts it."""
        counted = self._counter.start(call, sink)
        if call.kind is CallKind.OPEN:
            call = replace(call, program=self._issue_program(call.account))
        counted.inner = self.router.handle(call, counted)
        return counted

    def calls_in_progress(self) -> int:
        """Returns how many calls of callers and peers are under way."""
        return self._counter.open + self.router.in_progress()

    @property
    def mesh(self) -> Mesh:
        """Reaches the other daemons."""
        return self._ports.mesh

    @property
    def clock(self) -> Clock:
        """The node's monotonic clock."""
        return self._ports.clock

    def on_other_message(
        self, handler: Callable[[VmId, MeshMessage], bool]
    ) -> None:
        """Sets who is offered messages before the router.

        Args:
            handler: Returns False for a message that is not its own.
        """
        self._other_handler = handler

    def _on_message(self, peer: VmId, message: MeshMessage) -> None:
        handler = self._other_handler
        if handler is None or not handler(peer, message):
            self.router.on_message(peer, message)

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
        self.cell.stop()
        done: Deferred[object] = Deferred()
        self.supervisor.stop().addBoth(done.callback)
        return done

    async def _drain(self) -> None:
        end = self.now() + self.settings.tuning.drain_limit_s
        while self.calls_in_progress() and self.now() < end:
            await sleep(self._ports.clock, DRAIN_CHECK_S)
        left: Deferred[Any] = self.rules_stream.leave()
        left.addTimeout(LEAVE_RULES_S, cast(Any, self._ports.clock))
        left.addErrback(lambda failure: failure.trap(TimeoutError))
        await left
        await self.cell.drain()

    async def _poll_vms(self) -> None:
        listing = await self._ports.vm_list.fetch()
        if not isinstance(listing, VmListing):
            return
        if self.engines.update(listing):
            self.dispatcher.engines_changed()
        self.applications.update(listing)
        self.cell.observe_vms(listing)

    def _is_live(self, name: ProgramId) -> bool:
        return self.ledger.is_open(name) or self.owner.is_live(name)

    def _up_to_date(self) -> bool:
        return self.cell.has_authority() and not self.cell.log_silent()

    async def _keep_rules(self) -> None:
        await self.rules_stream.step()

    def members(self) -> frozenset[VmId]:
        """Returns the VMs of the cell."""
        sessions = self.fold.sessions.by_id.values()
        return frozenset(session.vm for session in sessions)

    def _new_session(self) -> SessionId:
        self._sessions += 1
        return SessionId(f"{self.session}.{self._sessions}")

    def _report_crash(self, fingerprint: bytes, target: TargetId) -> None:
        self._ports.logger.warning("target crashed", peer=target)
        self.cell.submit(CrashReported(fingerprint, target))

    def _quarantined(self, fingerprint: bytes) -> bool:
        return self.fold.crashes.quarantined(fingerprint)

    def _cell_size(self) -> int:
        return max(1, len(self.members()))

    def kept_from_work(
        self, target: TargetId, group: str, error_share: float
    ) -> str:
        """Returns the rule that keeps work from a target, or nothing.

        Args:
            target: The target.
            group: Its model or application group.
            error_share: Share of its recent calls that failed, 0 to 1.
        """
        line = self.rules().exclusion_line(
            target,
            group,
            at_ms=self._ports.wall_ms(),
            load=0.0,
            error_share=error_share,
        )
        if line is None:
            return ""
        return f"line {line.number}, asked for by {line.member}"


class _OwnerWatcher(PartitionWatcher):
    """Passes gained and lost partitions on to the node's owner."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        self._node.owner.gained(
            partition,
            epoch,
            program_states=program_states,
            may_miss_programs=may_miss_programs,
        )

    def lost(self, partition: PartitionId) -> None:
        self._node.owner.lost(partition)

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        return self._node.owner.quiesce(partition)
