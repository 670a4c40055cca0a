"""This VM's share of programs' token budgets.

A turn starts only when the most it can generate lies inside what this VM
holds for its program. The VM holds what its newest record in the ledger
says, as far as the records before it left room in the budget.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ..ids import Offset, ProgramId
from .token_ledger import HolderId, TokenLedger

__all__ = ["BookDecision", "RecordedGrant", "TokenBooks", "TurnId"]

TurnId = NewType("TurnId", int)
"""One turn at this VM."""

SPARE_TURNS = 2
"""Turns that must stay free in a budget before a turn is held ahead."""

FORGET_S = 120.0
"""Seconds after which a program without turns is forgotten here; its
record in the ledger stays."""


class BookDecision(Enum):
    """What a turn is told."""

    GRANTED = "granted"
    SPENT = "spent"
    NEEDS_RECORD = "needs_record"


@dataclass(frozen=True, slots=True)
class RecordedGrant:
    """A value that was written to the ledger."""

    program: ProgramId
    tokens: int


@dataclass(slots=True)
class _Book:
    """One program at this VM.

    Attributes:
        budget: What the caller says the program may generate.
        handed: Tokens of ended turns.
        running: Most tokens of each running turn.
        waiting: Most tokens of each turn without an answer yet.
        limit: Tokens that may be handed out without another record.
        recorded: Value of the newest record that is known to be in.
        ahead: Tokens recorded for a turn still to come.
        dirty: Whether a record is due.
    """

    budget: int
    handed: int = 0
    running: dict[TurnId, int] = field(default_factory=dict)
    waiting: dict[TurnId, int] = field(default_factory=dict)
    limit: int = 0
    recorded: int = 0
    ahead: int = 0
    dirty: bool = False
    used_at: float = 0.0

    def committed(self) -> int:
        """Tokens handed out or promised to running turns."""
        return self.handed + sum(self.running.values())


class TokenBooks:
    """Decides which turns may start.

    Args:
        holder: This VM's name in the ledger.
        ledger: All VMs' records.
    """

    def __init__(self, holder: HolderId, ledger: TokenLedger) -> None:
        self._holder = holder
        self._ledger = ledger
        self._by_program: dict[ProgramId, _Book] = {}
        self._dirty: set[ProgramId] = set()

    def ask(
        self,
        program: ProgramId,
        turn: TurnId,
        *,
        most: int,
        budget: int,
        now: float,
    ) -> BookDecision:
        """Asks for a turn; one that needs a record waits in the book."""
        book = self._by_program.get(program)
        if book is None:
            book = _Book(budget)
            book.handed = self._ledger.own(program, self._holder)
            book.recorded = book.handed
            self._by_program[program] = book
        book.budget = budget
        book.used_at = now
        need = book.committed() + sum(book.waiting.values()) + most
        if need <= book.limit:
            book.running[turn] = most
            return BookDecision.GRANTED
        others = self._ledger.others(program, self._holder)
        if others + book.committed() + most > budget:
            return BookDecision.SPENT
        book.waiting[turn] = most
        self._mark(program, book)
        return BookDecision.NEEDS_RECORD

    def withdraw(self, program: ProgramId, turn: TurnId) -> None:
        """Ends the wait of a turn."""
        book = self._by_program.get(program)
        if book is not None and book.waiting.pop(turn, None) is not None:
            self._mark(program, book)

    def settle(
        self, program: ProgramId, turn: TurnId, handed: int, now: float
    ) -> None:
        """Ends a running turn.

        Args:
            program: Its program.
            turn: The turn.
            handed: Tokens that went out to the caller.
            now: The time.
        """
        book = self._by_program.get(program)
        if book is None:
            return
        most = book.running.pop(turn, None)
        if most is None:
            return
        book.handed += handed
        book.used_at = now
        self._mark(program, book)

    def take_writes(self, *, ahead: bool) -> list[RecordedGrant]:
        """Returns the records that are due; the caller appends them.

        Args:
            ahead: Whether to hold a turn ahead where there is room.
        """
        writes: list[RecordedGrant] = []
        for program in self._dirty:
            book = self._by_program[program]
            book.dirty = False
            tokens = self._wanted(program, book, ahead=ahead)
            if tokens == book.recorded:
                continue
            book.limit = min(book.limit, tokens)
            writes.append(RecordedGrant(program, tokens))
        self._dirty.clear()
        return writes

    def write_failed(self, writes: list[RecordedGrant]) -> None:
        """Marks records as due again whose append failed or is unknown."""
        for write in writes:
            book = self._by_program.get(write.program)
            if book is None:
                continue
            # What is in the ledger is not known any more.
            book.recorded = -1
            self._mark(write.program, book)

    def written(
        self, write: RecordedGrant, offset: Offset
    ) -> list[tuple[TurnId, BookDecision]]:
        """Decides with a record whose predecessors have all been read.

        Args:
            write: What was written.
            offset: Where it is in the log.

        Returns:
            The turns that waited for it, with their answers.
        """
        book = self._by_program.get(write.program)
        if book is None:
            return []
        book.recorded = write.tokens
        others = self._ledger.others(write.program, self._holder)
        room = book.budget - others
        book.limit = max(0, min(write.tokens, room))
        if write.tokens > max(room, 0) and write.tokens > book.committed():
            self._mark(write.program, book)
        answers: list[tuple[TurnId, BookDecision]] = []
        for turn, most in list(book.waiting.items()):
            need = book.committed() + most
            if need <= book.limit:
                del book.waiting[turn]
                book.running[turn] = most
                answers.append((turn, BookDecision.GRANTED))
            elif need > room:
                del book.waiting[turn]
                self._mark(write.program, book)
                answers.append((turn, BookDecision.SPENT))
            else:
                self._mark(write.program, book)
        return answers

    def pending(self) -> bool:
        """Returns whether records are due."""
        return bool(self._dirty)

    def urgent(self) -> bool:
        """Returns whether a turn waits for a record."""
        return any(self._by_program[p].waiting for p in self._dirty)

    def forget_idle(self, now: float) -> None:
        """Drops programs without turns for a long time."""
        for program, book in list(self._by_program.items()):
            if book.running or book.waiting or book.dirty:
                continue
            if now - book.used_at > FORGET_S:
                del self._by_program[program]

    def release_ahead(self) -> None:
        """Marks all programs, so that nothing stays held ahead."""
        for program, book in self._by_program.items():
            self._mark(program, book)

    def _wanted(self, program: ProgramId, book: _Book, *, ahead: bool) -> int:
        tokens = book.committed() + sum(book.waiting.values())
        most = max(
            [book.ahead, *book.running.values(), *book.waiting.values()]
        )
        book.ahead = most
        if not ahead:
            return tokens
        others = self._ledger.others(program, self._holder)
        if others + tokens + most * (1 + SPARE_TURNS) <= book.budget:
            tokens += most
        return tokens

    def _mark(self, program: ProgramId, book: _Book) -> None:
        book.dirty = True
        self._dirty.add(program)
