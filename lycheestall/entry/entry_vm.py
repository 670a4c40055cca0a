"""An entry VM: follows the store and answers callers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.python.failure import Failure

from ..ids import Offset, TargetId
from ..logs import Logger
from ..polling import Poller
from ..supervisor import Supervisor
from .caller_connection import Exchange, RequestHandler
from .configuration import CallerLimits
from .configuration_state import ConfigurationState
from .connection_pool import ConnectionPool
from .crash_reports import CrashReports
from .decision_log import Beliefs, DecisionLog
from .entry_metrics import EntryMetrics
from .header_codec import HeaderCodec, InvalidRequest
from .ledger_writer import LedgerWriter
from .members import Member, Members, announcement, departure
from .outage import Outage, OutageMode
from .outage_books import OutageBooks
from .peer_link import PeerCaller, PeerHandler
from .peer_messages import (
    AskTokens,
    Handover,
    PeerMessage,
    PeerReply,
    RelayAppend,
    RelayNewest,
    RelayRead,
    SettleTokens,
    Survey,
    TokenAnswer,
    Understood,
)
from .record_codec import RecordCodec, UnreadableRecord
from .request_facts import RequestFacts
from .request_run import RequestRun, RunParts
from .routed_store import RoutedStore
from .store import KeyedRecord, Store, Topic
from .store_health import StoreHealth
from .surveyor import Surveyor
from .target_chooser import TargetChooser
from .target_table import TargetEntry, TargetTable
from .token_books import TokenBooks, TurnId
from .token_ledger import HolderId, TokenLedger
from .topic_follower import TopicFollower
from .turn_tokens import TurnTokens
from .vm_settings import Address, EntrySettings

__all__ = ["EntryVm"]

CONFIGURATION_WAIT_S = 2.0
"""How long the store may hold a read of the configuration; bounds how
long a silent connection goes unnoticed."""

CONFIGURATION_PAUSE_S = 0.05
"""Seconds between two of these reads, in case the store does not hold
them."""

TARGETS_POLL_SHARE = 0.3
"""Part of the time in which a leaving target must get no more work that
may pass between two reads of the targets. A read that waits would end at
every registration of any target."""

LEDGER_POLL_S = 1.5
"""Seconds between two reads of the ledger where no write brings one."""

LEDGER_LOOK_S = 0.5
"""Seconds between looks at whether such a read is due."""

RETRY_S = 0.2
"""Seconds between reads while the store fails."""

READY_WITHOUT_STORE_S = 0.7
"""Seconds without the store after which callers should go elsewhere."""

SURVEY_S = 0.25
"""Seconds between surveys of the peers while the store is away."""

HOUSEKEEPING_S = 0.5
"""Seconds between looks at what has lapsed."""

LOST_GRANTS_S = 60.0
"""Seconds after VMs were killed in which programs may still be running
whose grants were lost with them."""

CRASHES_THAT_LOSE_GRANTS = 2
"""VMs killed together that may lose a grant: the one that ran the turn
and the one that decided on it."""

OTHERS_BACK_S = 2.0
"""Seconds in which VMs that were killed together are back."""

HANDOVER_TIMEOUT_S = 0.4
"""Longest time for a peer to take over what this VM decides."""

CONNECT_TIMEOUT_S = 0.5
"""Longest time for a connection to a target."""


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
        records: RecordCodec,
        holder: HolderId,
        reactor: Any,
        logger: Logger,
        metrics: EntryMetrics,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._headers = headers
        self._records = records
        self._reactor = reactor
        self._logger = logger
        self._metrics = metrics
        self._log = DecisionLog(
            logger, metrics, beliefs=self._beliefs, clock=reactor
        )
        self._draining = False
        self._handed_over = False
        self._turns = 0
        self.running = 0
        self._pool_by_target: dict[tuple[TargetId, int], ConnectionPool] = {}
        self._table = TargetTable()
        self._table_revision = 0
        self._chooser = TargetChooser(self._table, settings.zone)
        self._configuration = ConfigurationState(logger)
        self._crashes = CrashReports(holder)
        self._ledger = TokenLedger()
        self._members = Members()
        self._outage = Outage(holder)
        self._outage_books = OutageBooks(self._ledger)
        self._store = RoutedStore(store, peers, reactor, logger)
        self._health = StoreHealth(logger, self._store_returned)
        self._books = TokenBooks(
            holder, self._ledger, doubtful=self._grants_may_be_lost
        )
        self._followers = {
            Topic.CONFIGURATION: self._follower(
                Topic.CONFIGURATION, self._take_configuration
            ),
            Topic.TARGETS: self._follower(
                Topic.TARGETS, self._take_target, self._listed
            ),
            Topic.LEDGER: self._follower(Topic.LEDGER, self._take_ledger),
        }
        self._writer = LedgerWriter(
            store=self._store,
            follower=self._followers[Topic.LEDGER],
            books=self._books,
            crashes=self._crashes,
            holder=holder,
            clock=reactor,
            health=self._health,
            logger=logger,
            hold_off=lambda: self._outage.settling(reactor.seconds()),
        )
        self._tokens = TurnTokens(
            holder=holder,
            writer=self._writer,
            books=self._books,
            ledger=self._ledger,
            outage=self._outage,
            outage_books=self._outage_books,
            members=self._members,
            peers=peers,
            clock=reactor,
            logger=logger,
        )
        self._surveyor = Surveyor(
            holder=holder,
            zone=settings.zone,
            store=self._store,
            members=self._members,
            outage=self._outage,
            peers=peers,
            clock=reactor,
            logger=logger,
            position=self._configuration_position,
        )
        self._peers = peers
        self._announced = False
        self._loaded_at = float("-inf")
        self._parts = RunParts(
            clock=reactor,
            headers=headers,
            chooser=self._chooser,
            table=self._table,
            tokens=self._tokens,
            crashed=self._writer.crashed,
            refused=self._crashes.refused,
            pool_of=self._pool_of,
            log=self._log,
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
        now = self._reactor.seconds()
        if self._outage.mode(now) is OutageMode.DECIDERS:
            return False
        return bool(now - self._health.away_since > READY_WITHOUT_STORE_S)

    @property
    def loaded(self) -> bool:
        """Whether everything that requests need has been read."""
        if self._configuration.current is None:
            return False
        return all(f.loaded for f in self._followers.values())

    def start(self) -> None:
        """Starts following the store."""
        targets_poll_s = self._settings.drain_s * TARGETS_POLL_SHARE
        pollers = (
            ("configuration", self._poll_configuration, CONFIGURATION_PAUSE_S),
            ("targets", self._poll_targets, targets_poll_s),
            ("ledger", self._poll_ledger, LEDGER_LOOK_S),
            ("survey", self._surveyor.step, SURVEY_S),
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
        await self._hand_over()
        self._writer.announce(departure(self._holder))
        await self._writer.flush()
        await self._supervisor.stop()
        self._peers.close()
        for pool in self._pool_by_target.values():
            pool.close()

    def limits(self) -> CallerLimits:
        """Returns the bounds on callers in force."""
        return self._configuration.limits

    def closing(self) -> bool:
        """Returns whether connections end after their next answer.

        Callers of a VM without the store may find one that has it.
        """
        return self._draining or self._cut_off()

    def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        facts = self._headers.request_facts(request)
        version = self._configuration.version
        if isinstance(facts, InvalidRequest):
            exchange.refuse(400, facts.reason)
            self._log.refused(
                "", status=400, version=version, reason=facts.reason
            )
            return
        if not self.loaded:
            self._refuse(exchange, facts, 503, "not ready yet", 0.5)
            return
        route = self._configuration.routes.find(facts.host, request.path)
        if route is None:
            self._refuse(exchange, facts, 404, "no route")
            return
        configuration = self._configuration.current
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
            version=self._configuration.version,
            reason=reason,
        )

    def answer(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Answers a message of a peer."""
        if isinstance(message, Survey):
            return self._surveyor.report()
        if isinstance(message, AskTokens):
            if self._handed_over:
                return TokenAnswer(granted=False, spent=False)
            return self._tokens.decide(message)
        if isinstance(message, SettleTokens):
            self._tokens.settled(message)
            return Understood()
        if isinstance(message, Handover):
            self._outage.handed_over(message.holder)
            self._outage_books.take_over(message.grants)
            return Understood()
        relayed: Deferred[PeerReply] = self._relayed(message)
        return relayed

    def _relayed(self, message: PeerMessage | PeerReply) -> Any:
        store = self._store.direct
        if isinstance(message, RelayAppend):
            return store.append(message.topic, message.writes, message.fence)
        if isinstance(message, RelayRead):
            return store.read(
                message.topic, message.start, wait_s=message.wait_s
            )
        if isinstance(message, RelayNewest):
            return store.newest(message.topic, after=message.after)
        raise ValueError(f"unexpected message {type(message).__name__}")

    async def _hand_over(self) -> None:
        self._handed_over = True
        grants = tuple(self._outage_books.grants())
        message = Handover(self._holder, grants)
        calls = [
            self._peers.call(
                member.address, message, timeout_s=HANDOVER_TIMEOUT_S
            )
            for member in self._members.all()
            if member.holder != self._holder
        ]
        await DeferredList(calls, consumeErrors=True)

    def _configuration_position(self) -> Offset:
        return self._followers[Topic.CONFIGURATION].position or Offset(0)

    def _beliefs(self) -> Beliefs:
        now = self._reactor.seconds()
        ledger = self._followers[Topic.LEDGER]
        targets = self._followers[Topic.TARGETS]
        way = "relayed" if self._store.relayed else self._health.state.value
        return Beliefs(
            store=way,
            outage=self._outage.mode(now).value,
            targets_age_s=now - targets.read_at,
            ledger_age_s=now - ledger.read_at,
            ledger_position=ledger.position or 0,
        )

    def _store_returned(self, now: float) -> None:
        self._table.store_returned(now)
        position = self._followers[Topic.LEDGER].position
        self._tokens.outage_ended(position or Offset(0))

    def _follower(
        self,
        topic: Topic,
        apply: Callable[[KeyedRecord], None],
        listed: Callable[[set[bytes]], None] | None = None,
    ) -> TopicFollower:
        return TopicFollower(
            self._store,
            topic,
            clock=self._reactor,
            health=self._health,
            apply=apply,
            listed=listed,
        )

    async def _poll_configuration(self) -> None:
        follower = self._followers[Topic.CONFIGURATION]
        if not await follower.read(wait_s=CONFIGURATION_WAIT_S):
            await self._pause(RETRY_S)

    async def _poll_targets(self) -> None:
        await self._followers[Topic.TARGETS].read()

    async def _poll_ledger(self) -> None:
        follower = self._followers[Topic.LEDGER]
        if self._reactor.seconds() - follower.read_at < LEDGER_POLL_S:
            return
        await follower.read()
        if follower.loaded and not self._announced:
            self._announced = True
            settings = self._settings
            address = Address(settings.host, settings.peers_port)
            member = Member(self._holder, address, settings.zone)
            self._writer.announce(announcement(member))
            self._loaded_at = self._reactor.seconds()
            self._reactor.callLater(LOST_GRANTS_S, self._clear_crashed)

    def _grants_may_be_lost(self) -> bool:
        crashed = len(self._members.crashed())
        if crashed >= CRASHES_THAT_LOSE_GRANTS:
            return True
        # Other VMs that were killed as well may not be back yet.
        age_s = self._reactor.seconds() - self._loaded_at
        return crashed > 0 and age_s < OTHERS_BACK_S

    def _clear_crashed(self) -> None:
        address = Address(self._settings.host, self._settings.peers_port)
        for holder in self._members.crashed():
            member = self._members.get(holder)
            if member is not None and member.address == address:
                self._writer.announce(departure(holder))

    async def _housekeeping(self) -> None:
        now = self._reactor.seconds()
        for target in self._table.expire_lapsed(now):
            self._logger.info("target gone", target=target, lapsed=True)
        self._books.forget_idle(now)
        self._metrics.set(
            "running_requests", self.running, text="Requests in progress."
        )
        self._metrics.set(
            "store_away", float(self._health.away), text="1 if away."
        )
        if self._table.revision != self._table_revision:
            self._table_revision = self._table.revision
            self._drop_pools()

    def _pause(self, delay_s: float) -> Any:
        from ..clock import sleep

        return sleep(self._reactor, delay_s)

    def _take_configuration(self, record: KeyedRecord) -> None:
        if not self._records.is_configuration(record.key):
            return
        if record.value is None:
            return
        decoded = self._records.configuration(record.value)
        if isinstance(decoded, UnreadableRecord):
            self._logger.error(
                "configuration unreadable",
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        self._configuration.offer(decoded)

    def _take_target(self, record: KeyedRecord) -> None:
        target = TargetId(record.key.decode("utf-8", "replace"))
        now = self._reactor.seconds()
        if record.value is None:
            if self._table.remove(target, now):
                self._logger.info(
                    "target gone", target=target, offset=record.offset
                )
            return
        decoded = self._records.target(target, record.value)
        if isinstance(decoded, UnreadableRecord):
            self._logger.warning(
                "target record unreadable",
                target=target,
                offset=record.offset,
                reason=decoded.reason,
            )
            return
        self._register(decoded, record)

    def _register(self, entry: TargetEntry, record: KeyedRecord) -> None:
        known = self._table.get(entry.target)
        if known is not None and known.started_ms > entry.started_ms:
            return
        if not self._table.register(entry):
            return
        self._logger.info(
            "target registered",
            target=entry.target,
            service=entry.service,
            draining=entry.draining,
            started_ms=entry.started_ms,
            offset=record.offset,
        )
        if known is None or known.started_ms != entry.started_ms:
            self._chooser.forget(entry.target)

    def _listed(self, keys: set[bytes]) -> None:
        targets = {TargetId(key.decode("utf-8", "replace")) for key in keys}
        self._table.keep_only(targets, self._reactor.seconds())

    def _take_ledger(self, record: KeyedRecord) -> None:
        grant = self._ledger.apply(record)
        if grant is None:
            if not self._members.apply(record):
                self._crashes.apply(record)
        elif grant.holder != self._holder:
            self._books.others_recorded(grant.program, self._reactor.seconds())
            self._writer.wake()

    def _pool_of(self, entry: TargetEntry) -> ConnectionPool:
        key = (entry.target, entry.started_ms)
        pool = self._pool_by_target.get(key)
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                entry.host,
                entry.port,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            self._pool_by_target[key] = pool
        return pool

    def _drop_pools(self) -> None:
        for key in list(self._pool_by_target):
            entry = self._table.get(key[0])
            if entry is not None and entry.started_ms == key[1]:
                continue
            self._pool_by_target.pop(key).close()
