"""Fakes of the fold parts that other modules implement."""

from __future__ import annotations

from typing import Any

from lycheestall.cell_parts import LedgerPart, PortionsPart
from lycheestall.claims import Claims
from lycheestall.fold import Verdict
from lycheestall.ids import Offset, PartitionId, SessionId
from lycheestall.records import CellRecord, IntentRecorded


class RecordingLedger(LedgerPart):
    """Records offsets; accepts intents only from the partition's owner."""

    def __init__(self) -> None:
        self.applied: list[int] = []

    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        """Applies a record."""
        if isinstance(body, IntentRecorded) and not claims.holds(
            body.partition, writer, body.epoch
        ):
            return Verdict(False, "not the owner")
        self.applied.append(offset)
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state."""
        return list(self.applied)

    def load(self, state: Any) -> None:
        """Replaces the state."""
        self.applied = list(state)


class RecordingPortions(PortionsPart):
    """Records offsets; accepts every record."""

    def __init__(self) -> None:
        self.applied: list[int] = []

    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Applies a record."""
        self.applied.append(offset)
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state."""
        return list(self.applied)

    def load(self, state: Any) -> None:
        """Replaces the state."""
        self.applied = list(state)
