"""Two daemons claim one partition; the first claim in the log wins.

Run with ``python examples/claim_race.py``.
"""

from __future__ import annotations

from lycheestall.coordination import CellFold, Ledger, Portions
from lycheestall.ids import Offset, PartitionId, SessionId, VmId, ZoneId
from lycheestall.records import (
    NO_OFFSET,
    PartitionClaimed,
    Record,
    SessionJoined,
)


def session_joined(vm: str) -> SessionJoined:
    """Returns the record body that starts a session on a VM."""
    return SessionJoined(VmId(vm), ZoneId("bhuj-a"), "127.0.0.1", 1, "0.1.0")


def main() -> None:
    """Folds a short log and prints whether each record was accepted."""
    fold = CellFold(Ledger(), Portions())
    first, second = SessionId("vm-1.a"), SessionId("vm-2.a")
    claim = PartitionClaimed(PartitionId(7), NO_OFFSET)
    log = [
        Record(first, 1, session_joined("vm-1")),
        Record(second, 1, session_joined("vm-2")),
        Record(first, 2, claim),
        Record(second, 2, claim),
        Record(first, 2, claim),
    ]
    for offset, record in enumerate(log):
        verdict = fold.apply(Offset(offset), record)
        result = (
            "accepted" if verdict.accepted else f"refused: {verdict.reason}"
        )
        print(offset, record.writer, type(record.body).__name__, result)
    print("fencing number:", fold.claims.epoch(PartitionId(7)))


if __name__ == "__main__":
    main()
