"""Keeps the conversations of callers on one entry VM."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

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
from .membership import Members
from .peer_messages import PeerMessage, PeerReply, Understood
from .peer_rpc import PeerClient, PeerHandler
from .store import Store
from .token_ledger import HolderId
from .turn_copies import TurnCopies
from .turn_messages import (
    FindTurns,
    FoundTurns,
    HeldTurn,
    HoldTurns,
)
from .turn_recorder import TurnRecorder

__all__ = ["ConversationService"]

REFRESH_MARGIN_S = 30.0
"""A record that expires less than this after the retention time of a later
turn is written again."""

MAX_REPLY_BYTES = 2_000_000
"""Size of the turns in one reply to a peer."""


class ConversationService(PeerHandler):
    """Keeps turns in the store, in memory and as copies at other VMs.

    A response ends only when its turn is recorded in the store, since all VMs
    may be lost at once. Memory and copies spare reading it back.

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
        self.cache = TurnCache(max_bytes=max_bytes)
        self._copies = TurnCopies(holder, members, peers)
        self.recorder = TurnRecorder(
            store=store,
            cache=self.cache,
            clock=clock,
            unix_clock=unix_clock,
            logger=logger,
        )
        self._lookup = ConversationLookup(
            cache=self.cache,
            copies=self._copies,
            store=store,
            clock=clock,
            logger=logger,
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
    ) -> bool:
        """Keeps a turn; returns whether the store has it in time.

        Args:
            turn: The turn.
            chain: The conversation that it continues.
            program: The program that it belongs to.
            give_up_at: When the caller stops waiting for the response.
        """
        now = self._clock.seconds()
        self.cache.add(turn, now=now, record_expires_at=None)
        self._keep_ancestors(turn, chain)
        self.recorder.record(turn)
        recorded = await self.recorder.wait(
            turn.turn_id, timeout_s=max(0.0, give_up_at - now)
        )
        if not recorded:
            self.recorder.give_up(turn.turn_id)
            self.cache.discard(turn.turn_id)
            return False
        held = self._held(turn.turn_id)
        holders = self._copies.holders(program or ProgramId(turn.turn_id), 1)
        if held is not None and holders:
            self._copies.send(holders[0], held)
        return True

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> Deferred[PeerReply] | PeerReply:
        """Returns the reply to a peer's message about turns."""
        if isinstance(message, HoldTurns):
            return self._hold(message)
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
        self._metrics.set_conversation_gauges(
            turns=len(self.cache),
            size=self.cache.size,
            unrecorded=self.recorder.pending_count,
            evicted=self.cache.evicted,
        )

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
            self.cache.add(
                held.turn,
                now=self._clock.seconds(),
                record_expires_at=held.record_expires_at,
            )
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
        expires_at = self.cache.record_expires_at(turn_id)
        if turn is None or expires_at is None:
            return None
        return HeldTurn(turn, expires_at)
