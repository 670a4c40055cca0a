"""Turns in memory, within a limit."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from .turn import ConversationTurn, ConversationTurnId

__all__ = ["TurnCache"]


@dataclass(slots=True)
class _Entry:
    turn: ConversationTurn
    expires_at: float
    record_expires_at: int | None


class TurnCache:
    """Keeps turns until they expire or memory runs short.

    Order of eviction: expired turns, then the least recently used among
    those that the store holds. Turns that the store does not hold yet are
    never evicted; ``has_room`` tells whether there is memory for more.

    Args:
        max_bytes: Limit on the memory of all turns.

    Attributes:
        size: Memory that the turns take, in bytes.
        evicted: Number of turns evicted before they expired.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._by_id: OrderedDict[ConversationTurnId, _Entry] = OrderedDict()
        self._unrecorded: set[ConversationTurnId] = set()
        self._unrecorded_bytes = 0
        self.size = 0
        self.evicted = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def has_room(self, size: int) -> bool:
        """Returns whether a turn that isn't recorded yet would fit.

        Args:
            size: Memory of the turn, in bytes.
        """
        return self._unrecorded_bytes + size <= self._max_bytes

    def add(
        self,
        turn: ConversationTurn,
        *,
        now: float,
        record_expires_at: int | None,
    ) -> None:
        """Adds a turn, or does nothing if it is known.

        Args:
            turn: The turn. Another one of the same ID is replaced.
            now: Current time.
            record_expires_at: Unix time at which its record in the store
                expires; None if the store does not hold it yet.
        """
        known = self._by_id.get(turn.turn_id)
        if known is not None:
            if known.turn == turn:
                return
            self._remove(turn.turn_id)
        self._by_id[turn.turn_id] = _Entry(
            turn, now + turn.retention_s, record_expires_at
        )
        self.size += turn.size
        if record_expires_at is None:
            self._unrecorded.add(turn.turn_id)
            self._unrecorded_bytes += turn.size
        self._evict()

    def get(self, turn_id: ConversationTurnId) -> ConversationTurn | None:
        """Returns a turn and notes that it was used."""
        entry = self._by_id.get(turn_id)
        if entry is None:
            return None
        self._by_id.move_to_end(turn_id)
        return entry.turn

    def extend(
        self,
        turn_ids: Iterable[ConversationTurnId],
        *,
        retention_s: float,
        now: float,
    ) -> None:
        """Keeps turns for as long as a turn that continues from them.

        Args:
            turn_ids: The turns.
            retention_s: Retention time of the turn that follows.
            now: Current time.
        """
        for turn_id in turn_ids:
            entry = self._by_id.get(turn_id)
            if entry is not None:
                entry.expires_at = max(entry.expires_at, now + retention_s)

    def mark_recorded(
        self, turn_id: ConversationTurnId, record_expires_at: int
    ) -> None:
        """Notes that the store holds a turn until a Unix time."""
        entry = self._by_id.get(turn_id)
        if entry is None:
            return
        known = entry.record_expires_at
        if known is None or known < record_expires_at:
            entry.record_expires_at = record_expires_at
        if turn_id in self._unrecorded:
            self._unrecorded.discard(turn_id)
            self._unrecorded_bytes -= entry.turn.size
            self._evict()

    def record_expires_at(self, turn_id: ConversationTurnId) -> int | None:
        """Returns until when the store holds a turn, None if unknown."""
        entry = self._by_id.get(turn_id)
        return None if entry is None else entry.record_expires_at

    def discard(self, turn_id: ConversationTurnId) -> None:
        """Removes a turn if it is known."""
        if turn_id in self._by_id:
            self._remove(turn_id)

    def expire(self, now: float) -> int:
        """Removes expired turns; returns how many."""
        expired = [
            turn_id
            for turn_id, entry in self._by_id.items()
            if entry.expires_at <= now
        ]
        for turn_id in expired:
            self._remove(turn_id)
        return len(expired)

    def _evict(self) -> None:
        if self.size <= self._max_bytes:
            return
        for turn_id in list(self._by_id):
            if self.size <= self._max_bytes:
                return
            if turn_id in self._unrecorded:
                continue
            self._remove(turn_id)
            self.evicted += 1

    def _remove(self, turn_id: ConversationTurnId) -> None:
        entry = self._by_id.pop(turn_id)
        self.size -= entry.turn.size
        if turn_id in self._unrecorded:
            self._unrecorded.discard(turn_id)
            self._unrecorded_bytes -= entry.turn.size
