"""This VM's share of programs' token budgets.

A turn starts only when the most it can generate lies inside what this VM
holds for its program. The VM holds what its newest record in the ledger
says, as far as the records before it left room in the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ..ids import ProgramId
from .outage_books import outage_allowance
from .token_ledger import NOTHING, HolderId, Holding, TokenLedger

__all__ = ["BookDecision", "RecordedGrant", "TokenBooks", "TurnId"]

TurnId = NewType("TurnId", int)
"""One turn at this VM."""

AHEAD_TURNS = 2
"""Turns held ahead, so that most need no wait for a record and programs
go on while the store is away."""

AHEAD_SHARE = 0.4
"""Largest part of what is free that is held ahead; what a VM that dies
held is lost to its program."""

GIVE_UP_S = 2.0
"""Seconds for which a VM holds nothing ahead of a program that another
VM needs more of; callers come back sooner."""

FORGET_S = 120.0
"""Seconds after which a program without turns is forgotten here; its
record in the ledger stays."""


class BookDecision(Enum):
    """What a turn is told."""

    GRANTED = "granted"
    SPENT = "spent"
    HELD_ELSEWHERE = "held_elsewhere"
    UNPROVEN = "unproven"
    SETTLING = "settling"
    NEEDS_RECORD = "needs_record"


@dataclass(frozen=True, slots=True)
class RecordedGrant:
    """A value that was written to the ledger."""

    program: ProgramId
    holding: Holding


@dataclass(slots=True)
class _Book:
    """One program at this VM.

    Attributes:
        budget: What the caller says the program may generate.
        handed: Tokens of ended turns.
        running: Most tokens of each running turn.
        waiting: Most tokens of each turn without an answer yet.
        limit: Tokens that may be handed out without another record.
        recorded: The newest record that is known to be in; None where
            that is not known.
        most: Most tokens of a turn seen.
        doubtful: Whether the program may have been granted tokens in an
            outage that nobody recorded.
        wanted_until: Until when nothing is held ahead, since another VM
            has asked for more than there is.
        dirty: Whether a record is due.
        hurry: Whether somebody else waits for that record.
        outside: Tokens granted in an outage that may be unrecorded.
    """

    budget: int
    handed: int = 0
    running: dict[TurnId, int] = field(default_factory=dict)
    waiting: dict[TurnId, int] = field(default_factory=dict)
    limit: int = 0
    recorded: Holding | None = NOTHING
    most: int = 0
    doubtful: bool = False
    wanted_until: float = 0.0
    dirty: bool = False
    hurry: bool = False
    outside: int = 0
    used_at: float = 0.0

    def committed(self) -> int:
        """Tokens handed out or promised to running turns."""
        return self.handed + sum(self.running.values())

    def holds_enough(self, wanted: Holding) -> bool:
        """Returns whether what is recorded will do for another turn.

        Args:
            wanted: What would be recorded now.
        """
        if self.recorded is None or self.waiting:
            return False
        if self.recorded.doubtful != wanted.doubtful:
            return False
        if self.recorded.limit > wanted.limit:
            return False
        return self.recorded.limit >= wanted.committed + self.most

    def provable(self) -> int:
        """Tokens that are surely left of a whole budget.

        What may have been granted without a record is not; one turn more
        than the budget is allowed.
        """
        if not self.doubtful:
            return self.budget
        lost = outage_allowance(self.budget, self.most)
        return min(self.budget, self.budget - lost + self.most)


class TokenBooks:
    """Decides which turns may start.

    Args:
        holder: This VM's name in the ledger.
        ledger: All VMs' records.
        doubtful: Whether grants of an outage may have been lost, so that
            a program without records may not be a new one.
    """

    def __init__(
        self,
        holder: HolderId,
        ledger: TokenLedger,
        *,
        doubtful: Callable[[], bool],
    ) -> None:
        self._doubtful = doubtful
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
        book = self._book(program, budget)
        book.used_at = now
        book.most = max(book.most, most)
        need = book.committed() + sum(book.waiting.values()) + most
        if need <= book.limit:
            book.running[turn] = most
            return BookDecision.GRANTED
        others = self._ledger.others(program, self._holder)
        known = others.committed + book.committed() + most
        if known > budget:
            return BookDecision.SPENT
        if known > book.provable():
            return BookDecision.UNPROVEN
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

    def granted_outside(
        self, program: ProgramId, tokens: int, *, budget: int, now: float
    ) -> None:
        """Takes tokens that were granted without the ledger.

        They are to be recorded, and leave what may be handed out from
        the ledger as it was.

        Args:
            program: Their program.
            tokens: How many.
            budget: The program's budget.
            now: The time.
        """
        book = self._book(program, budget)
        book.handed += tokens
        book.limit += tokens
        book.used_at = now
        self._mark(program, book, hurry=True)

    def set_outside(
        self, program: ProgramId, tokens: int, *, budget: int
    ) -> None:
        """Keeps tokens free that an outage's decider has granted.

        Args:
            program: Their program.
            tokens: How many; those that are recorded count twice.
            budget: The program's budget.
        """
        self._book(program, budget).outside = tokens

    def clear_outside(self) -> None:
        """Counts by the ledger alone; an outage's grants are recorded."""
        for book in self._by_program.values():
            book.outside = 0

    def take_writes(self, now: float, *, ahead: bool) -> list[RecordedGrant]:
        """Returns the records that are due; the caller appends them.

        Args:
            now: The time.
            ahead: Whether to hold turns ahead where there is room.
        """
        writes: list[RecordedGrant] = []
        for program in self._dirty:
            book = self._by_program[program]
            hurry, book.hurry = book.hurry, False
            book.dirty = False
            holding = self._wanted(
                program, book, ahead=ahead and now >= book.wanted_until
            )
            if holding == book.recorded and not book.waiting:
                continue
            if ahead and not hurry and book.holds_enough(holding):
                continue
            book.limit = min(book.limit, holding.limit)
            writes.append(RecordedGrant(program, holding))
        self._dirty.clear()
        return writes

    def write_failed(self, writes: list[RecordedGrant]) -> None:
        """Marks records as due again whose append failed or is unknown."""
        for write in writes:
            book = self._by_program.get(write.program)
            if book is None:
                continue
            book.recorded = None
            self._mark(write.program, book)

    def written(
        self, write: RecordedGrant
    ) -> list[tuple[TurnId, BookDecision]]:
        """Decides with a record whose predecessors have all been read.

        Args:
            write: What was written.

        Returns:
            The turns that waited for it, with their answers.
        """
        book = self._by_program.get(write.program)
        if book is None:
            return []
        book.recorded = write.holding
        others = self._ledger.others(write.program, self._holder)
        book.doubtful = book.doubtful or others.doubtful
        room = book.provable() - others.limit - book.outside
        book.limit = max(0, min(write.holding.limit, room))
        if write.holding.limit > max(room, book.committed()):
            self._mark(write.program, book)
        answers: list[tuple[TurnId, BookDecision]] = []
        for turn, most in list(book.waiting.items()):
            need = book.committed() + most
            if need <= book.limit:
                del book.waiting[turn]
                book.running[turn] = most
                answers.append((turn, BookDecision.GRANTED))
                continue
            self._mark(write.program, book)
            if need <= room:
                continue
            del book.waiting[turn]
            answers.append((turn, _denial(book, others.committed + need)))
        return answers

    def others_recorded(self, program: ProgramId, now: float) -> None:
        """Gives up what is held ahead where other VMs run short of it.

        Args:
            program: The program that another VM has a new record for.
            now: The time.
        """
        book = self._by_program.get(program)
        if book is None or book.limit <= book.committed():
            return
        others = self._ledger.others(program, self._holder)
        if others.limit + book.limit > book.provable():
            book.wanted_until = now + GIVE_UP_S
            self._mark(program, book, hurry=True)

    def pending(self) -> bool:
        """Returns whether records are due."""
        return bool(self._dirty)

    def urgent(self) -> bool:
        """Returns whether a turn or another VM waits for a record."""
        for program in self._dirty:
            book = self._by_program[program]
            if book.waiting or book.hurry:
                return True
        return False

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

    def _book(self, program: ProgramId, budget: int) -> _Book:
        book = self._by_program.get(program)
        if book is None:
            book = _Book(budget)
            book.handed = self._ledger.own(program, self._holder).limit
            book.recorded = None if book.handed else NOTHING
            if self._ledger.known(program):
                book.doubtful = self._ledger.total(program).doubtful
            else:
                book.doubtful = self._doubtful()
            self._by_program[program] = book
        book.budget = budget
        return book

    def _wanted(
        self, program: ProgramId, book: _Book, *, ahead: bool
    ) -> Holding:
        committed = book.committed() + sum(book.waiting.values())
        others = self._ledger.others(program, self._holder)
        free = book.provable() - others.limit - book.outside - committed
        turns = 0
        if ahead and book.most:
            turns = int(free * AHEAD_SHARE) // book.most
        turns = max(0, min(turns, AHEAD_TURNS))
        limit = committed + turns * book.most
        return Holding(limit, committed, book.doubtful)

    def _mark(
        self, program: ProgramId, book: _Book, *, hurry: bool = False
    ) -> None:
        book.dirty = True
        book.hurry = book.hurry or hurry
        self._dirty.add(program)


def _denial(book: _Book, known: int) -> BookDecision:
    if known > book.budget:
        return BookDecision.SPENT
    if known > book.provable():
        return BookDecision.UNPROVEN
    return BookDecision.HELD_ELSEWHERE
