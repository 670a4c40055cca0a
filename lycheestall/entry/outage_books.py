"""Tokens granted by a deciding VM while the store is away."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ProgramId
from .token_ledger import HolderId, TokenLedger

__all__ = [
    "OutageBooks",
    "OutageDecision",
    "OutageGrant",
    "outage_allowance",
]

OUTAGE_SHARE = 0.5
"""Largest part of a budget that may be granted without the store."""


def outage_allowance(budget: int, most: int) -> int:
    """Returns the tokens that may be granted without the store.

    Args:
        budget: The program's budget.
        most: Most tokens of a turn.
    """
    return max(most, int(budget * OUTAGE_SHARE))


class OutageDecision(Enum):
    """What a turn is told while the store is away."""

    GRANTED = "granted"
    SPENT = "spent"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class OutageGrant:
    """What one VM was granted of one program."""

    program: ProgramId
    holder: HolderId
    tokens: int


@dataclass(slots=True)
class _Book:
    """One program.

    Attributes:
        handed_by: Tokens of ended turns, by the VM that ran them.
        running: Most tokens of each running turn.
    """

    handed_by: dict[HolderId, int] = field(default_factory=dict)
    running: dict[tuple[HolderId, int], int] = field(default_factory=dict)

    def total(self) -> int:
        """Tokens handed out or promised."""
        return sum(self.handed_by.values()) + sum(self.running.values())

    def by_holder(self) -> dict[HolderId, int]:
        """Tokens handed out or promised, by the VM that has the turns."""
        tokens = dict(self.handed_by)
        for (holder, _), most in self.running.items():
            tokens[holder] = tokens.get(holder, 0) + most
        return tokens


class OutageBooks:
    """What this VM has granted as decider, until the ledger has it.

    The next outage may begin before all grants of the last one are
    recorded; these then count a second time rather than not at all.

    Args:
        ledger: The records up to the outage.
    """

    def __init__(self, ledger: TokenLedger) -> None:
        self._ledger = ledger
        self._by_program: dict[ProgramId, _Book] = {}
        self._closed: set[ProgramId] = set()
        self._before: dict[ProgramId, int] = {}

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
        if program in self._closed:
            return OutageDecision.WAIT
        recorded = self._ledger.total(program)
        need = book.total() + most
        if recorded.committed + need > budget:
            return OutageDecision.SPENT
        need += self._before.get(program, 0)
        if (
            need > outage_allowance(budget, most)
            or recorded.limit + need > budget
        ):
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

    def take_over(self, grants: Iterable[OutageGrant]) -> None:
        """Takes what a VM that stops has granted."""
        for grant in grants:
            book = self._by_program.setdefault(grant.program, _Book())
            handed = book.handed_by.get(grant.holder, 0)
            book.handed_by[grant.holder] = handed + grant.tokens

    def grants(self) -> list[OutageGrant]:
        """Returns what each VM was granted of each program."""
        return [
            OutageGrant(program, holder, tokens)
            for program, book in self._by_program.items()
            for holder, tokens in book.by_holder().items()
            if tokens
        ]

    def close(self, program: ProgramId) -> int:
        """Ends the granting of a program's turns until the next outage.

        Returns:
            All tokens granted of it; some may be in the ledger by now.
        """
        self._closed.add(program)
        book = self._by_program.get(program)
        granted = 0 if book is None else book.total()
        return granted + self._before.get(program, 0)

    def end(self) -> None:
        """Keeps no more than the totals of the outage that has ended."""
        for program, book in self._by_program.items():
            before = self._before.get(program, 0)
            self._before[program] = before + book.total()
        self._by_program.clear()
        self._closed.clear()

    def recorded(self) -> None:
        """Forgets what was granted in outages that have ended."""
        self._before.clear()
