"""Checkpoints: when to write one, in which pieces, how to find one."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import Offset, SessionId
from .records import NO_OFFSET, CheckpointPart, Record

__all__ = [
    "Checkpoint",
    "CheckpointAssembler",
    "CheckpointSchedule",
    "split_checkpoint",
]

PART_BYTES = 256 * 1024
MAX_RECORDS_BETWEEN = 5000
MAX_INTERVAL_S = 300.0
RANK_DELAY_S = 10.0
URGENT_RANK_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """A whole folded state found in a stream."""

    as_of: Offset
    data: bytes


def split_checkpoint(as_of: Offset, data: bytes) -> list[CheckpointPart]:
    """Returns the records that hold a state.

    Args:
        as_of: The newest offset in the state.
        data: The state's bytes.
    """
    pieces: list[bytes] = []
    for start in range(0, len(data), PART_BYTES):
        pieces.append(data[start : start + PART_BYTES])
    total = len(pieces)
    return [
        CheckpointPart(as_of, index, total, piece)
        for index, piece in enumerate(pieces)
    ]


class CheckpointAssembler:
    """Puts the parts of checkpoints together again.

    Holds at most one incomplete checkpoint per writer.
    """

    def __init__(self) -> None:
        self._parts_by_writer: dict[SessionId, list[CheckpointPart]] = {}

    def clear(self) -> None:
        """Forgets incomplete checkpoints."""
        self._parts_by_writer.clear()

    def add(self, offset: Offset, record: Record) -> Checkpoint | None:
        """Takes the next record of the stream.

        Returns:
            The checkpoint, when the record completes one.
        """
        part = record.body
        if not isinstance(part, CheckpointPart):
            return None
        parts = self._parts_by_writer.setdefault(record.writer, [])
        if part.index == 0:
            parts.clear()
        if part.index != len(parts):
            return None
        if parts and parts[0].as_of != part.as_of:
            return None
        parts.append(part)
        if len(parts) < part.total:
            return None
        del self._parts_by_writer[record.writer]
        data = b"".join(piece.data for piece in parts)
        return Checkpoint(part.as_of, data)


class CheckpointSchedule:
    """Decides when this session writes a checkpoint.

    Members take turns by rank: the first writes when one is due, the
    others only when those before them have not done so for a while.
    """

    def __init__(
        self,
        *,
        records: int = MAX_RECORDS_BETWEEN,
        interval_s: float = MAX_INTERVAL_S,
        rewrite_idle: bool = False,
    ) -> None:
        """Starts without a checkpoint.

        Args:
            records: Most records between two checkpoints.
            interval_s: Most seconds between two checkpoints.
            rewrite_idle: Whether to write one again when nothing has
                come since, so that retention cannot reach it.
        """
        self._records = records
        self._interval_s = interval_s
        self._rewrite_idle = rewrite_idle
        self._as_of = NO_OFFSET
        self._read_at: float | None = None

    @property
    def as_of(self) -> Offset:
        """The newest complete checkpoint in the stream, or -1."""
        return self._as_of

    def folded(self, offset: Offset, part: CheckpointPart, now: float) -> None:
        """Takes a checkpoint part that was read from the stream."""
        if part.index == part.total - 1:
            self.seen(part.as_of, now)

    def seen(self, as_of: Offset, now: float) -> None:
        """Takes a whole checkpoint that was read from the stream.

        Args:
            as_of: The newest offset in its state.
            now: Monotonic time in seconds.
        """
        if as_of > self._as_of:
            self._as_of = as_of
            self._read_at = now

    def due(
        self,
        now: float,
        *,
        folded: Offset,
        first_retained: Offset,
        rank: int,
    ) -> bool:
        """Returns whether this session should write one now.

        Args:
            now: Monotonic time in seconds.
            folded: The newest offset in the state.
            first_retained: The oldest offset the log still holds.
            rank: This session's rank among the members, from 0.
        """
        if self._read_at is None:
            self._read_at = now
        waited_s = now - self._read_at
        if first_retained > self._as_of + 1:
            return waited_s >= rank * URGENT_RANK_DELAY_S
        if folded - self._as_of >= self._records:
            return waited_s >= rank * RANK_DELAY_S
        if folded <= self._as_of + 1 and not self._rewrite_idle:
            return False
        return waited_s >= self._interval_s + rank * RANK_DELAY_S
