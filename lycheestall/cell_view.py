"""Interfaces between a cell agent and the code that depends on it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .fold import Verdict
from .ids import Offset, PartitionId, SessionId, VmId
from .outcomes import Refused
from .records import CellRecord

__all__ = ["CellView", "PartitionWatcher", "WriteResult"]


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of writing a record.

    Attributes:
        offset: The record's offset, -1 if it is not in the log.
        verdict: Whether the fold accepted the record.
    """

    offset: Offset
    verdict: Verdict


class PartitionWatcher(ABC):
    """Is notified of partitions that this VM gains and loses."""

    @abstractmethod
    def partition_gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """This VM now owns the partition.

        Args:
            partition: The partition.
            epoch: The claim's offset.
            program_states: Live state by top-level program, from a
                graceful handover; empty after a takeover.
            may_miss_programs: Whether the previous owner may have opened
                programs that are not recorded in the log.
        """

    @abstractmethod
    def partition_lost(self, partition: PartitionId) -> None:
        """This VM no longer owns the partition."""

    @abstractmethod
    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Stops dispatch in a partition, to prepare its handover.

        From now on, new calls of the partition are held or refused. The
        result fires when no dispatch is in flight, with the live state
        by top-level program.
        """


class CellView(ABC):
    """A VM's view of its cell."""

    @property
    @abstractmethod
    def session(self) -> SessionId:
        """This daemon's newest session."""

    @abstractmethod
    def owner_of(self, partition: PartitionId) -> VmId | None:
        """Returns the VM that owns a partition, None if there is none."""

    @abstractmethod
    def epoch_of(self, partition: PartitionId) -> Offset:
        """Returns the offset of the newest claim, -1 if there is none."""

    @abstractmethod
    def refusal(self, partition: PartitionId) -> Refused | None:
        """Returns why this VM may not act on a partition right now.

        The lease may expire at any time: call this right before each
        write to a target's socket and don't keep the result.
        """

    @abstractmethod
    def log_unresponsive(self) -> bool:
        """Returns whether own records are not read back from the log."""

    @abstractmethod
    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        """Writes a record; the result fires when it is read back.

        Cancelling the result doesn't stop the record from taking effect.
        """
