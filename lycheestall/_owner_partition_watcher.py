"""Forwards changes of partition ownership to the program owner."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from .cell_view import PartitionWatcher
from .ids import Offset, PartitionId
from .program_owner import ProgramOwner

__all__ = ["OwnerPartitionWatcher"]


class OwnerPartitionWatcher(PartitionWatcher):
    """Tells the program owner which partitions it has gained and lost.

    Args:
        owner: Returns the program owner, which needs the cell's agent and is
            built after it.
    """

    def __init__(self, owner: Callable[[], ProgramOwner]) -> None:
        self._owner = owner

    def partition_gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """Lets the owner serve a partition's programs."""
        self._owner().partition_gained(
            partition,
            epoch,
            program_states=program_states,
            may_miss_programs=may_miss_programs,
        )

    def partition_lost(self, partition: PartitionId) -> None:
        """Ends the owner's work on a partition."""
        self._owner().partition_lost(partition)

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Returns the states of a partition's programs to hand over."""
        return self._owner().quiesce(partition)
