"""Outcomes of a reservation of tokens."""

from __future__ import annotations

from enum import Enum

__all__ = ["ReservationDecision"]


class ReservationDecision(Enum):
    """Outcome of a token reservation.

    Attributes:
        GRANTED: The turn may start.
        SPENT: The budget is used up.
        HELD_ELSEWHERE: The tokens left are allocated to other VMs.
        UNPROVEN: The tokens left may have been granted in an outage without a
            record.
        RECOVERING: Grants of an outage may still be missing in the ledger.
        NEEDS_RECORD: The turn waits until a new allocation is recorded.
    """

    GRANTED = "granted"
    SPENT = "spent"
    HELD_ELSEWHERE = "held_elsewhere"
    UNPROVEN = "unproven"
    RECOVERING = "settling"
    NEEDS_RECORD = "needs_record"
