"""An entry VM: follows the store and answers callers."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..logs import Logger
from ..polling import Poller
from ..supervisor import Supervisor
from .attempt_timeouts import AttemptTimeouts
from .configuration import CallerLimits
from .decision_log import Beliefs, DecisionLog
from .entry_metrics import EntryMetrics
from .exchange import Exchange, RequestHandler
from .header_codec import HeaderCodec, InvalidRequest
from .member_sweep import SWEEP_S
from .outage import OutageMode
from .peer_link import PeerCaller, PeerHandler
from .peer_messages import PeerMessage, PeerReply, SlowTargets, Understood
from .record_decoder import RecordDecoder
from .request_facts import RequestFacts
from .request_run import RequestRun
from .routed_store import RoutedStore
from .run_parts import RunParts
from .slow_target_reporter import SlowTargetReporter
from .store import Store
from .store_health import StoreHealth
from .store_view import StoreView
from .target_chooser import TargetChooser
from .target_table import TargetTable
from .token_books import TurnId
from .token_ledger import HolderId
from .token_service import TokenService
from .vm_settings import Address, EntrySettings

__all__ = ["EntryVm"]

CONFIGURATION_PAUSE_S = 0.05
"""Seconds between two reads of the configuration, in case the store does
not hold them."""

TARGETS_POLL_SHARE = 0.3
"""Part of the time in which a leaving target must get no more work that
may pass between two reads of the targets. A read that waits would end at
every registration of any target."""

LEDGER_LOOK_S = 0.5
"""Seconds between looks at whether a read of the ledger is due."""

READY_WITHOUT_STORE_S = 0.7
"""Seconds without the store after which callers should go elsewhere."""

SURVEY_S = 0.25
"""Seconds between surveys of the peers while the store is away."""

NEWS_S = 0.4
"""Seconds between messages about slow targets."""

HOUSEKEEPING_S = 0.5
"""Seconds between looks at what has lapsed."""


class EntryVm(RequestHandler, PeerHandler):
    """Everything of an entry VM but its listeners.

    Args:
        settings: The VM's settings.
        store: The platform's store.
        peers: Calls other VMs.
        headers: Reads and writes headers.
        records: Decodes the store's records.
        holder: This life of the VM, unique.
        reactor: Times, connects.
        logger: Where decisions go.
        metrics: Counts them.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        store: Store,
        peers: PeerCaller,
        headers: HeaderCodec,
        records: RecordDecoder,
        holder: HolderId,
        reactor: Any,
        logger: Logger,
        metrics: EntryMetrics,
    ) -> None:
        self._settings = settings
        self._headers = headers
        self._reactor = reactor
        self._logger = logger
        self._metrics = metrics
        self._peers = peers
        self._draining = False
        self._turns = 0
        self.running = 0
        self._log = DecisionLog(
            logger, metrics, beliefs=self._beliefs, clock=reactor
        )
        self._table = TargetTable()
        chooser = TargetChooser(self._table)
        self._store = RoutedStore(store, peers, reactor, logger)
        self._health = StoreHealth(
            logger, "ledger", returned=self._ledger_returned
        )
        self._view = StoreView(
            store=self._store,
            health=StoreHealth(
                logger,
                "configuration and targets",
                returned=self._view_returned,
                lost=lambda: self.tokens.look(),
            ),
            records=records,
            table=self._table,
            chooser=chooser,
            reactor=reactor,
            logger=logger,
        )
        self.tokens = TokenService(
            holder=holder,
            address=Address(settings.host, settings.peers_port),
            zone=settings.zone,
            store=self._store,
            health=self._health,
            peers=peers,
            reactor=reactor,
            logger=logger,
        )
        self._parts = RunParts(
            clock=reactor,
            headers=headers,
            chooser=chooser,
            timeouts=AttemptTimeouts(chooser.kinds),
            table=self._table,
            tokens=self.tokens.turns,
            crashed=self.tokens.writer.crashed,
            refused=self.tokens.crashes.refused,
            pool_of=self._view.pool_of,
            log=self._log,
        )
        self._news = SlowTargetReporter(
            holder=holder,
            members=self.tokens.members,
            peers=peers,
            chooser=chooser,
            clock=reactor,
            logger=logger,
        )
        self._supervisor = Supervisor(clock=reactor, logger=logger)

    @property
    def ready(self) -> bool:
        """Whether new callers should be sent here."""
        if not self.loaded or self._draining:
            return False
        return not self._cut_off()

    def _cut_off(self) -> bool:
        if not self._health.away:
            return False
        if self.tokens.mode is OutageMode.DECIDERS:
            return False
        now = self._reactor.seconds()
        return bool(now - self._health.away_since > READY_WITHOUT_STORE_S)

    @property
    def loaded(self) -> bool:
        """Whether everything that requests need has been read."""
        return self._view.loaded and self.tokens.loaded

    def start(self) -> None:
        """Starts following the store."""
        targets_poll_s = self._settings.drain_s * TARGETS_POLL_SHARE
        pollers = (
            (
                "configuration",
                self._view.poll_configuration,
                CONFIGURATION_PAUSE_S,
            ),
            ("targets", self._view.poll_targets, targets_poll_s),
            ("ledger", self.tokens.poll, LEDGER_LOOK_S),
            ("survey", self.tokens.survey, SURVEY_S),
            ("target news", self._news.step, NEWS_S),
            ("member sweep", self.tokens.sweep, SWEEP_S),
            ("housekeeping", self._housekeeping, HOUSEKEEPING_S),
        )
        for name, step, interval_s in pollers:
            self._supervisor.add(
                Poller(name, step, interval_s=interval_s, clock=self._reactor)
            )

    def drain(self) -> None:
        """Stops being ready; requests are still answered."""
        self._draining = True

    async def stop(self) -> None:
        """Gives held tokens back and ends the loops."""
        await self.tokens.leave()
        await self._supervisor.stop()
        self._peers.close()
        self._view.close()

    def limits(self) -> CallerLimits:
        """Returns the bounds on callers in force."""
        return self._view.configuration.limits

    def closing(self) -> bool:
        """Returns whether connections end after their next answer.

        Callers of a VM without the store may find one that has it.
        """
        return self._draining or self._cut_off()

    def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        facts = self._headers.request_facts(request)
        version = self._view.configuration.version
        if isinstance(facts, InvalidRequest):
            exchange.refuse(400, facts.reason)
            self._log.refused(
                "", status=400, version=version, reason=facts.reason
            )
            return
        if not self.loaded:
            self._refuse(exchange, facts, 503, "not ready yet", 0.5)
            return
        route = self._view.configuration.routes.find(facts.host, request.path)
        if route is None:
            self._refuse(exchange, facts, 404, "no route")
            return
        configuration = self._view.configuration.current
        assert configuration is not None
        key = facts.line.encode() or facts.attempt
        service = route.service_for(key)
        self._turns += 1
        run = RequestRun(
            self._parts,
            exchange,
            facts,
            route,
            configuration.service_by_id.get(service),
            service,
            version=version,
            turn=TurnId(self._turns),
        )
        self.running += 1
        done = ensureDeferred(run.run())
        done.addErrback(self._run_failed, facts)
        done.addCallback(self._run_ended)

    def answer(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Answers a message of a peer."""
        if isinstance(message, SlowTargets):
            self._news.heard(message)
            return Understood()
        return self.tokens.answer(message)

    def _run_ended(self, _: object) -> None:
        self.running -= 1

    def _run_failed(self, failure: Failure, facts: RequestFacts) -> None:
        self._logger.error(
            "request failed inside",
            request=facts.attempt.decode("latin-1"),
            error=failure.getTraceback(),
        )

    def _refuse(
        self,
        exchange: Exchange,
        facts: RequestFacts,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        exchange.refuse(status, reason, retry_after_s=retry_after_s)
        self._log.refused(
            facts.attempt.decode("latin-1"),
            status=status,
            version=self._view.configuration.version,
            reason=reason,
        )

    def _beliefs(self) -> Beliefs:
        now = self._reactor.seconds()
        ledger = self.tokens.follower
        way = "relayed" if self._store.relayed else self._health.state.value
        return Beliefs(
            store=way,
            outage=self.tokens.mode.value,
            targets_age_s=now - self._view.targets_read_at,
            ledger_age_s=now - ledger.read_at,
            ledger_position=ledger.position or 0,
        )

    def _ledger_returned(self, now: float) -> None:
        self._table.store_returned(now)
        self.tokens.store_returned()

    def _view_returned(self, now: float) -> None:
        self._table.store_returned(now)
        self.tokens.look()

    async def _housekeeping(self) -> None:
        self._view.forget_gone()
        self.tokens.forget_idle()
        self._metrics.set(
            "running_requests", self.running, text="Requests in progress."
        )
        self._metrics.set(
            "store_away", float(self._health.away), text="1 if away."
        )
