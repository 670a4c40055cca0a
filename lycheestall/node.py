"""The components of one daemon, without network listeners."""

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
from ._owner_partition_watcher import OwnerPartitionWatcher
from .application_directory import ApplicationDirectory
from .calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
)
from .cell_agent import CellAgent
from .cell_dependencies import CellDependencies
from .cell_fold import CellFold
from .cell_session import CellIdentity
from .clock import Clock, sleep
from .counted_call import CallCounter
from .engine_directory import EngineDirectory
from .engine_dispatcher import EngineDispatcher
from .engine_poller import EnginePoller, PollAssignment
from .ids import (
    AccountId,
    Offset,
    OperatorName,
    ProgramId,
    SessionId,
    StreamName,
    TargetId,
    VmId,
)
from .ledger import Ledger
from .mesh import Mesh
from .messages import MeshMessage
from .node_dependencies import NodeDependencies
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

__all__ = ["Node", "NodeDependencies"]

VM_POLL_INTERVAL_S = 1.0
LOAD_POLL_INTERVAL_S = 0.5
CACHE_POLL_INTERVAL_S = 2.0
MEMORY_SWEEP_INTERVAL_S = 10.0
MAX_PROGRAM_ID_TRIES = 64
DRAIN_POLL_INTERVAL_S = 0.02
RULES_POLL_INTERVAL_S = 0.25
RULES_LEAVE_TIMEOUT_S = 1.0


class Node(CallHandler):
    """Connects the components of a daemon and runs their polling loops.

    Args:
        settings: This VM's settings.
        session: The session id of this run of the daemon.
        dependencies: The services and clocks that the node uses.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        session: SessionId,
        dependencies: NodeDependencies,
    ) -> None:
        self.settings = settings
        self.session = session
        self._dependencies = dependencies
        self._vm = settings.vm
        self._partitions = settings.tuning.partitions
        self._receipt_keys = [
            bytes.fromhex(key) for key in settings.receipt_keys
        ]
        self._draining = False
        self._counter = CallCounter(
            clock=dependencies.clock, metrics=dependencies.metrics
        )
        self._session_count = 0
        self._first_message_handler: (
            Callable[[VmId, MeshMessage], bool] | None
        ) = None
        self.supervisor = Supervisor(
            clock=dependencies.clock, logger=dependencies.logger
        )
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
            OwnerPartitionWatcher(lambda: self.owner),
            CellDependencies(
                clock=dependencies.clock,
                log=dependencies.log,
                mesh=dependencies.mesh,
                new_session=self._next_session_id,
            ),
            tuning=settings.tuning,
        )
        self.rules_stream = RulesStream(
            host=self.cell,
            stream=StreamName(settings.platform.rules_stream),
            session=session,
            vm=settings.vm,
            live_vms=self.members,
            clock=dependencies.clock,
            wall_ms=dependencies.wall_ms,
        )
        self.publisher = RulesPublisher(
            stream=self.rules_stream,
            clock=dependencies.clock,
            wall_ms=dependencies.wall_ms,
            new_nonce=lambda: dependencies.random.randbytes(16).hex(),
        )
        self.engines = EngineDirectory(
            factory=dependencies.target_factory.engine
        )
        self.dispatcher = EngineDispatcher(
            engines=self.engines,
            rules=self.rules,
            clock=dependencies.clock,
            wall_ms=dependencies.wall_ms,
            random=dependencies.random,
            vm=settings.vm,
            crash_reporter=self._report_crash,
            quarantined=self._quarantined,
            cell_size=self._cell_size,
            session=lambda: self.cell.session,
        )
        self.applications = ApplicationDirectory(
            factory=dependencies.target_factory.application,
            exclusion_reason=self.exclusion_reason,
        )
        self.owner = ProgramOwner(
            cell=self.cell,
            ledger=lambda: self.ledger,
            dispatcher=self.dispatcher,
            applications=self.applications,
            rules=self.rules,
            clock=dependencies.clock,
            wall_ms=dependencies.wall_ms,
            receipt_keys=self._receipt_keys,
            settings=settings.tuning,
            partitions=self._partitions,
        )
        self.router = Router(
            vm=settings.vm,
            cell=self.cell,
            mesh=dependencies.mesh,
            owner=self.owner,
            partitions=self._partitions,
            clock=dependencies.clock,
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
        """Starts the polling loops."""
        self.cell.start()
        self._poll("vm-list", self._poll_vms, VM_POLL_INTERVAL_S)
        self._poll("loads", self.polls.poll_loads, LOAD_POLL_INTERVAL_S)
        self._poll("caches", self.polls.poll_caches, CACHE_POLL_INTERVAL_S)
        self._poll(
            "memory", self.polls.reconcile_memory, MEMORY_SWEEP_INTERVAL_S
        )
        self._poll("rules", self._step_rules, RULES_POLL_INTERVAL_S)

    def _poll(self, name: str, step: PollStep, interval_s: float) -> None:
        self.supervisor.add(
            Poller(
                name,
                step,
                interval_s=interval_s,
                clock=self._dependencies.clock,
            )
        )

    def rules(self) -> IndexedRuleSet:
        """Returns the rules in force on this VM."""
        return self.rules_stream.rules

    def publish_rules(
        self, base: Offset, text: str, operator: OperatorName
    ) -> Deferred[PublishOutcome]:
        """Publishes a rule file that is based on version ``base``."""
        return ensureDeferred(self.publisher.publish(base, text, operator))

    def _issue_owned_program_id(self, account: AccountId) -> ProgramId:
        """Returns a new program id, if possible of a partition owned here.

        Saves forwarding the program's calls to another VM.
        """
        for _ in range(MAX_PROGRAM_ID_TRIES):
            program = self._issue_program_id(account)
            partition = partition_of(account, program, self._partitions)
            if self.cell.owner_of(partition) == self._vm:
                break
        return program

    def _issue_program_id(self, account: AccountId) -> ProgramId:
        return issue_program_id(
            account=account,
            issued_ms=self._dependencies.wall_ms(),
            nonce=self._dependencies.random.randbytes(NONCE_BYTES),
            key=self._receipt_keys[0],
        )

    def ready(self) -> bool:
        """Returns whether the node accepts new calls."""
        return not self._draining and self.cell.session != ""

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Runs a call and counts it in the metrics."""
        counted = self._counter.start(call, sink)
        if call.kind is CallKind.OPEN:
            call = replace(
                call, program=self._issue_owned_program_id(call.account)
            )
        counted.inner = self.router.handle(call, counted)
        return counted

    def calls_in_progress(self) -> int:
        """Returns the number of running calls from callers and peers."""
        return self._counter.open + self.router.in_progress()

    @property
    def mesh(self) -> Mesh:
        """The connections to the other daemons."""
        return self._dependencies.mesh

    @property
    def clock(self) -> Clock:
        """The node's monotonic clock."""
        return self._dependencies.clock

    def set_message_handler(
        self, handler: Callable[[VmId, MeshMessage], bool]
    ) -> None:
        """Sets the handler that gets messages before the router.

        Args:
            handler: Returns False for a message that it does not handle;
                the router then handles the message.
        """
        self._first_message_handler = handler

    def _on_message(self, peer: VmId, message: MeshMessage) -> None:
        handler = self._first_message_handler
        if handler is None or not handler(peer, message):
            self.router.on_message(peer, message)

    @property
    def draining(self) -> bool:
        """Whether the graceful shutdown has started."""
        return self._draining

    def peers(self) -> frozenset[VmId]:
        """Returns the VMs that this one is connected to."""
        return self._dependencies.mesh.connected()

    def now(self) -> float:
        """Returns the node's monotonic time in seconds."""
        return self._dependencies.clock.seconds()

    def drain(self) -> Deferred[None]:
        """Starts the graceful shutdown.

        Returns:
            Fires when the running calls have ended or the drain limit is
            reached, and the partitions are handed over.
        """
        self._draining = True
        return ensureDeferred(self._drain())

    def stop(self) -> Deferred[object]:
        """Stops the polling loops."""
        self.cell.stop()
        done: Deferred[object] = Deferred()
        self.supervisor.stop().addBoth(done.callback)
        return done

    async def _drain(self) -> None:
        end = self.now() + self.settings.tuning.drain_limit_s
        while self.calls_in_progress() and self.now() < end:
            await sleep(self._dependencies.clock, DRAIN_POLL_INTERVAL_S)
        left: Deferred[Any] = self.rules_stream.leave()
        left.addTimeout(
            RULES_LEAVE_TIMEOUT_S, cast(Any, self._dependencies.clock)
        )
        left.addErrback(lambda failure: failure.trap(TimeoutError))
        await left
        await self.cell.drain()

    async def _poll_vms(self) -> None:
        listing = await self._dependencies.vm_list.fetch()
        if not isinstance(listing, VmListing):
            return
        if self.engines.update(listing):
            self.dispatcher.engines_changed()
        self.applications.update(listing)
        self.cell.observe_vms(listing)

    def _is_live(self, name: ProgramId) -> bool:
        return self.ledger.is_open(name) or self.owner.is_live(name)

    def _up_to_date(self) -> bool:
        return self.cell.has_authority() and not self.cell.log_unresponsive()

    async def _step_rules(self) -> None:
        await self.rules_stream.step()

    def members(self) -> frozenset[VmId]:
        """Returns the VMs of the cell."""
        sessions = self.fold.sessions.by_id.values()
        return frozenset(session.vm for session in sessions)

    def _next_session_id(self) -> SessionId:
        self._session_count += 1
        return SessionId(f"{self.session}.{self._session_count}")

    def _report_crash(self, fingerprint: bytes, target: TargetId) -> None:
        self._dependencies.logger.warning("target crashed", peer=target)
        self.cell.submit(CrashReported(fingerprint, target))

    def _quarantined(self, fingerprint: bytes) -> bool:
        return self.fold.crashes.quarantined(fingerprint)

    def _cell_size(self) -> int:
        return max(1, len(self.members()))

    def exclusion_reason(
        self, target: TargetId, group: str, error_share: float
    ) -> str:
        """Returns which rule excludes a target, or an empty string.

        Args:
            target: The target.
            group: The target's model or application group.
            error_share: Share of its recent calls that failed, 0 to 1.
        """
        line = self.rules().exclusion_line(
            target,
            group,
            at_ms=self._dependencies.wall_ms(),
            load=0.0,
            error_share=error_share,
        )
        if line is None:
            return ""
        return f"line {line.number}, asked for by {line.member}"
