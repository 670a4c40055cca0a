"""An entry VM: follows the store and handles requests of callers."""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet.defer import Deferred, ensureDeferred

from ..logs import Logger
from ..polling import Poller
from ..supervisor import Supervisor
from .accounts.authenticator import Authenticator
from .accounts.keyless_store import KeylessStore
from .attempt_messages import AskLinks, SendAttempt
from .configuration import CallerLimits
from .configuration_relay import ConfigurationRelay
from .conversation_service import ConversationService
from .crashes.crash_reporter import CrashReporter
from .decision_log import DecisionContext, DecisionLog
from .entry_metrics import EntryMetrics
from .failure_detector import MEMBER_CHECK_INTERVAL_S
from .header_codec import HeaderCodec
from .link_service import LinkService
from .membership import Members
from .outage import OutageMode
from .peer_messages import PeerMessage, PeerReply
from .peer_rpc import PeerClient, RelayingPeerHandler
from .quotas.quota_messages import AskQuota, HoldQuota, ReturnQuota
from .quotas.quota_service import QuotaService
from .record_decoder import RecordDecoder
from .relay_messages import AskConfiguration
from .request_dependencies import RequestDependencies
from .request_router import RequestRouter
from .responses import Exchange, RequestHandler
from .routed_store import RoutedStore
from .shutdown.drain_window import DrainWindow
from .store import Store
from .store_health import StoreHealth
from .store_view import StoreView
from .target_service import TargetService
from .targets_reader import TargetsReader, current_s
from .token_ledger import HolderId
from .token_service import TokenService
from .turn_messages import TurnMessage
from .vm_settings import Address, EntrySettings

__all__ = ["EntryVm"]

CONFIGURATION_POLL_S = 0.05
"""Seconds between two reads of the configuration; limits the rate if the
store does not hold them as long polls."""

LEDGER_CHECK_S = 0.5
"""Seconds between checks whether a read of the ledger is due."""

VERSIONS_CHECK_S = 0.25
"""Seconds between checks whether software versions have come or gone."""

READY_WITHOUT_STORE_S = 0.7
"""Seconds without the store after which the VM is no longer ready, so that
callers use another VM."""

SURVEY_INTERVAL_S = 0.25
"""Seconds between surveys of the peers while the store is unavailable."""

TARGET_REPORT_S = 0.4
"""Seconds between reports about targets to the peers."""

LINK_CHECK_S = 0.1
"""Seconds between checks of the links to the targets."""

QUOTA_STEP_S = 0.2
"""Seconds between steps of the quotas: suspensions, leases, returns."""

HOUSEKEEPING_S = 0.5
"""Seconds between removals of expired state."""

TURN_RECORDS_S = 0.25
"""Seconds between checks whether turns are due to be recorded."""

SHARD_SWEEP_S = 60.0
"""Seconds between searches for orphaned turns, each in one shard."""

LEDGER_FRESH_S = 3.0
"""Age of the ledger up to which its members count as all there are."""


class EntryVm(RequestHandler, RelayingPeerHandler):
    """All components of an entry VM except its listeners.

    Args:
        settings: Settings of the VM.
        store: Client of the platform's store.
        peers: Client for calls to other VMs.
        headers: Parses and builds the platform's headers.
        decoder: Decodes the store's records.
        holder: ID of this VM in the ledger, unique to one start of it.
        reactor: Time source, timers and connections.
        logger: Receives the log lines, also those of decisions.
        metrics: Counts the decisions.

    Attributes:
        token_service: Token budgets.
        conversations: Conversations kept for callers.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        store: Store,
        peers: PeerClient,
        headers: HeaderCodec,
        decoder: RecordDecoder,
        holder: HolderId,
        reactor: Any,
        logger: Logger,
        metrics: EntryMetrics,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._metrics = metrics
        self._peers = peers
        self._drain_window = DrainWindow()
        self._log = DecisionLog(
            logger, metrics, context=self._observed_state, clock=reactor
        )
        keyless = KeylessStore(store, decoder.conceal_keys)
        self._store = RoutedStore(keyless, peers, reactor, logger)
        self._health = StoreHealth(
            logger,
            "ledger",
            on_recovered=self._on_ledger_recovered,
            on_unavailable=lambda: self.token_service.store_lost(),
        )
        address = Address(settings.host, settings.peers_port)
        members = Members()
        self._targets = TargetService(
            holder=holder,
            vm=settings.vm,
            members=members,
            store=self._store,
            peers=peers,
            read_targets=lambda: self._targets_reader.ask(),
            current_s=current_s(settings.drain_s),
            clock=reactor,
            log=self._log,
            logger=logger,
            metrics=metrics,
            shares_figures=lambda: self._view.configuration.has_accounts,
        )
        self._relay = ConfigurationRelay(
            address=address,
            zone=settings.zone,
            members=members,
            peers=peers,
            clock=reactor,
            logger=logger,
        )
        self._view = StoreView(
            store=self._store,
            health=StoreHealth(
                logger,
                "configuration and targets",
                on_recovered=self._on_view_recovered,
                on_unavailable=lambda: self.token_service.refresh(),
            ),
            decoder=decoder,
            table=self._targets.table,
            chooser=self._targets.chooser,
            reactor=reactor,
            logger=logger,
            relay=self._relay,
            members_known=lambda: self.token_service.loaded,
            on_restarted=lambda process: (
                self._crash_reporter.target_registered(process)
            ),
        )
        self._targets_reader = TargetsReader(
            view=self._view,
            stream_origins=self._targets.stream_origins,
            version_register=self._targets.version_register,
            drain_s=settings.drain_s,
            logger=logger,
        )
        self.token_service = TokenService(
            holder=holder,
            address=address,
            zone=settings.zone,
            members=members,
            store=self._store,
            health=self._health,
            peers=peers,
            reactor=reactor,
            logger=logger,
        )
        self.conversations = ConversationService(
            holder=holder,
            members=self.token_service.members,
            members_complete=self._members_complete,
            store=self._store,
            peers=peers,
            max_bytes=settings.conversation_bytes,
            clock=reactor,
            unix_clock=time.time,
            logger=logger,
            metrics=metrics,
        )
        self._crash_reporter = CrashReporter(
            reactor,
            table=self._targets.table,
            contact=lambda: self._links.monitor,
            report=self.token_service.writer.report_crash,
            logger=logger,
        )
        self._links = LinkService(
            holder=holder,
            settings=settings,
            members=members,
            peers=peers,
            targets=self._targets,
            pool_of=self._view.pool_of,
            headers=headers,
            clock=reactor,
            crash_reporter=self._crash_reporter,
            log=self._log,
            logger=logger,
            metrics=metrics,
            draining=lambda: self._drain_window.draining,
        )
        self._quotas = QuotaService(
            holder=holder,
            settings=settings.quotas,
            first_start=settings.first_start,
            configuration=lambda: self._view.configuration.current,
            members=members,
            peers=peers,
            clock=reactor,
            logger=logger,
            log=self._log.quotas,
        )
        dependencies = RequestDependencies(
            clock=reactor,
            headers=headers,
            chooser=self._targets.chooser,
            timeouts=self._targets.timeouts,
            permits=self._targets.permits,
            quotas=self._quotas,
            table=self._targets.table,
            link_monitor=self._links.monitor,
            relay=self._links.client,
            stream_origins=self._targets.stream_origins,
            withheld_targets=self._targets.withheld,
            announcements=self._targets.announcements,
            reservations=self.token_service.reservations,
            crash_reporter=self._crash_reporter,
            is_blocked=self.token_service.crashes.is_blocked,
            request_answered=self.token_service.writer.request_answered,
            drain_window=self._drain_window,
            pool_of=self._view.pool_of,
            log=self._log,
            conversations=self.conversations,
            max_body_bytes=lambda: self.limits().body_bytes,
            max_record_bytes=settings.store_record_bytes,
        )
        self._router = RequestRouter(
            dependencies,
            self._view.configuration,
            authenticator=Authenticator(
                self._view.configuration,
                self._view.evidence,
                revocation_timeout_s=settings.revocation_timeout_s,
            ),
            newer_configuration=self._view.newer_configuration,
            loaded=lambda: self.loaded,
            logger=logger,
        )
        self._supervisor = Supervisor(clock=reactor, logger=logger)

    @property
    def running(self) -> int:
        """Number of requests in progress, those of peers included."""
        return self._router.running + self._links.relaying

    @property
    def ready(self) -> bool:
        """Whether the VM accepts new callers."""
        if not self.loaded or self._drain_window.draining:
            return False
        return not self._lacks_store() and not self._links.isolated

    def _lacks_store(self) -> bool:
        if not self._health.unavailable:
            return False
        if self.token_service.mode is OutageMode.DECIDERS:
            return False
        now = self._reactor.seconds()
        return bool(
            now - self._health.unavailable_since > READY_WITHOUT_STORE_S
        )

    @property
    def loaded(self) -> bool:
        """Whether all state that requests need has been read."""
        if not self._targets.version_register.tried:
            return False
        return self._view.loaded and self.token_service.loaded

    def start(self) -> None:
        """Starts following the store."""
        tokens, targets = self.token_service, self._targets
        turns, reader = self.conversations, self._targets_reader
        register = targets.version_register
        pollers = (
            (
                "configuration",
                self._view.poll_configuration,
                CONFIGURATION_POLL_S,
            ),
            ("targets", reader.poll, reader.interval_s),
            ("ledger", tokens.poll, LEDGER_CHECK_S),
            ("versions", register.step, VERSIONS_CHECK_S),
            ("survey", tokens.survey, SURVEY_INTERVAL_S),
            ("ledger catch-up", tokens.catch_up, SURVEY_INTERVAL_S),
            ("target reports", targets.send_reports, TARGET_REPORT_S),
            ("member sweep", tokens.detect_failures, MEMBER_CHECK_INTERVAL_S),
            ("housekeeping", self._housekeeping, HOUSEKEEPING_S),
            ("turn records", turns.recorder.write_due, TURN_RECORDS_S),
            ("target links", self._links.check, LINK_CHECK_S),
            ("quotas", self._quotas.step, QUOTA_STEP_S),
            ("shard sweep", turns.sweep, SHARD_SWEEP_S),
        )
        for name, step, interval_s in pollers:
            self._supervisor.add(
                Poller(name, step, interval_s=interval_s, clock=self._reactor)
            )

    def drain(self, *, ends_at: float) -> None:
        """Makes the VM not ready; requests that end in time are handled.

        Args:
            ends_at: When ``end_requests`` is to be called.
        """
        self._drain_window.begin(ends_at)

    def end_requests(self) -> int:
        """Answers the requests in progress, as the process is about to end.

        Returns:
            Their number.
        """
        return self._router.end_requests()

    async def stop(self) -> None:
        """Releases unused tokens, stops the pollers, closes connections."""
        await self.token_service.leave()
        await self._supervisor.stop()
        self._peers.close()
        self._view.close()

    def limits(self) -> CallerLimits:
        """Returns the limits for callers in force."""
        return self._view.configuration.limits

    def should_close(self) -> bool:
        """Returns whether to close connections after the next response.

        While this VM is isolated from the store or the targets, its callers
        may reach another VM that is not.
        """
        if self._drain_window.draining or self._lacks_store():
            return True
        return self._links.isolated

    def handle(self, exchange: Exchange) -> None:
        """Handles one request of a caller."""
        self._router.handle(exchange)

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a message of a peer."""
        reply = self._targets.handle_message(message)
        if reply is not None:
            return reply
        if isinstance(message, AskQuota | ReturnQuota | HoldQuota):
            decided: Any = ensureDeferred(self._quotas.handle(message))
            return cast("Deferred[PeerReply]", decided)
        if isinstance(message, AskLinks):
            return self._links.report(message)
        if isinstance(message, AskConfiguration):
            relayed: Any = self._relay.answer(message)
            return cast("Deferred[PeerReply]", relayed)
        if isinstance(message, TurnMessage):
            return self.conversations.handle_message(message)
        return self.token_service.handle_message(message)

    def relay_attempt(self, message: SendAttempt, exchange: Exchange) -> None:
        """Sends an attempt for a peer that has lost its link to the target."""
        self._links.relay_attempt(message, exchange)

    def _observed_state(self) -> DecisionContext:
        now = self._reactor.seconds()
        ledger = self.token_service.follower
        state = "relayed" if self._store.relayed else self._health.state.value
        return DecisionContext(
            store=state,
            outage=self.token_service.mode.value,
            targets_age_s=now - self._view.targets_read_at,
            ledger_age_s=now - ledger.read_at,
            ledger_position=ledger.position or 0,
        )

    def _members_complete(self) -> bool:
        service = self.token_service
        age_s = self._reactor.seconds() - service.follower.read_at
        return bool(age_s < LEDGER_FRESH_S) and not service.members.crashed()

    def _on_ledger_recovered(self, now: float) -> None:
        self._targets.table.store_recovered(now)
        self.token_service.store_recovered()

    def _on_view_recovered(self, now: float) -> None:
        self._targets.table.store_recovered(now)
        self.token_service.refresh()

    async def _housekeeping(self) -> None:
        self._view.remove_expired()
        self._links.remove_expired()
        self._targets.stream_origins.tell_due()
        self.conversations.remove_expired()
        self.token_service.forget_idle()
        self._metrics.set_gauge(
            "running_requests",
            self.running,
            description="Requests in progress.",
        )
        self._metrics.set_gauge(
            "store_away",
            float(self._health.unavailable),
            description="1 if away.",
        )
        self._targets.update_gauges()
