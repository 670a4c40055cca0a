"""What a VM's copy of the ledger may lack in an outage."""

from __future__ import annotations

from enum import Enum

__all__ = ["LedgerGap", "UNREAD_WINDOW_S"]

UNREAD_WINDOW_S = 0.7
"""Seconds in which a VM's records of one program allocate at most half of the
budget, unless another VM has read them. With a dozen VMs that read the ledger
every 1.5 to 2 s, one of them has nearly always done so within this time."""


class LedgerGap(Enum):
    """Whose records may be missing.

    Attributes:
        NONE: Nobody's.
        ONE_VM: Those of one silent VM from its last ``UNREAD_WINDOW_S``; they
            allocate at most half of a program's budget.
        MANY: Any.
    """

    NONE = "none"
    ONE_VM = "one vm"
    MANY = "many"
