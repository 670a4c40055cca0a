"""Stand-ins of the cell's parts that other modules bring."""

from __future__ import annotations

from typing import Any

from lycheestall.cell_parts import LedgerPart, PortionsPart
from lycheestall.claims import Claims
from lycheestall.fold import Verdict
from lycheestall.ids import Offset, PartitionId, SessionId
from lycheestall.records import CellRecord, IntentRecorded


class RecordingLedger(LedgerPart):
    """Accepts an intent only from its partition's holder; keeps offsets."""

    def __init__(self) -> None:
        self.taken: list[int] = []

    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        """Takes a record."""
        if isinstance(body, IntentRecorded) and not claims.holds(
            body.partition, writer, body.epoch
        ):
            return Verdict(False, "not the holder")
        self.taken.append(offset)
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state."""
        return list(self.taken)

    def load(self, state: Any) -> None:
        """Replaces the state."""
        self.taken = list(state)


class RecordingPortions(PortionsPart):
    """Accepts everything; keeps offsets."""

    def __init__(self) -> None:
        self.taken: list[int] = []

    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Takes a record."""
        self.taken.append(offset)
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state."""
        return list(self.taken)

    def load(self, state: Any) -> None:
        """Replaces the state."""
        self.taken = list(state)
