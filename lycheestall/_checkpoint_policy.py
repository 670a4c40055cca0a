"""Decides when a reader writes the folded state again."""

from __future__ import annotations

from .ids import Offset
from .records import NO_OFFSET

__all__ = ["CheckpointPolicy"]

INTERVAL_S = 300.0
MAX_RECORDS = 2_000
PATIENCE_PER_RANK = 0.25


class CheckpointPolicy:
    """Lets one reader of many write each checkpoint.

    The reader of rank 0 writes first; the others have more patience and
    write only if it does not.

    Args:
        now: The time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._seen_at = now
        self._seen_offset = NO_OFFSET

    def seen(self, offset: Offset, now: float) -> None:
        """Notes a checkpoint in the stream.

        Args:
            offset: Where it is.
            now: The time in seconds.
        """
        self._seen_offset = offset
        self._seen_at = now

    def due(self, folded: Offset, rank: int, now: float) -> bool:
        """Returns whether to write one now.

        Args:
            folded: The newest offset in the state.
            rank: This reader's place among the readers, from 0.
            now: The time in seconds.
        """
        newer = folded - self._seen_offset
        if newer < 1:
            return False
        patience = 1.0 + rank * PATIENCE_PER_RANK
        if newer > MAX_RECORDS * patience:
            return True
        return now - self._seen_at > INTERVAL_S * patience
