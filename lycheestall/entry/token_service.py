"""Token budgets on one entry VM, with and without the store."""

from __future__ import annotations

from typing import Any, cast

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..ids import Offset, ZoneId
from ..logs import Logger
from .crashes.crash_reports import CrashReports
from .failure_detector import FailureDetector
from .grant_recorder import GrantRecorder
from .ledger_catch_up import LedgerCatchUp
from .ledger_messages import AskLedger, AskPosition, LedgerTail, ReadLedger
from .ledger_writer import LedgerWriter
from .membership import Members
from .outage import OutageMode, OutageTracker
from .outage_allocator import OutageAllocator
from .outages.grant_handover import GrantHandover
from .outages.ledger_gap import LastReads
from .outages.ledger_readers import LedgerReaders
from .outages.member_records import MemberRecords
from .outages.outage_start import OutageStart
from .outages.settled_groups import SettledGroups
from .outages.unread_growth import UnreadGrowth
from .peer_messages import (
    AskGranted,
    AskSettled,
    AskTokens,
    AskUnrecorded,
    GrantedTokens,
    Handover,
    HandoverGrants,
    HoldGrant,
    PeerMessage,
    PeerReply,
    SettleTokens,
    Survey,
    TokenAnswer,
    Understood,
)
from .peer_rpc import PeerClient, PeerHandler
from .peer_survey import PeerSurvey
from .routed_store import RoutedStore
from .store import KeyedRecord, Topic
from .store_health import StoreHealth
from .token_allocator import TokenAllocator
from .token_ledger import HolderId, TokenLedger
from .topic_follower import TopicFollower
from .turn_reservations import TurnReservations
from .unrecorded_grants import UnrecordedGrants
from .vm_settings import Address

__all__ = ["TokenService"]

LEDGER_POLL_S = 1.5
"""Seconds after the last read of the ledger at which it is read again;
writes read it as well."""


class TokenService(PeerHandler):
    """Connects the ledger, the allocators, the outage tracker and the peers.

    Args:
        holder: Identifies this run of the VM's process; unique.
        address: Where peers reach this VM.
        zone: Its availability zone.
        members: Receives the VMs of the system.
        store: The store, reached directly or through a peer.
        health: Records the outcomes of store calls.
        peers: Calls other VMs.
        reactor: Provides the time and timers.
        logger: Receives decisions.

    Attributes:
        members: The VMs of the system.
        ledger: Allocations of all VMs.
        follower: Reads the ledger.
        reservations: Reserves and settles the tokens of turns.
        crashes: Requests that crash their targets.
        writer: Writes to the ledger.
        outage: Tracks outages of the store.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        address: Address,
        zone: ZoneId,
        members: Members,
        store: RoutedStore,
        health: StoreHealth,
        peers: PeerClient,
        reactor: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._store = store
        self._peers = peers
        self._reactor = reactor
        self._refreshing = False
        self._logger = logger
        self._joined = False
        self.members = members
        self.ledger = TokenLedger()
        self.crashes = CrashReports(reactor)
        self.outage = OutageTracker(holder)
        self._grants = UnrecordedGrants(self.ledger)
        self._catch_up = LedgerCatchUp(
            holder=holder,
            ledger=self.ledger,
            grants=self._grants,
            members=members,
            peers=peers,
            position=self._position,
            reads=LastReads(
                read_at=lambda: self.follower.read_at,
                failing_since=lambda: (
                    health.failing_since
                    if health.unavailable
                    else reactor.seconds()
                ),
            ),
            store_unavailable=self._writes_fail,
            clock=reactor,
            logger=logger,
        )
        self._allocator = TokenAllocator(holder, self.ledger, self._grants)
        self.follower = TopicFollower(
            store,
            Topic.LEDGER,
            clock=reactor,
            health=health,
            apply=self._apply,
        )
        self._readers = LedgerReaders(
            holder=holder,
            members=members,
            peers=peers,
            follower=self.follower,
            clock=reactor,
        )
        self.writer = LedgerWriter(
            store=store,
            follower=self.follower,
            allocator=self._allocator,
            crashes=self.crashes,
            holder=holder,
            clock=reactor,
            health=health,
            logger=logger,
            recovering=lambda: self.outage.recovering(reactor.seconds()),
            grants_known=lambda program: self.reservations.grants_known(
                program
            ),
            may_use=UnreadGrowth(
                allocator=self._allocator,
                readers=self._readers,
                clock=reactor,
            ).may_use,
        )
        self._settled = SettledGroups(
            holder=holder,
            outage=self.outage,
            members=members,
            peers=peers,
            clock=reactor,
        )
        self.reservations = TurnReservations(
            holder=holder,
            writer=self.writer,
            allocator=self._allocator,
            ledger=self.ledger,
            outage=self.outage,
            outage_allocator=OutageAllocator(
                self.ledger,
                self._grants,
                ledger_gap=lambda: self._catch_up.gap,
                may_have_lost_grants=self.members.may_have_lost_grants,
            ),
            grants=self._grants,
            settled=self._settled,
            catch_up=self._catch_up,
            members=self.members,
            peers=peers,
            clock=reactor,
            logger=logger,
        )
        self._grant_recorder = GrantRecorder(
            holder=holder,
            grants=self._grants,
            allocator=self._allocator,
            writer=self.writer,
            follower=self.follower,
            members=self.members,
            outage=self.outage,
            clock=reactor,
            logger=logger,
        )
        self._peer_survey = PeerSurvey(
            holder=holder,
            zone=zone,
            store=store,
            members=self.members,
            outage=self.outage,
            peers=peers,
            clock=reactor,
            logger=logger,
            position=self._position,
            store_unavailable=lambda: health.unavailable,
        )
        self._member_records = MemberRecords(
            holder=holder,
            address=address,
            zone=zone,
            members=members,
            writer=self.writer,
            clock=reactor,
        )
        self._handover = GrantHandover(
            holder=holder,
            members=members,
            grants=self._grants,
            outage=self.outage,
            records=self._member_records,
            peers=peers,
            clock=reactor,
        )
        self._outage_start = OutageStart(
            store=store,
            survey=self._peer_survey,
            catch_up=self._catch_up,
            outage=self.outage,
            refresh=self.refresh,
            store_unavailable=lambda: health.unavailable,
            position=self._position,
            clock=reactor,
            logger=logger,
        )
        self._failure_detector = FailureDetector(
            holder=holder,
            members=self.members,
            peers=peers,
            logger=logger,
        )

    @property
    def loaded(self) -> bool:
        """Whether the ledger has been read."""
        return self.follower.loaded

    @property
    def mode(self) -> OutageMode:
        """What this VM may decide without the store now."""
        return self.outage.mode(self._reactor.seconds())

    async def poll(self) -> None:
        """Reads the ledger if due; joins the members after the first read."""
        follower = self.follower
        if self._reactor.seconds() - follower.read_at >= LEDGER_POLL_S:
            await follower.read()
        if follower.loaded and not self._joined:
            self._join()

    def refresh(self) -> None:
        """Reads the ledger now, because something hints at a change."""
        if self._refreshing:
            return
        self._refreshing = True
        read = ensureDeferred(self.follower.read())
        read.addCallbacks(self._refreshed, self._refresh_failed)

    async def survey(self) -> None:
        """Looks for a peer that reaches the store while this VM doesn't.

        While this VM reaches it, records what others have left unrecorded.
        """
        self.reservations.step()
        await self._peer_survey.step()
        reached = self._store.direct_up and not self.writer.store_unavailable
        if self.outage.participated and reached:
            # No call failed here, but a peer was told of a failure.
            self._end_outage()
        await self._grant_recorder.step()

    async def catch_up(self) -> None:
        """Collects what other VMs have read of the ledger, in an outage."""
        await self._catch_up.step()

    async def detect_failures(self) -> None:
        """Removes a failed member from the ledger."""
        if not self._store.direct_up:
            return
        self._member_records.forget_lost()
        failed = await self._failure_detector.step()
        if failed is not None:
            self._member_records.remove_failed(
                failed,
                left_grants=not self._settled.vouches_for_member(failed),
            )

    def forget_idle(self) -> None:
        """Evicts programs that had no turns for a while."""
        self._allocator.forget_idle(self._reactor.seconds())

    def store_lost(self) -> None:
        """Agrees with the peers on an outage, since a call has failed."""
        if self.follower.loaded:
            self._outage_start.begin()

    def store_recovered(self) -> None:
        """Ends the outage, since the store is available again."""
        self._end_outage()

    async def leave(self) -> None:
        """Hands over this VM's grants and writes its last records."""
        await self._handover.hand_over()
        self._member_records.remove(self._holder)
        await self.writer.flush()

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a message of a peer."""
        if isinstance(message, Survey):
            self._catch_up.note_vm(message.holder)
            return self._peer_survey.report(message)
        if isinstance(message, AskTokens):
            if self._handover.handed_over:
                return TokenAnswer(granted=False, spent=False)
            answer: Any = self.reservations.decide(message)
            return cast("Deferred[PeerReply]", answer)
        if isinstance(message, AskGranted):
            if self._handover.handed_over:
                return GrantedTokens(known=False, tokens=0)
            return self.reservations.report_grants(message)
        if isinstance(message, AskLedger):
            return self._reply_ledger(message)
        if isinstance(message, AskPosition):
            return ensureDeferred(self._outage_start.reply_position(message))
        if isinstance(message, ReadLedger):
            return ensureDeferred(self._readers.read(message))
        if isinstance(message, AskSettled):
            return self._settled.reply(message)
        if isinstance(message, AskUnrecorded):
            return self.reservations.report_unrecorded(message)
        if isinstance(message, SettleTokens):
            self.reservations.settle_for_peer(message)
            return Understood()
        if isinstance(message, HoldGrant):
            self._grants.add(message.grant, now=self._reactor.seconds())
            return Understood()
        if isinstance(message, HandoverGrants):
            self._handover.take_grants(message)
            return Understood()
        if isinstance(message, Handover):
            self._handover.take_over(message)
            return Understood()
        relayed: Deferred[PeerReply] = self._store.call_for_peer(message)
        return relayed

    def _reply_ledger(self, message: AskLedger) -> LedgerTail:
        tail = self._catch_up.reply(message)
        if tail.complete:
            self.outage.report_unavailable()
        return tail

    def _writes_fail(self) -> bool:
        return not self._store.direct_up and not self._store.relayed

    def _end_outage(self) -> None:
        self.reservations.outage_ended()
        self._handover.remove_members_that_left()

    def _position(self) -> Offset:
        return self.follower.position or Offset(0)

    def _refreshed(self, _: object) -> None:
        self._refreshing = False

    def _refresh_failed(self, failure: Failure) -> None:
        self._refreshing = False
        self._logger.error("ledger read failed", error=failure.getTraceback())

    def _join(self) -> None:
        self._joined = True
        self.reservations.started()
        self._member_records.join()

    def _apply(self, record: KeyedRecord) -> None:
        self.writer.observe(record)
        update = self.ledger.apply(record)
        if update is None:
            if not self.members.apply(record):
                self.crashes.apply(record)
        elif update.holder != self._holder:
            self._allocator.other_vm_recorded(
                update.program, self._reactor.seconds()
            )
            self.writer.wake()
