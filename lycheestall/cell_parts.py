"""Interfaces of the parts of a cell's fold."""

from __future__ import annotations

from abc import abstractmethod

from .claims import Claims
from .fold import FoldPart, Verdict
from .ids import Offset, PartitionId, SessionId
from .records import CellRecord

__all__ = ["LedgerPart", "PortionsPart"]


class LedgerPart(FoldPart):
    """The part for programs, budgets and intents."""

    @abstractmethod
    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        """Applies a record of a live session.

        Args:
            offset: The record's offset.
            writer: The session that wrote it.
            body: The record.
            claims: The partitions' owners at this offset.
        """


class PortionsPart(FoldPart):
    """The part for the portions of accounts' shared limits."""

    @abstractmethod
    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Applies a record of a live session."""

    def session_ended(self, session: SessionId) -> None:
        """Returns a session's portions after it left or was deposed.

        Args:
            session: The session whose portions without a time window
                become available again.
        """
