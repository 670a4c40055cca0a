"""Everything about tokens on one entry VM, with and without the store."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..ids import Offset, ZoneId
from ..logs import Logger
from .crash_reports import CrashReports
from .ledger_writer import LedgerWriter
from .member_sweep import MemberSweep
from .members import Member, Members, announcement, departure
from .outage import Outage, OutageMode
from .outage_books import OutageBooks
from .peer_link import PeerCaller, PeerHandler, call_all
from .peer_messages import (
    AskGranted,
    AskTokens,
    GrantedTokens,
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
from .routed_store import RoutedStore
from .store import KeyedRecord, Topic
from .store_health import StoreHealth
from .surveyor import Surveyor
from .token_books import TokenBooks
from .token_ledger import HolderId, TokenLedger
from .topic_follower import TopicFollower
from .turn_tokens import TurnTokens
from .vm_settings import Address

__all__ = ["TokenService"]

LEDGER_POLL_S = 1.5
"""Seconds between two reads of the ledger where no write brings one."""

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


class TokenService(PeerHandler):
    """Puts ledger, books, outage and peers together.

    Args:
        holder: This life of the VM, unique.
        address: Where peers call this VM.
        zone: Its availability zone.
        store: The store and the way to it.
        health: Learns how the calls went.
        peers: Calls other VMs.
        reactor: Tells the time.
        logger: Where decisions go.

    Attributes:
        turns: Reserves and settles the tokens of turns.
        crashes: Requests that crash their targets.
        writer: Writes the ledger.
        outage: How the store's outage looks.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        address: Address,
        zone: ZoneId,
        store: RoutedStore,
        health: StoreHealth,
        peers: PeerCaller,
        reactor: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._address = address
        self._zone = zone
        self._store = store
        self._peers = peers
        self._reactor = reactor
        self._handed_over = False
        self._looking = False
        self._logger = logger
        self._announced = False
        self._loaded_at = float("-inf")
        self.members = Members()
        self.ledger = TokenLedger()
        self.crashes = CrashReports(holder)
        self.outage = Outage(holder)
        self._outage_books = OutageBooks(self.ledger)
        self._books = TokenBooks(
            holder, self.ledger, doubtful=self._grants_may_be_lost
        )
        self.follower = TopicFollower(
            store,
            Topic.LEDGER,
            clock=reactor,
            health=health,
            apply=self._apply,
        )
        self.writer = LedgerWriter(
            store=store,
            follower=self.follower,
            books=self._books,
            crashes=self.crashes,
            holder=holder,
            clock=reactor,
            health=health,
            logger=logger,
            hold_off=lambda: self.outage.settling(reactor.seconds()),
        )
        self.turns = TurnTokens(
            holder=holder,
            writer=self.writer,
            books=self._books,
            ledger=self.ledger,
            outage=self.outage,
            outage_books=self._outage_books,
            members=self.members,
            peers=peers,
            clock=reactor,
            logger=logger,
        )
        self._surveyor = Surveyor(
            holder=holder,
            zone=zone,
            store=store,
            members=self.members,
            outage=self.outage,
            peers=peers,
            clock=reactor,
            logger=logger,
            position=self._position,
        )
        self._sweep = MemberSweep(
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
        """What may be decided without the store now."""
        return self.outage.mode(self._reactor.seconds())

    async def poll(self) -> None:
        """Reads the ledger if that is due; joins the system at first."""
        follower = self.follower
        if self._reactor.seconds() - follower.read_at >= LEDGER_POLL_S:
            await follower.read()
        if follower.loaded and not self._announced:
            self._join()

    def look(self) -> None:
        """Reads the ledger now, since something else hints at a change."""
        if self._looking:
            return
        self._looking = True
        looked = ensureDeferred(self.follower.read())
        looked.addCallbacks(self._looked, self._look_failed)

    async def survey(self) -> None:
        """Looks for a way to the store while it does not answer."""
        await self._surveyor.step()

    async def sweep(self) -> None:
        """Takes a member that has gone for good out of the ledger."""
        if not self._store.direct_up:
            return
        gone = await self._sweep.step()
        if gone is not None:
            self.writer.announce(departure(gone))

    def forget_idle(self) -> None:
        """Drops programs without turns for a long time."""
        self._books.forget_idle(self._reactor.seconds())

    def store_returned(self) -> None:
        """Notes that the store answers again."""
        self.turns.outage_ended(self._position())

    async def leave(self) -> None:
        """Hands over what this VM decides, and its records."""
        await self._hand_over()
        self.writer.announce(departure(self._holder))
        await self.writer.flush()

    def answer(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Answers a message of a peer."""
        if isinstance(message, Survey):
            return self._surveyor.report(message)
        if isinstance(message, AskTokens):
            if self._handed_over:
                return TokenAnswer(granted=False, spent=False)
            return self.turns.decide(message)
        if isinstance(message, AskGranted):
            if self._handed_over:
                return GrantedTokens(known=False, tokens=0)
            return self.turns.granted(message)
        if isinstance(message, SettleTokens):
            self.turns.settled(message)
            return Understood()
        if isinstance(message, Handover):
            self.outage.handed_over(message.holder)
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
        others = [
            member
            for member in self.members.all()
            if member.holder != self._holder
        ]
        await call_all(
            self._peers, others, message, timeout_s=HANDOVER_TIMEOUT_S
        )

    def _position(self) -> Offset:
        return self.follower.position or Offset(0)

    def _looked(self, _: object) -> None:
        self._looking = False

    def _look_failed(self, failure: Failure) -> None:
        self._looking = False
        self._logger.error("ledger look", error=failure.getTraceback())

    def _join(self) -> None:
        self._announced = True
        self._loaded_at = self._reactor.seconds()
        member = Member(self._holder, self._address, self._zone)
        self.writer.announce(announcement(member))
        self._reactor.callLater(LOST_GRANTS_S, self._clear_crashed)

    def _grants_may_be_lost(self) -> bool:
        crashed = len(self.members.crashed())
        if crashed >= CRASHES_THAT_LOSE_GRANTS:
            return True
        # Other VMs that were killed as well may not be back yet.
        age_s = self._reactor.seconds() - self._loaded_at
        return crashed > 0 and bool(age_s < OTHERS_BACK_S)

    def _clear_crashed(self) -> None:
        for holder in self.members.crashed():
            member = self.members.get(holder)
            if member is not None and member.address == self._address:
                self.writer.announce(departure(holder))

    def _apply(self, record: KeyedRecord) -> None:
        self.writer.saw(record)
        grant = self.ledger.apply(record)
        if grant is None:
            if not self.members.apply(record):
                self.crashes.apply(record)
        elif grant.holder != self._holder:
            self._books.others_recorded(grant.program, self._reactor.seconds())
            self.writer.wake()
