"""Graceful handover of partitions, on the giving and taking side."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import structlog
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .cell_view import Folded
from .claims import Claim
from .ids import Offset, PartitionId, SessionId, VmId
from .mesh import Mesh
from .messages import PartitionGiven, PartitionTaken, ProgramState
from .records import CellRecord, PartitionReleased

__all__ = ["Given", "HandoverGiver", "HandoverTaker"]

FRAME_BYTES = 1024 * 1024
GIVEN_LIMIT_S = 1.0

_log = structlog.get_logger(__name__)


class HandoverGiver:
    """Gives partitions away: quiesce, release record, live state.

    Args:
        mesh: Reaches the successor.
        submit: Writes a record.
        quiesce: Asks the owner of programs for a partition's state.
        stop_acting: Told right before the release is written.
        vm_of: The VM of a live session.
    """

    def __init__(
        self,
        mesh: Mesh,
        *,
        submit: Callable[[CellRecord], Deferred[Folded]],
        quiesce: Callable[[PartitionId], Deferred[dict[str, bytes]]],
        stop_acting: Callable[[PartitionId], bool],
        vm_of: Callable[[SessionId], VmId | None],
    ) -> None:
        self._mesh = mesh
        self._submit = submit
        self._quiesce = quiesce
        self._stop_acting = stop_acting
        self._vm_of = vm_of
        self._quiescing: dict[PartitionId, Deferred[None]] = {}
        self._released: set[PartitionId] = set()

    @property
    def released(self) -> frozenset[PartitionId]:
        """The partitions whose release was written, read back or not."""
        return frozenset(self._released)

    def under_way(self) -> frozenset[PartitionId]:
        """Returns the partitions being given away."""
        return frozenset(self._quiescing) | frozenset(self._released)

    def begin(
        self, partition: PartitionId, epoch: Offset, successor: SessionId
    ) -> None:
        """Starts to give a partition to a session."""
        waiting: Deferred[None] = self._quiesce(partition).addCallback(
            self._quiesced, partition, epoch, successor
        )
        if not waiting.called:
            self._quiescing[partition] = waiting
        waiting.addErrback(self._failed, partition)

    def ended(self, partition: PartitionId) -> None:
        """Forgets a partition that is another session's now."""
        self._released.discard(partition)
        waiting = self._quiescing.pop(partition, None)
        if waiting is not None:
            waiting.cancel()

    def _quiesced(
        self,
        programs: dict[str, bytes],
        partition: PartitionId,
        epoch: Offset,
        successor: SessionId,
    ) -> None:
        self._quiescing.pop(partition, None)
        if not self._stop_acting(partition):
            return
        self._released.add(partition)
        release = PartitionReleased(partition, epoch, successor)
        written = self._submit(release)
        written.addCallback(
            self._written, partition, epoch, successor, programs
        )
        written.addErrback(self._failed, partition)

    def _written(
        self,
        folded: Folded,
        partition: PartitionId,
        epoch: Offset,
        successor: SessionId,
        programs: dict[str, bytes],
    ) -> None:
        vm = self._vm_of(successor)
        if not folded.verdict.accepted or vm is None:
            return
        for states, last in _frames(programs):
            given = PartitionGiven(
                partition, epoch, folded.offset, states, last
            )
            if not self._mesh.send(vm, given):
                _log.warning("handover.not_sent", partition=partition)
                return

    def _failed(self, failure: Failure, partition: PartitionId) -> None:
        self._quiescing.pop(partition, None)
        if failure.check(CancelledError):
            return
        _log.error(
            "handover.failed", partition=partition, error=str(failure.value)
        )


@dataclass(slots=True)
class Given:
    """Live state that came for a partition.

    Attributes:
        epoch: The giver's claim offset.
        programs: Live state by top-level program.
        whole: Whether the last frame has come.
    """

    epoch: Offset
    programs: dict[str, bytes] = field(default_factory=dict)
    whole: bool = False


class HandoverTaker:
    """Takes partitions that others release to this session.

    Args:
        mesh: Reaches the giver.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._given_by_partition: dict[PartitionId, Given] = {}
        self._released_at: dict[PartitionId, float] = {}
        self._giver_by_partition: dict[PartitionId, VmId] = {}

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Takes a frame of live state."""
        given = self._given_by_partition.get(message.partition)
        if given is None or given.epoch != message.epoch:
            given = Given(message.epoch)
            self._given_by_partition[message.partition] = given
        for state in message.programs:
            given.programs[state.program] = state.data
        given.whole = message.last
        self._giver_by_partition[message.partition] = peer

    def released(self, partition: PartitionId, now: float) -> None:
        """Takes the folded release of a partition to this session."""
        self._released_at.setdefault(partition, now)

    def ready(self, now: float) -> list[PartitionId]:
        """Returns partitions to claim: the state is here or overdue."""
        found: list[PartitionId] = []
        for partition, released_at in self._released_at.items():
            given = self._given_by_partition.get(partition)
            whole = given is not None and given.whole
            if whole or now - released_at >= GIVEN_LIMIT_S:
                found.append(partition)
        return found

    def take(self, partition: PartitionId, former: Offset) -> Given | None:
        """Ends a handover and returns the whole state, if it came.

        Args:
            partition: The partition, claimed by now.
            former: The epoch it was released under.
        """
        self._released_at.pop(partition, None)
        given = self._given_by_partition.pop(partition, None)
        if given is None or not given.whole or given.epoch != former:
            return None
        return given

    def confirm(self, partition: PartitionId, claim: Claim) -> None:
        """Tells the giver that the partition has been taken."""
        giver = self._giver_by_partition.pop(partition, None)
        if giver is not None:
            self._mesh.send(giver, PartitionTaken(partition, claim.epoch))

    def forget(self, partition: PartitionId) -> None:
        """Drops a handover that came to nothing."""
        self._released_at.pop(partition, None)
        self._given_by_partition.pop(partition, None)
        self._giver_by_partition.pop(partition, None)


def _frames(
    programs: dict[str, bytes],
) -> Iterator[tuple[tuple[ProgramState, ...], bool]]:
    """Yields programs' states in frames of bounded size."""
    states: list[ProgramState] = []
    size = 0
    for program, data in programs.items():
        if states and size + len(data) > FRAME_BYTES:
            yield tuple(states), False
            states, size = [], 0
        states.append(ProgramState(program, data))
        size += len(data)
    yield tuple(states), True
