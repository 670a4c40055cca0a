"""When old programs are dropped from the folded state."""

from __future__ import annotations

from heapq import nlargest

from .ledger import Ledger
from .records import Forgotten

__all__ = ["due_forgetting"]

WITNESSES = 101
LEAST_STEP_MS = 600_000


def due_forgetting(
    ledger: Ledger, *, wall_ms: int, keep_s: float
) -> Forgotten | None:
    """Returns the record that drops old programs, if it is due.

    One clock that runs ahead must not drop what is still needed, so the
    time counts only as far as the middle of the newest programs bears
    it out; many VMs have stamped those.

    Args:
        ledger: The folded state of programs.
        wall_ms: This VM's wall clock, milliseconds since 1970.
        keep_s: How long programs and keys are kept, in seconds.
    """
    opened = [program.opened_ms for program in ledger.program_by_id.values()]
    newest = nlargest(WITNESSES, opened)
    if not newest:
        return None
    witnessed_ms = newest[len(newest) // 2]
    before_ms = min(wall_ms, witnessed_ms) - int(keep_s * 1000)
    if before_ms < ledger.forgotten_before_ms + LEAST_STEP_MS:
        return None
    return Forgotten(before_ms)
