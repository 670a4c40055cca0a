"""Why a turn's tokens could not be reserved or refused for good."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..token_allocator import TurnId

__all__ = ["BudgetRefusal", "BudgetRefusals", "RefusalReason"]

MAX_NOTES = 500
"""Turns whose reasons are kept until they are refused."""

_AGE_LABELS = ((0.3, "0.3"), (1.0, "1"), (3.0, "3"))


class RefusalReason(Enum):
    """What was missing to check a program's budget.

    Attributes:
        STORE_SLOW: A reply of the store, which counts as available.
        NO_AGREEMENT: The agreement of a majority that the store is away.
        AGREEMENT_EXPIRED: A renewed agreement; the majority is out of reach.
        DECIDER_SILENT: A reply of the program's deciding VM.
        DECLINED: The deciding VM's consent; it may lack records, or the tokens
            that may be granted without the ledger are used up.
    """

    STORE_SLOW = "store_slow"
    NO_AGREEMENT = "no_agreement"
    AGREEMENT_EXPIRED = "agreement_expired"
    DECIDER_SILENT = "decider_silent"
    DECLINED = "declined"


@dataclass(frozen=True, slots=True)
class BudgetRefusal:
    """A turn that was refused because its budget could not be checked.

    Attributes:
        reason: What was missing.
        age_s: Seconds since the store became unavailable; 0 if it is not.
    """

    reason: RefusalReason
    age_s: float

    @property
    def age_label(self) -> str:
        """The upper bound in seconds of the age's class, for metrics."""
        for bound_s, label in _AGE_LABELS:
            if self.age_s <= bound_s:
                return label
        return "more"


class BudgetRefusals:
    """Remembers what deciding VMs replied until the turns are refused."""

    def __init__(self) -> None:
        self._reason_by_turn: OrderedDict[TurnId, RefusalReason] = (
            OrderedDict()
        )

    def note(self, turn: TurnId, reason: RefusalReason) -> None:
        """Notes what was missing for a turn."""
        self._reason_by_turn[turn] = reason
        if len(self._reason_by_turn) > MAX_NOTES:
            self._reason_by_turn.popitem(last=False)

    def take(self, turn: TurnId) -> RefusalReason | None:
        """Returns and forgets what was missing, None if nothing was noted."""
        return self._reason_by_turn.pop(turn, None)
