"""Tokens granted by a deciding VM while the store is away."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..ids import ProgramId
from .token_ledger import HolderId, TokenLedger

__all__ = ["OutageBooks", "OutageDecision"]

OUTAGE_SHARE = 0.5
"""Largest part of a budget that may be granted without the store."""


class OutageDecision(Enum):
    """What a turn is told while the store is away."""

    GRANTED = "granted"
    SPENT = "spent"
    WAIT = "wait"


@dataclass(slots=True)
class _Book:
    """One program.

    Attributes:
        handed_by: Tokens of ended turns, by the VM that ran them.
        running: Most tokens of each running turn.
        taken_over: Tokens that a VM which stopped had granted.
    """

    handed_by: dict[HolderId, int] = field(default_factory=dict)
    running: dict[tuple[HolderId, int], int] = field(default_factory=dict)
    taken_over: int = 0

    def total(self) -> int:
        """Tokens handed out or promised."""
        return (
            sum(self.handed_by.values())
            + sum(self.running.values())
            + self.taken_over
        )


class OutageBooks:
    """What this VM has granted as decider in one outage.

    Args:
        ledger: The records up to the outage.
    """

    def __init__(self, ledger: TokenLedger) -> None:
        self._ledger = ledger
        self._by_program: dict[ProgramId, _Book] = {}

    def ask(
        self,
        program: ProgramId,
        holder: HolderId,
        turn: int,
        *,
        most: int,
        budget: int,
    ) -> OutageDecision:
        """Decides on a turn of any VM."""
        book = self._by_program.setdefault(program, _Book())
        if (holder, turn) in book.running:
            return OutageDecision.GRANTED
        recorded = self._ledger.total(program)
        need = book.total() + most
        if recorded.committed + need > budget:
            return OutageDecision.SPENT
        allowed = max(most, int(budget * OUTAGE_SHARE))
        if need > allowed or recorded.limit + need > budget:
            return OutageDecision.WAIT
        book.running[(holder, turn)] = most
        return OutageDecision.GRANTED

    def settle(
        self, program: ProgramId, holder: HolderId, turn: int, handed: int
    ) -> None:
        """Ends a turn."""
        book = self._by_program.get(program)
        if book is None or book.running.pop((holder, turn), None) is None:
            return
        book.handed_by[holder] = book.handed_by.get(holder, 0) + handed

    def take_over(self, tokens_by_program: dict[str, int]) -> None:
        """Takes what a VM that stops has granted."""
        for name, tokens in tokens_by_program.items():
            book = self._by_program.setdefault(ProgramId(name), _Book())
            book.taken_over += tokens

    def totals(self) -> dict[str, int]:
        """Returns all programs' tokens."""
        return {
            str(program): book.total()
            for program, book in self._by_program.items()
        }

    def of_others(self, holder: HolderId) -> dict[ProgramId, int]:
        """Returns what other VMs than one were granted, by program."""
        tokens: dict[ProgramId, int] = {}
        for program, book in self._by_program.items():
            own = book.handed_by.get(holder, 0)
            own += sum(
                most for (h, _), most in book.running.items() if h == holder
            )
            others = book.total() - own
            if others:
                tokens[program] = others
        return tokens

    def clear(self) -> None:
        """Forgets everything, once it is recorded."""
        self._by_program.clear()
