"""What a VM knows of the targets, and shares with other VMs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ..logs import Logger
from .attempt_timeouts import AttemptTimeouts
from .decision_log import DecisionLog
from .entry_metrics import EntryMetrics
from .limit_reporter import LimitReporter
from .membership import Members
from .peer_messages import (
    ChangedLimits,
    PeerMessage,
    PeerReply,
    SlowTargets,
    Understood,
)
from .peer_rpc import PeerClient
from .permit_deciders import PermitDeciders
from .permit_messages import AskPermit
from .permit_service import PermitService
from .placement.figure_messages import ShareFigures
from .placement.figures_reporter import FiguresReporter
from .placement.placement_gauges import set_placement_gauges
from .placement.target_chooser import TargetChooser
from .slow_target_reporter import SlowTargetReporter
from .store import Store
from .stream_origin_service import StreamOriginService
from .target_announcements import TargetAnnouncements
from .target_limits import TargetLimits
from .target_table import TargetTable
from .token_ledger import HolderId
from .versions.version_register import VersionRegister
from .versions.withheld_targets import WithheldTargets

__all__ = ["TargetService"]


class TargetService:
    """Connects the table of targets, their choice and their limits.

    Args:
        holder: This VM's ID in the ledger.
        vm: Name of this VM.
        members: The VMs of the system.
        store: The store.
        peers: Calls other VMs.
        read_targets: Reads the targets; returns whether that succeeded.
        current_s: Age up to which the listing of the targets is current.
        clock: Time source.
        log: Logs decisions about requests.
        logger: Logs what other VMs report.
        metrics: Receives the gauges.
        shares_figures: Returns whether VMs tell each other the load and the
            speed of targets even before they are found to differ in speed.

    Attributes:
        table: The registered targets.
        chooser: Chooses among them.
        timeouts: Computes attempts' timeouts.
        announcements: Takes note of what targets say about themselves.
        permits: Keeps to the limits that targets name.
        stream_origins: Remembers which software versions began streams.
        version_register: Keeps in the store which versions there are.
        withheld: Knows which targets must not begin resumable streams yet.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        vm: str,
        members: Members,
        store: Store,
        peers: PeerClient,
        read_targets: Callable[[], Deferred[bool]],
        current_s: float,
        clock: Any,
        log: DecisionLog,
        logger: Logger,
        metrics: EntryMetrics,
        shares_figures: Callable[[], bool] = lambda: False,
    ) -> None:
        self._limits = TargetLimits()
        self._metrics = metrics
        self._clock = clock
        self.table = TargetTable()
        self.chooser = TargetChooser(self.table, vm=vm)
        self.timeouts = AttemptTimeouts(self.chooser.baselines)
        self.announcements = TargetAnnouncements(
            table=self.table, limits=self._limits, log=log, clock=clock
        )
        self.stream_origins = StreamOriginService(
            holder=holder,
            table=self.table,
            members=members,
            store=store,
            peers=peers,
            read_targets=read_targets,
            current_s=current_s,
            clock=clock,
            logger=logger,
        )
        self.version_register = VersionRegister(
            holder=holder,
            versions=self.stream_origins.versions,
            members=members,
            store=store,
            current_s=current_s,
            clock=clock,
            logger=logger,
        )
        self.withheld = WithheldTargets(
            self.table, self.version_register, clock
        )
        deciders = PermitDeciders(members)
        self.permits = PermitService(
            holder=holder,
            limits=self._limits,
            members=members,
            deciders=deciders,
            peers=peers,
            clock=clock,
            logger=logger,
        )
        self._limit_reporter = LimitReporter(
            holder=holder,
            limits=self._limits,
            permits=self.permits,
            members=members,
            deciders=deciders,
            peers=peers,
            clock=clock,
        )
        self._slow_target_reporter = SlowTargetReporter(
            holder=holder,
            members=members,
            peers=peers,
            chooser=self.chooser,
            clock=clock,
            logger=logger,
        )

        self._figures_reporter = FiguresReporter(
            holder=holder,
            members=members,
            peers=peers,
            chooser=self.chooser,
            enabled=lambda: shares_figures() or self.chooser.states.any_uneven,
            clock=clock,
        )

    async def send_reports(self) -> None:
        """Tells other VMs what was observed since the last reports."""
        await self._limit_reporter.send_report()
        await self._slow_target_reporter.send_report()
        await self._figures_reporter.send_report()

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> PeerReply | None:
        """Returns the reply to a peer's message about targets.

        Returns:
            None if the message is about something else.
        """
        if isinstance(message, SlowTargets):
            self._slow_target_reporter.receive_report(message)
            return Understood()
        if isinstance(message, ShareFigures):
            return self._figures_reporter.receive_report(message)
        if isinstance(message, ChangedLimits):
            self._limit_reporter.receive_report(message)
            return Understood()
        if isinstance(message, AskPermit):
            return self.permits.decide(message)
        return self.stream_origins.handle_message(message)

    def update_gauges(self) -> None:
        """Sets the gauges of the targets."""
        self._metrics.set_gauge(
            "limited_targets",
            len(self._limits.limited()),
            description="Targets that name a request limit.",
        )
        self._metrics.set_gauge(
            "withheld_targets",
            self.withheld.count(),
            description="Targets whose software version awaits its record.",
        )
        set_placement_gauges(
            self._metrics, self.chooser, self._clock.seconds()
        )
