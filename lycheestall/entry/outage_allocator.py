"""Grants tokens as a deciding VM while the store is unavailable."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ProgramId
from .token_ledger import HolderId, TokenLedger

__all__ = [
    "OutageAllocator",
    "OutageDecision",
    "OutageGrant",
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


@dataclass(frozen=True, slots=True)
class OutageGrant:
    """Tokens of one program that were granted to one VM."""

    program: ProgramId
    holder: HolderId
    tokens: int


@dataclass(slots=True)
class _ProgramGrants:
    """Grants of one program.

    Attributes:
        used_by_holder: Tokens of ended turns, by the VM that ran them.
        reserved_by_turn: Maximum tokens of each running turn, by VM and turn.
    """

    used_by_holder: dict[HolderId, int] = field(default_factory=dict)
    reserved_by_turn: dict[tuple[HolderId, int], int] = field(
        default_factory=dict
    )

    def total(self) -> int:
        """Returns the tokens used or reserved."""
        return sum(self.used_by_holder.values()) + sum(
            self.reserved_by_turn.values()
        )

    def tokens_by_holder(self) -> dict[HolderId, int]:
        """Returns the tokens used or reserved, by the turns' VM."""
        tokens = dict(self.used_by_holder)
        for (holder, _), max_tokens in self.reserved_by_turn.items():
            tokens[holder] = tokens.get(holder, 0) + max_tokens
        return tokens


class OutageAllocator:
    """Grants tokens to all VMs and keeps the grants until they are recorded.

    If the next outage begins before all grants of the last one are recorded,
    they are all added to the ledger's figures: those already recorded count
    twice, so that none is missed.

    Args:
        ledger: Allocations recorded up to the outage.
    """

    def __init__(self, ledger: TokenLedger) -> None:
        self._ledger = ledger
        self._by_program: dict[ProgramId, _ProgramGrants] = {}
        self._closed_by: dict[ProgramId, set[HolderId]] = {}
        self._reported_limits: dict[ProgramId, int] = {}
        self._previous_tokens: dict[ProgramId, int] = {}

    def reserve(
        self,
        program: ProgramId,
        holder: HolderId,
        turn: int,
        *,
        max_tokens: int,
        budget: int,
        recorded_limit: int,
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
        """
        program_grants = self._by_program.setdefault(program, _ProgramGrants())
        if (holder, turn) in program_grants.reserved_by_turn:
            return OutageDecision.GRANTED
        reported_limit = max(
            recorded_limit, self._reported_limits.get(program, 0)
        )
        self._reported_limits[program] = reported_limit
        if self._is_closed(program, holder):
            return OutageDecision.WAIT
        recorded = self._ledger.total(program)
        required = program_grants.total() + max_tokens
        if recorded.committed + required > budget:
            return OutageDecision.SPENT
        required += self._previous_tokens.get(program, 0)
        if (
            required > outage_allowance(budget, max_tokens)
            or max(recorded.limit, reported_limit) + required > budget
        ):
            return OutageDecision.WAIT
        program_grants.reserved_by_turn[(holder, turn)] = max_tokens
        return OutageDecision.GRANTED

    def settle(
        self, program: ProgramId, holder: HolderId, turn: int, used: int
    ) -> None:
        """Replaces a turn's reservation by the tokens that it used."""
        program_grants = self._by_program.get(program)
        if (
            program_grants is None
            or program_grants.reserved_by_turn.pop((holder, turn), None)
            is None
        ):
            return
        program_grants.used_by_holder[holder] = (
            program_grants.used_by_holder.get(holder, 0) + used
        )

    def import_grants(self, grants: Iterable[OutageGrant]) -> None:
        """Takes over the grants of a VM that shuts down."""
        for grant in grants:
            program_grants = self._by_program.setdefault(
                grant.program, _ProgramGrants()
            )
            used = program_grants.used_by_holder.get(grant.holder, 0)
            program_grants.used_by_holder[grant.holder] = used + grant.tokens

    def grants(self) -> list[OutageGrant]:
        """Returns the tokens granted to each VM for each program."""
        return [
            OutageGrant(program, holder, tokens)
            for program, program_grants in self._by_program.items()
            for holder, tokens in program_grants.tokens_by_holder().items()
            if tokens
        ]

    def close_program(self, program: ProgramId, holder: HolderId) -> int:
        """Stops granting tokens of a program.

        Granting resumes once every VM that has asked to stop asks for tokens
        again: by then it has lost the store again and has reported what it
        recorded meanwhile.

        Args:
            program: The program.
            holder: The VM that continues by the ledger.

        Returns:
            All tokens granted to the program; some may be recorded by now.
        """
        self._closed_by.setdefault(program, set()).add(holder)
        program_grants = self._by_program.get(program)
        granted = 0 if program_grants is None else program_grants.total()
        return granted + self._previous_tokens.get(program, 0)

    def end_outage(self) -> None:
        """Reduces the grants of the ended outage to a total per program."""
        for program, program_grants in self._by_program.items():
            previous = self._previous_tokens.get(program, 0)
            self._previous_tokens[program] = previous + program_grants.total()
        self._by_program.clear()
        self._closed_by.clear()
        self._reported_limits.clear()

    def forget_previous(self) -> None:
        """Drops the totals of earlier outages, which are recorded now."""
        self._previous_tokens.clear()

    def _is_closed(self, program: ProgramId, holder: HolderId) -> bool:
        closed_by = self._closed_by.get(program)
        if closed_by is None:
            return False
        closed_by.discard(holder)
        return bool(closed_by)
