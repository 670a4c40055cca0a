"""Tests of when old programs are dropped."""

from __future__ import annotations

from lycheestall.forgetting import LEAST_STEP_MS, due_forgetting
from lycheestall.ids import AccountId, PartitionId, ProgramId
from lycheestall.ledger import Ledger
from lycheestall.ledger_program import LedgerProgram
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


def test_old_programs_go_after_the_keeping_time() -> None:
    ledger = ledger_of(*[HOUR_MS] * 5)
    found = due_forgetting(ledger, wall_ms=HOUR_MS + 5, keep_s=KEEP_S)
    assert found == Forgotten(HOUR_MS - 100_000)


def test_one_clock_ahead_forgets_nothing() -> None:
    ledger = ledger_of(*[LEAST_STEP_MS] * 5, 1000 * HOUR_MS)
    ahead = 1000 * HOUR_MS
    assert due_forgetting(ledger, wall_ms=ahead, keep_s=KEEP_S) is None


def test_small_steps_are_not_worth_a_record() -> None:
    ledger = ledger_of(*[HOUR_MS] * 5)
    ledger.forgotten_before_ms = HOUR_MS - LEAST_STEP_MS
    assert due_forgetting(ledger, wall_ms=HOUR_MS, keep_s=KEEP_S) is None


def test_an_empty_state_has_nothing_to_forget() -> None:
    assert due_forgetting(Ledger(), wall_ms=HOUR_MS, keep_s=KEEP_S) is None
