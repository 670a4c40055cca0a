"""Grants tokens as a deciding VM while the store is unavailable."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ..ids import ProgramId
from .outages.ledger_gap import LedgerGap
from .token_ledger import HolderId, TokenLedger, TurnRef
from .unrecorded_grants import TurnGrant, UnrecordedGrants

__all__ = [
    "OutageAllocator",
    "OutageDecision",
    "budget_without_lost_grants",
    "outage_allowance",
]

OUTAGE_BUDGET_SHARE = 0.5
"""Maximum share of a budget that may be granted without the store."""


def outage_allowance(budget: int, max_tokens: int) -> int:
    """Returns the tokens that may be granted without the store.

    Args:
        budget: The program's budget.
        max_tokens: Maximum tokens of a turn.
    """
    return max(max_tokens, int(budget * OUTAGE_BUDGET_SHARE))


def budget_without_lost_grants(budget: int, max_tokens: int) -> int:
    """Returns the part of a budget that is free if grants were lost.

    Since the result includes one turn more, the program can exceed its budget
    by at most one turn.

    Args:
        budget: The program's budget.
        max_tokens: Maximum tokens of a turn.
    """
    lost = outage_allowance(budget, max_tokens)
    return min(budget, budget - lost + max_tokens)


class OutageDecision(Enum):
    """Outcome of a reservation at a deciding VM.

    Attributes:
        GRANTED: The turn may start.
        SPENT: The budget is used up.
        WAIT: The turn can't be granted until the store is available again.
    """

    GRANTED = "granted"
    SPENT = "spent"
    WAIT = "wait"


class OutageAllocator:
    """Grants tokens to all VMs, as far as the ledger leaves them free.

    Args:
        ledger: Allocations recorded up to the outage.
        grants: Receives the grants. Those of earlier outages that are not
            recorded yet count as well.
        ledger_gap: Returns whose records before the outage ``ledger`` may
            lack. If it may lack any, up to the whole budget, a program gets no
            more than one turn beyond that.
        may_have_lost_grants: Returns whether grants of a program in an earlier
            outage may be lost; their maximum is left out.
    """

    def __init__(
        self,
        ledger: TokenLedger,
        grants: UnrecordedGrants,
        *,
        ledger_gap: Callable[[], LedgerGap],
        may_have_lost_grants: Callable[[ProgramId], bool],
    ) -> None:
        self._ledger = ledger
        self._grants = grants
        self._ledger_gap = ledger_gap
        self._may_have_lost_grants = may_have_lost_grants
        self._closed_by: dict[ProgramId, set[HolderId]] = {}
        self._reported_limits: dict[ProgramId, int] = {}

    def reserve(
        self,
        program: ProgramId,
        holder: HolderId,
        turn: int,
        *,
        max_tokens: int,
        budget: int,
        recorded_limit: int,
        now: float,
    ) -> OutageDecision:
        """Decides on a turn of any VM.

        Args:
            program: The program.
            holder: The VM that asks.
            turn: The turn.
            max_tokens: Maximum tokens that the turn generates.
            budget: The program's token budget.
            recorded_limit: Tokens allocated to the program in the ledger, as
                far as the asking VM has read it.
            now: Current time.
        """
        grant = TurnGrant(program, TurnRef(holder, turn), max_tokens)
        if self._grants.has(program, grant.turn):
            return OutageDecision.GRANTED
        reported_limit = max(
            recorded_limit, self._reported_limits.get(program, 0)
        )
        self._reported_limits[program] = reported_limit
        if self._is_closed(program, holder):
            return OutageDecision.WAIT
        recorded = self._ledger.total(program)
        required = self._grants.tokens(program) + max_tokens
        if recorded.committed + required > budget:
            return OutageDecision.SPENT
        # One turn may be granted whatever the gap; more, up to the outage
        # allowance, only if one VM's records at most are missing. As much is
        # then held back for them as for lost grants. A budget can't hold back
        # both, so a doubtful program with a gap gets one turn.
        usable = budget
        doubtful = self.is_doubtful(program)
        if doubtful:
            usable = budget_without_lost_grants(budget, max_tokens)
        total = max(recorded.limit, reported_limit) + required
        fits = required <= max_tokens and total <= usable
        gap = self.ledger_gap
        if gap is LedgerGap.ONE_VM and not doubtful:
            usable = budget_without_lost_grants(budget, max_tokens)
        may_grant_several = gap is LedgerGap.NONE or (
            gap is LedgerGap.ONE_VM and not doubtful
        )
        if may_grant_several and required <= outage_allowance(
            budget, max_tokens
        ):
            fits = fits or total <= usable
        if not fits:
            return OutageDecision.WAIT
        self._grants.add(grant, now=now)
        return OutageDecision.GRANTED

    @property
    def ledger_gap(self) -> LedgerGap:
        """Whose records before the outage the ledger may lack."""
        return self._ledger_gap()

    def is_doubtful(self, program: ProgramId) -> bool:
        """Returns whether an earlier outage may have left grants unknown."""
        if self._ledger.total(program).maybe_incomplete:
            return True
        return self._may_have_lost_grants(program)

    def is_closed(self, program: ProgramId) -> bool:
        """Returns whether a VM has asked to stop granting a program."""
        return bool(self._closed_by.get(program))

    def close_program(self, program: ProgramId, holder: HolderId) -> None:
        """Stops granting tokens of a program.

        Granting resumes once every VM that has asked to stop asks for tokens
        again: by then it has lost the store again and has reported what it
        recorded meanwhile.

        Args:
            program: The program.
            holder: The VM that continues by the ledger.
        """
        self._closed_by.setdefault(program, set()).add(holder)

    def end_outage(self) -> None:
        """Forgets what other VMs have said in the outage."""
        self._closed_by.clear()
        self._reported_limits.clear()

    def _is_closed(self, program: ProgramId, holder: HolderId) -> bool:
        closed_by = self._closed_by.get(program)
        if closed_by is None:
            return False
        closed_by.discard(holder)
        return bool(closed_by)
