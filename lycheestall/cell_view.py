"""What the owner of programs and the router ask of their cell."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .fold import Verdict
from .ids import Offset, PartitionId, SessionId, VmId
from .outcomes import Refused
from .records import CellRecord

__all__ = ["CellView", "Folded", "PartitionWatcher"]


@dataclass(frozen=True, slots=True)
class Folded:
    """A record of one's own, read back from the log.

    Attributes:
        offset: Where it is.
        verdict: What the fold made of it.
    """

    offset: Offset
    verdict: Verdict


class PartitionWatcher(ABC):
    """Hears of partitions that this VM gains and loses."""

    @abstractmethod
    def gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        handed: dict[str, bytes],
        unproven: bool,
    ) -> None:
        """This VM now owns the partition.

        Args:
            partition: Which.
            epoch: The claim's offset.
            handed: Live state by top-level program, from a graceful
                handover; empty after a takeover.
            unproven: Whether the former owner may have opened programs
                that never reached the log.
        """

    @abstractmethod
    def lost(self, partition: PartitionId) -> None:
        """Another session owns the partition now."""

    @abstractmethod
    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Prepares a handover.

        New calls of the partition are held or refused from now on;
        the result, when no dispatch is in flight any more, is the
        live state by top-level program.
        """


class CellView(ABC):
    """A VM's view of its cell."""

    @property
    @abstractmethod
    def session(self) -> SessionId:
        """This daemon's session."""

    @abstractmethod
    def owner_of(self, partition: PartitionId) -> VmId | None:
        """Returns the VM that owns a partition, None while nobody does."""

    @abstractmethod
    def epoch_of(self, partition: PartitionId) -> Offset:
        """Returns the partition's newest claim, -1 when there is none."""

    @abstractmethod
    def refusal(self, partition: PartitionId) -> Refused | None:
        """Returns why this VM may not act on a partition right now.

        Reads the monotonic clock; call it right before each write to a
        target's socket and do not keep the result.
        """

    @abstractmethod
    def log_silent(self) -> bool:
        """Returns whether records are not coming back from the log."""

    @abstractmethod
    def submit(self, body: CellRecord) -> Deferred[Folded]:
        """Writes a record and waits until it is read back.

        The Deferred can be cancelled; the record may still take effect.
        """
