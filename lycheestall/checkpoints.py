"""Checkpoints of folded state: scheduling, splitting and reassembly."""

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

MAX_PART_BYTES = 256 * 1024
MAX_RECORDS_BETWEEN_CHECKPOINTS = 5000
MAX_CHECKPOINT_INTERVAL_S = 300.0
RANK_DELAY_S = 10.0
URGENT_RANK_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """A complete checkpoint read from a stream.

    Attributes:
        as_of: The state includes every record up to this offset.
        data: The serialised state.
    """

    as_of: Offset
    data: bytes


def split_checkpoint(as_of: Offset, data: bytes) -> list[CheckpointPart]:
    """Splits a serialised state into checkpoint records.

    Args:
        as_of: The newest offset in the state.
        data: The serialised state.
    """
    chunks: list[bytes] = []
    for start in range(0, len(data), MAX_PART_BYTES):
        chunks.append(data[start : start + MAX_PART_BYTES])
    total = len(chunks)
    return [
        CheckpointPart(as_of, index, total, chunk)
        for index, chunk in enumerate(chunks)
    ]


class CheckpointAssembler:
    """Reassembles checkpoints from their parts.

    Keeps at most one incomplete checkpoint per writer. A part that is out
    of order, or that belongs to another checkpoint, is dropped.
    """

    def __init__(self) -> None:
        self._parts_by_writer: dict[SessionId, list[CheckpointPart]] = {}

    def clear(self) -> None:
        """Discards all incomplete checkpoints."""
        self._parts_by_writer.clear()

    def add(self, offset: Offset, record: Record) -> Checkpoint | None:
        """Adds the next record of the stream.

        Returns:
            The checkpoint if the record completes one, else None.
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
        data = b"".join(item.data for item in parts)
        return Checkpoint(part.as_of, data)


class CheckpointSchedule:
    """Decides when this session writes a checkpoint.

    Each rank adds a delay, so the member of rank 0 normally writes a due
    checkpoint and the next ranks only step in when it has not.
    """

    def __init__(
        self,
        *,
        records: int = MAX_RECORDS_BETWEEN_CHECKPOINTS,
        interval_s: float = MAX_CHECKPOINT_INTERVAL_S,
        rewrite_idle: bool = False,
    ) -> None:
        """Creates a schedule that knows of no checkpoint yet.

        Args:
            records: Maximum number of records between two checkpoints.
            interval_s: Maximum seconds between two checkpoints.
            rewrite_idle: Whether to write another checkpoint when there
                are no new records, so that retention does not delete the
                newest one.
        """
        self._records = records
        self._interval_s = interval_s
        self._rewrite_idle = rewrite_idle
        self._as_of = NO_OFFSET
        self._interval_started_at: float | None = None

    @property
    def as_of(self) -> Offset:
        """The ``as_of`` offset of the newest checkpoint read, or -1."""
        return self._as_of

    def on_part(
        self, offset: Offset, part: CheckpointPart, now: float
    ) -> None:
        """Handles a checkpoint part that was read from the stream."""
        if part.index == part.total - 1:
            self.on_checkpoint(part.as_of, now)

    def on_checkpoint(self, as_of: Offset, now: float) -> None:
        """Handles a complete checkpoint that was read from the stream.

        Args:
            as_of: The newest offset in its state.
            now: Monotonic time in seconds.
        """
        if as_of > self._as_of:
            self._as_of = as_of
            self._interval_started_at = now

    def is_due(
        self,
        now: float,
        *,
        folded: Offset,
        first_retained: Offset,
        rank: int,
    ) -> bool:
        """Returns whether this session should write a checkpoint now.

        Args:
            now: Monotonic time in seconds.
            folded: The newest offset in the state.
            first_retained: The oldest offset that the log still retains.
                If it is above the newest checkpoint, records are missing
                and a new checkpoint is due regardless of the interval.
            rank: This session's rank among the members, from 0.
        """
        if self._interval_started_at is None:
            self._interval_started_at = now
        waited_s = now - self._interval_started_at
        if first_retained > self._as_of + 1:
            return waited_s >= rank * URGENT_RANK_DELAY_S
        if folded - self._as_of >= self._records:
            return waited_s >= rank * RANK_DELAY_S
        if folded <= self._as_of + 1 and not self._rewrite_idle:
            return False
        return waited_s >= self._interval_s + rank * RANK_DELAY_S
