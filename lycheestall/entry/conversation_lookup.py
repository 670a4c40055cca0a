"""Finds the turns of a conversation: in memory, at peers, in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.python.failure import Failure

from ..conversations import (
    Chain,
    ConversationTurnId,
    MissingTurns,
    TurnCache,
    UnreadableTurn,
    decode_turn,
    find_chain,
    record_expiry,
    record_key_prefix,
    shard_of,
)
from ..ids import ProgramId
from ..logs import Logger
from .store import KeyedRecord, NewestOutcome, NewestPage, Store, Topic
from .turn_copies import TurnCopies
from .turn_messages import HeldTurn

__all__ = [
    "ConversationLookup",
    "FoundConversation",
    "LookupResult",
    "TurnNotFound",
    "TurnSource",
]

HOLDERS_ASKED = 2
"""VMs asked for copies before the store is read; the second one in case the
first has just been lost."""

MAX_RECORD_READS = 64
"""Records of one conversation that are read at once."""

MAX_READ_ROUNDS = 8
"""Rounds of reads for one conversation."""


class TurnSource(Enum):
    """Where the last missing turn of a conversation was found."""

    MEMORY = "memory"
    COPIES = "copies"
    STORE = "store"
    ALL_PEERS = "all peers"


@dataclass(frozen=True, slots=True)
class TurnNotFound:
    """A conversation that can't be put together.

    Attributes:
        missing: A turn that was not found.
        certain: Whether there is no such turn; otherwise it may be found
            later.
        store_replied: Whether the store's records were read.
        peers_replied: Number of VMs that said that they don't hold it.
        peers_asked: Number of VMs that were asked.
    """

    missing: ConversationTurnId
    certain: bool
    store_replied: bool
    peers_replied: int
    peers_asked: int


@dataclass(frozen=True, slots=True)
class FoundConversation:
    """A conversation and where its turns were found."""

    chain: Chain
    source: TurnSource


LookupResult = FoundConversation | TurnNotFound


class ConversationLookup:
    """Looks up conversations; lookups of the same turn share their calls.

    Args:
        cache: The turns in memory; receives what is found.
        copies: Asks other VMs.
        store: The store.
        clock: Time source.
        logger: Receives unreadable records.
        members_complete: Returns whether this VM knows all others, and none
            of them has lost its turns in a crash.
    """

    def __init__(
        self,
        *,
        cache: TurnCache,
        copies: TurnCopies,
        store: Store,
        clock: Any,
        logger: Logger,
        members_complete: Callable[[], bool],
    ) -> None:
        self._cache = cache
        self._copies = copies
        self._store = store
        self._clock = clock
        self._logger = logger
        self._members_complete = members_complete
        self._waiters_by_turn: dict[
            ConversationTurnId, list[Deferred[LookupResult]]
        ] = {}

    def find(
        self, turn_id: ConversationTurnId, program: ProgramId | None
    ) -> Deferred[LookupResult] | LookupResult:
        """Returns the conversation up to a turn.

        Args:
            turn_id: The turn.
            program: The program that asks; copies of its turns are looked
                for first.
        """
        chain = find_chain(turn_id, self._cache.get)
        if isinstance(chain, Chain):
            return FoundConversation(chain, TurnSource.MEMORY)
        result: Deferred[LookupResult] = Deferred(lambda _: None)
        waiters = self._waiters_by_turn.get(turn_id)
        if waiters is not None:
            waiters.append(result)
            return result
        self._waiters_by_turn[turn_id] = [result]
        search = ensureDeferred(self._search(turn_id, program, chain))
        search.addErrback(self._search_failed, turn_id)
        search.addCallback(self._found, turn_id)
        return result

    def _found(
        self, result: LookupResult, turn_id: ConversationTurnId
    ) -> None:
        for waiter in self._waiters_by_turn.pop(turn_id, []):
            if not waiter.called:
                waiter.callback(result)

    def _search_failed(
        self, failure: Failure, turn_id: ConversationTurnId
    ) -> LookupResult:
        self._logger.error(
            "looking up a conversation failed",
            turn=turn_id,
            error=failure.getTraceback(),
        )
        return TurnNotFound(turn_id, False, False, 0, 0)

    async def _search(
        self,
        turn_id: ConversationTurnId,
        program: ProgramId | None,
        missing: MissingTurns,
    ) -> LookupResult:
        if program is not None:
            for member in self._copies.holders(program, HOLDERS_ASKED):
                held, _ = await self._copies.find([member], missing.turn_ids)
                chain = self._add_held(turn_id, held)
                if isinstance(chain, Chain):
                    return FoundConversation(chain, TurnSource.COPIES)
                missing = chain
        started_at = self._clock.seconds()
        store_replied = True
        for _ in range(MAX_READ_ROUNDS):
            found, replied = await self._read_records(missing.turn_ids)
            store_replied = store_replied and replied
            if not found:
                break
            chain = find_chain(turn_id, self._cache.get)
            if isinstance(chain, Chain):
                return FoundConversation(chain, TurnSource.STORE)
            missing = chain
        others = self._copies.others()
        held, peers_replied = await self._copies.find(others, missing.turn_ids)
        chain = self._add_held(turn_id, held)
        if isinstance(chain, Chain):
            return FoundConversation(chain, TurnSource.ALL_PEERS)
        certain = (
            chain.turn_ids[0] == turn_id
            and store_replied
            and peers_replied == len(others)
            and self._members_complete()
        )
        self._logger.info(
            "turn not found",
            turn=turn_id,
            missing=len(chain.turn_ids),
            took_ms=round((self._clock.seconds() - started_at) * 1000, 1),
        )
        return TurnNotFound(
            chain.turn_ids[0],
            certain,
            store_replied,
            peers_replied,
            len(others),
        )

    def _add_held(
        self, turn_id: ConversationTurnId, held: Iterable[HeldTurn]
    ) -> Chain | MissingTurns:
        for item in held:
            if self._cache.get(item.turn.turn_id) is not None:
                continue
            self._cache.add(
                item.turn,
                now=self._clock.seconds(),
                record_expires_at=item.record_expires_at,
            )
        return find_chain(turn_id, self._cache.get)

    async def _read_records(
        self, turn_ids: tuple[ConversationTurnId, ...]
    ) -> tuple[bool, bool]:
        """Reads records into the cache.

        Returns:
            Whether any was found, and whether all calls were replied to.
        """
        wanted = turn_ids[:MAX_RECORD_READS]
        calls = [
            self._store.newest(
                Topic.TURNS,
                after=record_key_prefix(turn_id),
                shard=shard_of(turn_id, self._store.turn_shards),
            )
            for turn_id in wanted
        ]
        results = await DeferredList(calls, consumeErrors=True)
        found = False
        replied = True
        for turn_id, (ok, page) in zip(wanted, results, strict=True):
            if not ok or not isinstance(page, NewestPage):
                replied = False
                continue
            found = self._add_recorded(turn_id, page) or found
        return found, replied

    def _add_recorded(
        self, turn_id: ConversationTurnId, page: NewestOutcome
    ) -> bool:
        assert isinstance(page, NewestPage)
        prefix = record_key_prefix(turn_id).encode()
        for record in page.records:
            if not record.key.startswith(prefix):
                continue
            if self._add_record(turn_id, record):
                return True
        return False

    def _add_record(
        self, turn_id: ConversationTurnId, record: KeyedRecord
    ) -> bool:
        turn = decode_turn(record.value or b"")
        if isinstance(turn, UnreadableTurn):
            self._logger.error(
                "record of a turn is unreadable",
                turn=turn_id,
                offset=record.offset,
                reason=turn.reason,
            )
            return False
        if turn.turn_id != turn_id:
            return False
        self._cache.add(
            turn,
            now=self._clock.seconds(),
            record_expires_at=record_expiry(record.key),
        )
        return True
