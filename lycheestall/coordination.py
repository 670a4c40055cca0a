"""The coordination parts, for programs that embed them.

All are pure: they take events and the time and return typed values. The
log, the clock and the sockets stay with the embedding program.
"""

from __future__ import annotations

from .authority import Authority
from .budget import Budget
from .cell_fold import CellFold
from .claims import Claims
from .fold import Fold, Verdict
from .ledger import Ledger
from .membership import Membership
from .ownership import Holdings, Ownership
from .portions import Portions
from .rules_fold import RulesFold
from .sequencer import Sequencer
from .sessions import Sessions

__all__ = [
    "Authority",
    "Budget",
    "CellFold",
    "Claims",
    "Fold",
    "Holdings",
    "Ledger",
    "Membership",
    "Ownership",
    "Portions",
    "RulesFold",
    "Sequencer",
    "Sessions",
    "Verdict",
]
