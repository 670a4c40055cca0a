"""The interfaces of the parts that a cell's fold is made of."""

from __future__ import annotations

from abc import abstractmethod

from .claims import Claims
from .fold import FoldPart, Verdict
from .ids import Offset, PartitionId, SessionId
from .records import CellRecord

__all__ = ["LedgerPart", "PortionsPart"]


class LedgerPart(FoldPart):
    """The part that keeps programs, budgets and intents."""

    @abstractmethod
    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        """Takes a record of a live session.

        Args:
            offset: Where the record is.
            writer: Who wrote it.
            body: What it says.
            claims: Who owns which partition at this offset.
        """


class PortionsPart(FoldPart):
    """The part that keeps the portions of accounts' shared limits."""

    @abstractmethod
    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Takes a record of a live session."""

    def session_ended(self, session: SessionId) -> None:
        """Hears that a session left or was deposed.

        Args:
            session: Whose portions without a time window come back.
        """
