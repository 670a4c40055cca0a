"""Tests of when old programs are dropped from the ledger."""

from __future__ import annotations

from lycheestall.ids import AccountId, PartitionId, ProgramId
from lycheestall.ledger import Ledger
from lycheestall.ledger_program import LedgerProgram
from lycheestall.ledger_retention import MIN_STEP_MS, due_forgotten_record
from lycheestall.records import Forgotten

KEEP_S = 100.0
HOUR_MS = 3_600_000


def ledger_of(*opened_ms: int) -> Ledger:
    ledger = Ledger()
    for index, at in enumerate(opened_ms):
        ledger.program_by_id[ProgramId(f"a:p{index}")] = LedgerProgram(
            AccountId("a"), "", PartitionId(0), at
        )
    return ledger


def test_old_programs_are_dropped_after_keep_time() -> None:
    ledger = ledger_of(*[HOUR_MS] * 5)
    found = due_forgotten_record(ledger, wall_ms=HOUR_MS + 5, keep_s=KEEP_S)
    assert found == Forgotten(HOUR_MS - 100_000)


def test_single_fast_clock_drops_nothing() -> None:
    ledger = ledger_of(*[MIN_STEP_MS] * 5, 1000 * HOUR_MS)
    ahead = 1000 * HOUR_MS
    assert due_forgotten_record(ledger, wall_ms=ahead, keep_s=KEEP_S) is None


def test_small_step_writes_no_record() -> None:
    ledger = ledger_of(*[HOUR_MS] * 5)
    ledger.forgotten_before_ms = HOUR_MS - MIN_STEP_MS
    assert due_forgotten_record(ledger, wall_ms=HOUR_MS, keep_s=KEEP_S) is None


def test_empty_ledger_writes_no_record() -> None:
    assert (
        due_forgotten_record(Ledger(), wall_ms=HOUR_MS, keep_s=KEEP_S) is None
    )
