"""Keeps the conversations of callers on one entry VM."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..conversations import (
    Chain,
    ConversationTurn,
    ConversationTurnId,
    TurnCache,
)
from ..conversations.turn_records import ShardNumber
from ..ids import ProgramId
from ..logs import Logger
from ..rendezvous import rendezvous
from .conversation_lookup import ConversationLookup, LookupResult
from .entry_metrics import EntryMetrics
from .members import Member, Members
from .peer_messages import PeerMessage, PeerReply, Understood
from .peer_rpc import PeerClient, PeerHandler
from .store import Store, StoreFailed
from .token_ledger import HolderId
from .turn_copies import TurnCopies
from .turn_messages import (
    FindTurns,
    FoundTurns,
    HeldTurn,
    HoldTurns,
    TurnsRecorded,
)
from .turn_recorder import TurnRecorder

__all__ = ["ConversationService", "Durability"]

RECORD_PATIENCE_S = 0.1
"""Seconds for which the end of a response waits for the store alone."""

COPIES_WITHOUT_RECORD = 2
"""Copies at other VMs that make a turn durable without the store."""

COPY_RECORD_DELAY_S = 3.0
"""Seconds in which the VM that ran a turn may record it before the holders of
its copies do."""

COPY_RETRY_S = 0.25
"""Seconds until copies are sent again if too few VMs have accepted them."""

REFRESH_MARGIN_S = 30.0
"""A record that expires less than this after the retention time of a later
turn is written again."""

FLUSH_TIMEOUT_S = 1.0
"""Seconds that a shutdown waits for turns to be recorded; holders of copies
record the rest."""

MAX_REPLY_BYTES = 2_000_000
"""Size of the turns in one reply to a peer."""


class Durability(Enum):
    """How a turn was made durable before its response ended."""

    RECORDED = "recorded"
    COPIED = "copied"


class ConversationService(PeerHandler):
    """Keeps turns in memory, in the store and at other VMs.

    A response ends only when its turn is durable: recorded in the store or,
    while the store is slow or unavailable, held by VMs of other zones, which
    record it later.

    Args:
        holder: This VM.
        members: The VMs of the system.
        members_complete: Returns whether this VM knows all others, and none
            of them has lost its turns in a crash.
        store: The store.
        peers: Calls other VMs.
        max_bytes: Limit on the memory of turns.
        clock: Time source and timers.
        unix_clock: Returns the time of day in seconds.
        logger: Receives decisions.
        metrics: Counts them.

    Attributes:
        cache: The turns in memory.
        recorder: Writes turns to the store.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        members_complete: Callable[[], bool],
        store: Store,
        peers: PeerClient,
        max_bytes: int,
        clock: Any,
        unix_clock: Callable[[], float],
        logger: Logger,
        metrics: EntryMetrics,
    ) -> None:
        self._holder = holder
        self._members = members
        self._store = store
        self._clock = clock
        self._unix_clock = unix_clock
        self._logger = logger
        self._metrics = metrics
        self._next_shard = 0
        self._copied_to: dict[ConversationTurnId, list[Member]] = {}
        self.cache = TurnCache(max_bytes=max_bytes)
        self._copies = TurnCopies(holder, members, peers)
        self.recorder = TurnRecorder(
            store=store,
            cache=self.cache,
            clock=clock,
            unix_clock=unix_clock,
            logger=logger,
            on_recorded=self._on_recorded,
        )
        self._lookup = ConversationLookup(
            cache=self.cache,
            copies=self._copies,
            store=store,
            clock=clock,
            logger=logger,
            on_found_unrecorded=self._record_for_other,
            members_complete=members_complete,
        )

    def find(
        self, turn_id: ConversationTurnId, program: ProgramId | None
    ) -> Deferred[LookupResult] | LookupResult:
        """Returns the conversation up to a turn."""
        return self._lookup.find(turn_id, program)

    async def keep(
        self,
        turn: ConversationTurn,
        chain: Chain | None,
        program: ProgramId | None,
        *,
        give_up_at: float,
    ) -> Durability | None:
        """Keeps a turn; returns once it is durable, None if it isn't in time.

        Args:
            turn: The turn.
            chain: The conversation that it continues.
            program: The program that it belongs to.
            give_up_at: When the caller stops waiting for the response.
        """
        self.cache.add(turn, now=self._clock.seconds(), record_expires_at=None)
        self._keep_ancestors(turn, chain)
        record_expires_at = self.recorder.record(turn)
        holders = self._copies.holders(
            program or ProgramId(turn.turn_id), COPIES_WITHOUT_RECORD
        )
        if not self.recorder.suspended:
            # The copy spares other VMs a search in the store; the turn
            # counts only once it is recorded.
            copy = (HeldTurn(turn, record_expires_at),)
            sent = self._copies.send(holders[:1], copy, to_record=False)
            ensureDeferred(sent).addErrback(self._copy_failed)
            recorded = await self.recorder.wait(
                turn.turn_id, timeout_s=RECORD_PATIENCE_S
            )
            if recorded:
                return Durability.RECORDED
        return await self._keep_without_record(turn, holders, give_up_at)

    async def _keep_without_record(
        self,
        turn: ConversationTurn,
        holders: list[Member],
        give_up_at: float,
    ) -> Durability | None:
        copy = (HeldTurn(turn, None),)
        while self._clock.seconds() < give_up_at:
            accepted = await self._copies.send(holders, copy, to_record=True)
            if accepted:
                self._copied_to[turn.turn_id] = accepted
            if not self.recorder.is_pending(turn.turn_id):
                self._on_recorded(
                    turn.turn_id,
                    self.cache.record_expires_at(turn.turn_id) or 0,
                )
                return Durability.RECORDED
            if accepted and len(accepted) == len(holders):
                return Durability.COPIED
            recorded = await self.recorder.wait(
                turn.turn_id, timeout_s=COPY_RETRY_S
            )
            if recorded:
                return Durability.RECORDED
        return None

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a peer's message about turns."""
        if isinstance(message, HoldTurns):
            return self._hold(message)
        if isinstance(message, TurnsRecorded):
            for turn_id, expires_at in message.expiries:
                self.recorder.recorded_elsewhere(turn_id, expires_at)
            return Understood()
        if isinstance(message, FindTurns):
            return self._find_for_peer(message)
        raise ValueError(f"unexpected peer message {type(message).__name__}")

    async def sweep(self) -> None:
        """Looks for orphaned records in one of this VM's shards."""
        names = [str(member.holder) for member in self._members.all()]
        for _ in range(self._store.turn_shards):
            shard = ShardNumber(self._next_shard)
            self._next_shard = (shard + 1) % self._store.turn_shards
            if rendezvous(f"shard-{shard}", names) != self._holder:
                continue
            found = await self.recorder.collect_expired(shard)
            if found:
                self._logger.info(
                    "expired turns found", shard=shard, records=found
                )
            return

    def remove_expired(self) -> None:
        """Removes expired turns from memory and updates the gauges."""
        self.cache.expire(self._clock.seconds())
        for turn_id in list(self._copied_to):
            if self.cache.get(turn_id) is None:
                del self._copied_to[turn_id]
        self._metrics.set_conversation_gauges(
            turns=len(self.cache),
            size=self.cache.size,
            unrecorded=self.recorder.pending_count,
            evicted=self.cache.evicted,
        )

    async def stop(self) -> None:
        """Records the turns that the store does not hold yet."""
        await self.recorder.flush(timeout_s=FLUSH_TIMEOUT_S)

    def _keep_ancestors(
        self, turn: ConversationTurn, chain: Chain | None
    ) -> None:
        if chain is None:
            return
        self.cache.extend(
            turn.ancestors,
            retention_s=turn.retention_s,
            now=self._clock.seconds(),
        )
        needed_until = self._unix_clock() + turn.retention_s + REFRESH_MARGIN_S
        for ancestor in chain.turns:
            expires_at = self.cache.record_expires_at(ancestor.turn_id)
            if expires_at is not None and expires_at < needed_until:
                self.recorder.record(ancestor)

    def _hold(self, message: HoldTurns) -> PeerReply:
        for held in message.turns:
            unrecorded = message.to_record and held.record_expires_at is None
            if unrecorded and not self.cache.has_room(held.turn.size):
                return StoreFailed("no memory for copies")
        for held in message.turns:
            self.cache.add(
                held.turn,
                now=self._clock.seconds(),
                record_expires_at=held.record_expires_at,
            )
            if message.to_record and held.record_expires_at is None:
                self.cache.mark_unrecorded(held.turn.turn_id)
                self._record_for_other(held.turn)
        return Understood()

    def _find_for_peer(self, message: FindTurns) -> FoundTurns:
        found: dict[ConversationTurnId, HeldTurn] = {}
        size = 0
        for turn_id in message.turn_ids:
            turn = self.cache.get(turn_id)
            if turn is None:
                continue
            for name in (turn_id, *turn.ancestors):
                held = self._held(name)
                if held is None or name in found:
                    continue
                size += held.turn.size
                if size > MAX_REPLY_BYTES:
                    break
                found[name] = held
        return FoundTurns(tuple(found.values()))

    def _held(self, turn_id: ConversationTurnId) -> HeldTurn | None:
        turn = self.cache.get(turn_id)
        if turn is None:
            return None
        return HeldTurn(turn, self.cache.record_expires_at(turn_id))

    def _record_for_other(self, turn: ConversationTurn) -> None:
        self.recorder.record(turn, delay_s=COPY_RECORD_DELAY_S)

    def _on_recorded(
        self, turn_id: ConversationTurnId, expires_at: int
    ) -> None:
        holders = self._copied_to.pop(turn_id, None)
        if holders:
            self._copies.tell_recorded(holders, ((turn_id, expires_at),))

    def _copy_failed(self, failure: Failure) -> None:
        self._logger.error(
            "sending a copy of a turn failed", error=failure.getTraceback()
        )
