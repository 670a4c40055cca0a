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
        self._closed_by: dict[ProgramId, set[HolderId]] = {}
        self._told: dict[ProgramId, int] = {}
        self._before: dict[ProgramId, int] = {}

    def ask(
        self,
        program: ProgramId,
        holder: HolderId,
        turn: int,
        *,
        most: int,
        budget: int,
        recorded: int,
    ) -> OutageDecision:
        """Decides on a turn of any VM.

        Args:
            program: The program.
            holder: Who asks.
            turn: The turn.
            most: Most tokens that it generates.
            budget: Tokens that the program may generate.
            recorded: Tokens that the ledger holds for the program, as far
                as the asking VM has read it.
        """
        book = self._by_program.setdefault(program, _Book())
        if (holder, turn) in book.running:
            return OutageDecision.GRANTED
        told = max(recorded, self._told.get(program, 0))
        self._told[program] = told
        if self._is_closed(program, holder):
            return OutageDecision.WAIT
        known = self._ledger.total(program)
        need = book.total() + most
        if known.committed + need > budget:
            return OutageDecision.SPENT
        need += self._before.get(program, 0)
        if (
            need > outage_allowance(budget, most)
            or max(known.limit, told) + need > budget
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

    def close(self, program: ProgramId, holder: HolderId) -> int:
        """Ends the granting of a program's turns.

        It begins again when all that asked for the end are without the
        store once more and have told what they recorded meanwhile.

        Args:
            program: The program.
            holder: Who goes on by the ledger.

        Returns:
            All tokens granted of it; some may be in the ledger by now.
        """
        self._closed_by.setdefault(program, set()).add(holder)
        book = self._by_program.get(program)
        granted = 0 if book is None else book.total()
        return granted + self._before.get(program, 0)

    def end(self) -> None:
        """Keeps no more than the totals of the outage that has ended."""
        for program, book in self._by_program.items():
            before = self._before.get(program, 0)
            self._before[program] = before + book.total()
        self._by_program.clear()
        self._closed_by.clear()
        self._told.clear()

    def recorded(self) -> None:
        """Forgets what was granted in outages that have ended."""
        self._before.clear()

    def _is_closed(self, program: ProgramId, holder: HolderId) -> bool:
        closed_by = self._closed_by.get(program)
        if closed_by is None:
            return False
        closed_by.discard(holder)
        return bool(closed_by)
