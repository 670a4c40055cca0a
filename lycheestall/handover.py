"""Graceful handover of partitions: the sending and receiving side."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import structlog
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from .cell_view import WriteResult
from .claims import Claim
from .ids import Offset, PartitionId, SessionId, VmId
from .mesh import Mesh
from .messages import PartitionGiven, PartitionTaken, ProgramState
from .records import CellRecord, PartitionReleased

__all__ = ["HandoverReceiver", "HandoverSender", "ReceivedState"]

HANDOVER_FRAME_BYTES = 1024 * 1024
STATE_WAIT_LIMIT_S = 1.0

_log = structlog.get_logger(__name__)


class HandoverSender:
    """Hands partitions over: quiesce, write the release, send the state.

    Args:
        mesh: Connections to the peers.
        submit: Writes a record.
        quiesce: Quiesces a partition and returns its live state.
        deactivate: Called right before the release is written; False
            when the partition is not active, which ends the handover.
        vm_of: Returns the VM of a live session.
    """

    def __init__(
        self,
        mesh: Mesh,
        *,
        submit: Callable[[CellRecord], Deferred[WriteResult]],
        quiesce: Callable[[PartitionId], Deferred[dict[str, bytes]]],
        deactivate: Callable[[PartitionId], bool],
        vm_of: Callable[[SessionId], VmId | None],
    ) -> None:
        self._mesh = mesh
        self._submit = submit
        self._quiesce = quiesce
        self._deactivate = deactivate
        self._vm_of = vm_of
        self._quiescing: dict[PartitionId, Deferred[None]] = {}
        self._released: set[PartitionId] = set()

    @property
    def released(self) -> frozenset[PartitionId]:
        """The partitions whose release was written, read back or not."""
        return frozenset(self._released)

    def in_progress(self) -> frozenset[PartitionId]:
        """Returns the partitions with a handover in progress."""
        return frozenset(self._quiescing) | frozenset(self._released)

    def begin(
        self, partition: PartitionId, epoch: Offset, successor: SessionId
    ) -> None:
        """Starts to hand a partition over to a session."""
        waiting: Deferred[None] = self._quiesce(partition).addCallback(
            self._quiesced, partition, epoch, successor
        )
        if not waiting.called:
            self._quiescing[partition] = waiting
        waiting.addErrback(self._failed, partition)

    def forget(self, partition: PartitionId) -> None:
        """Drops a partition that another session owns now."""
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
        if not self._deactivate(partition):
            return
        self._released.add(partition)
        release = PartitionReleased(partition, epoch, successor)
        written = self._submit(release)
        written.addCallback(
            self._on_release_written, partition, epoch, successor, programs
        )
        written.addErrback(self._failed, partition)

    def _on_release_written(
        self,
        result: WriteResult,
        partition: PartitionId,
        epoch: Offset,
        successor: SessionId,
        programs: dict[str, bytes],
    ) -> None:
        vm = self._vm_of(successor)
        if not result.verdict.accepted or vm is None:
            return
        for states, last in _frames(programs):
            message = PartitionGiven(
                partition, epoch, result.offset, states, last
            )
            if not self._mesh.send(vm, message):
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
class ReceivedState:
    """Live state received for a partition.

    Attributes:
        epoch: The sender's claim offset.
        programs: Live state by top-level program.
        complete: Whether the last frame has arrived.
    """

    epoch: Offset
    programs: dict[str, bytes] = field(default_factory=dict)
    complete: bool = False


class HandoverReceiver:
    """Receives partitions that others release to this session.

    Args:
        mesh: Connections to the peers.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._state_by_partition: dict[PartitionId, ReceivedState] = {}
        self._released_at: dict[PartitionId, float] = {}
        self._sender_by_partition: dict[PartitionId, VmId] = {}

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Stores a frame of live state."""
        received = self._state_by_partition.get(message.partition)
        if received is None or received.epoch != message.epoch:
            received = ReceivedState(message.epoch)
            self._state_by_partition[message.partition] = received
        for state in message.programs:
            received.programs[state.program] = state.data
        received.complete = message.last
        self._sender_by_partition[message.partition] = peer

    def on_released(self, partition: PartitionId, now: float) -> None:
        """Records the release of a partition to this session."""
        self._released_at.setdefault(partition, now)

    def ready(self, now: float) -> list[PartitionId]:
        """Returns the partitions whose state is complete or overdue."""
        found: list[PartitionId] = []
        for partition, released_at in self._released_at.items():
            received = self._state_by_partition.get(partition)
            complete = received is not None and received.complete
            if complete or now - released_at >= STATE_WAIT_LIMIT_S:
                found.append(partition)
        return found

    def finish(
        self, partition: PartitionId, previous: Offset
    ) -> ReceivedState | None:
        """Ends a handover and returns the state if it is complete.

        Args:
            partition: The partition, now claimed by this session.
            previous: The epoch under which it was released.
        """
        self._released_at.pop(partition, None)
        received = self._state_by_partition.pop(partition, None)
        if (
            received is None
            or not received.complete
            or received.epoch != previous
        ):
            return None
        return received

    def confirm_taken(self, partition: PartitionId, claim: Claim) -> None:
        """Tells the sender that the partition has been claimed."""
        sender = self._sender_by_partition.pop(partition, None)
        if sender is not None:
            self._mesh.send(sender, PartitionTaken(partition, claim.epoch))

    def forget(self, partition: PartitionId) -> None:
        """Drops a handover that was not completed."""
        self._released_at.pop(partition, None)
        self._state_by_partition.pop(partition, None)
        self._sender_by_partition.pop(partition, None)


def _frames(
    programs: dict[str, bytes],
) -> Iterator[tuple[tuple[ProgramState, ...], bool]]:
    """Yields programs' states in frames of bounded size.

    The flag marks the last frame; it is sent even if it is empty.
    """
    states: list[ProgramState] = []
    size = 0
    for program, data in programs.items():
        if states and size + len(data) > HANDOVER_FRAME_BYTES:
            yield tuple(states), False
            states, size = [], 0
        states.append(ProgramState(program, data))
        size += len(data)
    yield tuple(states), True
