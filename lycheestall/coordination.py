"""The coordination logic as a library, for programs that embed it.

The classes do no I/O: they take events and the current time and return
typed values. The embedding program provides the log, the clock and the
sockets.
"""

from __future__ import annotations

from .authority import Authority
from .budget import Budget
from .cell_fold import CellFold
from .claims import Claims
from .fold import Fold, Verdict
from .ledger import Ledger
from .membership import Membership
from .ownership import HeldPartitions, OwnershipPlanner
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
    "HeldPartitions",
    "Ledger",
    "Membership",
    "OwnershipPlanner",
    "Portions",
    "RulesFold",
    "Sequencer",
    "Sessions",
    "Verdict",
]
