"""The VM's links to the targets, and the way through peers without them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..logs import Logger
from .attempt_messages import AskLinks, LinkReport, SendAttempt
from .attempt_relay import AttemptRelay
from .connection_pool import ConnectionPool
from .crashes.crash_reporter import CrashReporter
from .decision_log import DecisionLog
from .entry_metrics import EntryMetrics
from .header_codec import HeaderCodec
from .link_monitor import LinkMonitor
from .membership import Members
from .peer_rpc import PeerClient
from .relay_client import RelayClient
from .responses import Exchange
from .target_service import TargetService
from .target_table import TargetRegistration
from .token_ledger import HolderId
from .vm_settings import EntrySettings

__all__ = ["LinkService"]


class LinkService:
    """Puts together the watching of links and both ends of relaying.

    Args:
        holder: This VM's ID in the ledger.
        settings: Settings of this VM.
        members: The VMs of the system.
        peers: Calls them.
        targets: What is known of the targets.
        pool_of: Returns the connection pool of a target.
        headers: Parses and writes headers.
        crash_reporter: Reports requests that crash targets.
        clock: Time source.
        log: Logs decisions about requests.
        logger: Logs what concerns no request.
        metrics: Receives the gauges.
        draining: Returns whether this VM is shutting down.

    Attributes:
        monitor: Knows which targets this VM reaches itself.
        client: Has attempts sent by peers that reach others.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        settings: EntrySettings,
        members: Members,
        peers: PeerClient,
        targets: TargetService,
        pool_of: Callable[[TargetRegistration], ConnectionPool],
        headers: HeaderCodec,
        crash_reporter: CrashReporter,
        clock: Any,
        log: DecisionLog,
        logger: Logger,
        metrics: EntryMetrics,
        draining: Callable[[], bool],
    ) -> None:
        self.monitor = LinkMonitor(
            table=targets.table,
            pool_of=pool_of,
            clock=clock,
            logger=logger,
            metrics=metrics,
        )
        self.client = RelayClient(
            holder=holder,
            settings=settings,
            members=members,
            peers=peers,
            links=self.monitor.links,
            headers=headers,
            clock=clock,
        )
        self._relay = AttemptRelay(
            holder=holder,
            table=targets.table,
            chooser=targets.chooser,
            monitor=self.monitor,
            announcements=targets.announcements,
            headers=headers,
            crash_reporter=crash_reporter,
            pool_of=pool_of,
            clock=clock,
            log=log,
            logger=logger,
            draining=draining,
        )

    @property
    def relaying(self) -> int:
        """Number of attempts that this VM is sending for peers."""
        return self._relay.running

    @property
    def isolated(self) -> bool:
        """Whether neither this VM nor a peer is known to reach any target."""
        return self.client.isolated

    async def check(self) -> None:
        """Probes links in doubt, and surveys peers while some are lost."""
        summary = self.monitor.check()
        if summary.all_lost or summary.lost:
            await self.client.survey()

    def report(self, message: AskLinks) -> LinkReport:
        """Returns which targets this VM reaches."""
        return self._relay.report(message)

    def relay_attempt(self, message: SendAttempt, exchange: Exchange) -> None:
        """Sends an attempt for a peer."""
        self._relay.handle(message, exchange)

    def remove_expired(self) -> None:
        """Forgets targets that are no longer registered."""
        self.monitor.remove_expired()
