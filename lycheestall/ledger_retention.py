"""Decides when old programs are dropped from the ledger."""

from __future__ import annotations

from heapq import nlargest

from .ledger import Ledger
from .records import Forgotten

__all__ = [
    "due_forgotten_record",
]

SAMPLED_PROGRAMS = 101
MIN_STEP_MS = 600_000


def due_forgotten_record(
    ledger: Ledger, *, wall_ms: int, keep_s: float
) -> Forgotten | None:
    """Returns the record that drops old programs, if it is due.

    A single clock that runs fast must not drop programs that are still
    needed. The time is therefore capped at the median opening time of
    the newest programs, which were stamped by many VMs.

    Args:
        ledger: The folded state of programs.
        wall_ms: This VM's wall clock, milliseconds since 1970.
        keep_s: How long programs and keys are kept, in seconds.
    """
    opened = [program.opened_ms for program in ledger.program_by_id.values()]
    newest = nlargest(SAMPLED_PROGRAMS, opened)
    if not newest:
        return None
    median_ms = newest[len(newest) // 2]
    before_ms = min(wall_ms, median_ms) - int(keep_s * 1000)
    if before_ms < ledger.forgotten_before_ms + MIN_STEP_MS:
        return None
    return Forgotten(before_ms)
