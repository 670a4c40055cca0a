"""The budget of one top-level program, shared by its sub-agents."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from enum import Enum
from typing import Any, NewType, TypeAlias

from .ledger_program import Spend
from .rules.rule_book import ProgramLimits

__all__ = [
    "Budget",
    "BudgetField",
    "DrawNeeded",
    "Exhausted",
    "ReservationId",
    "Reserved",
    "volatile_allowance",
]

PORTIONS_PER_BUDGET = 4
VOLATILE_SHARES_PER_BUDGET = 8

NOTHING = Spend()

ReservationId = NewType("ReservationId", int)
"""One reservation of one budget."""


class BudgetField(Enum):
    """What a budget counts; names the field of ``ProgramLimits``."""

    TOKENS = "tokens"
    CALLS = "calls"
    MONEY = "money_micros"


@dataclass(frozen=True, slots=True)
class Reserved:
    """The amount is set aside until it is settled."""

    reservation: ReservationId


@dataclass(frozen=True, slots=True)
class DrawNeeded:
    """The log has to grant more first.

    Attributes:
        totals: What to draw, over the program's life.
    """

    totals: Spend


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The budget does not hold the amount.

    Attributes:
        field: The limit that decided.
    """

    field: BudgetField


ReserveResult: TypeAlias = Reserved | DrawNeeded | Exhausted


def volatile_allowance(limits: ProgramLimits) -> Spend:
    """Returns what a new program may spend before the log knows of it.

    No money: calls that cost money wait for the log anyway.

    Args:
        limits: The program's limits.
    """
    return Spend(
        (limits.tokens or 0) // VOLATILE_SHARES_PER_BUDGET,
        (limits.calls or 0) // VOLATILE_SHARES_PER_BUDGET,
        0,
    )


class Budget:
    """Reserves the upper bound of each call and settles it later.

    Limits come with each reservation, so that a lowered limit takes
    hold with the next call.

    Args:
        spent: What counts as spent from the start.
        drawn: What the log has granted over the program's life.
        new: Whether the program is known to be new, so that it may
            spend the volatile allowance ahead of the log.

    Attributes:
        spent: What was settled or kept.
        drawn: What the log has granted.
    """

    def __init__(
        self,
        *,
        spent: Spend = NOTHING,
        drawn: Spend = NOTHING,
        new: bool = True,
    ) -> None:
        self.spent = spent
        self.drawn = drawn
        self._new = new
        self._reserved_by_id: dict[ReservationId, Spend] = {}
        self._next_id = 0

    @property
    def reserved(self) -> Spend:
        """Returns the sum set aside and not settled."""
        total = NOTHING
        for amount in self._reserved_by_id.values():
            total = total.plus(amount)
        return total

    @property
    def committed(self) -> Spend:
        """Returns what is spent or set aside."""
        return self.spent.plus(self.reserved)

    def reserve(self, amount: Spend, limits: ProgramLimits) -> ReserveResult:
        """Sets an upper bound aside, if budget and log allow it.

        Args:
            amount: The most a call may cost.
            limits: The limits in force.
        """
        total = self.committed.plus(amount)
        for field in BudgetField:
            limit = getattr(limits, field.value)
            if limit is not None and getattr(total, field.value) > limit:
                return Exhausted(field)
        need = _limited(total, limits)
        usable = self.drawn
        if self._new:
            usable = usable.at_least(volatile_allowance(limits))
        if not need.within(usable):
            return DrawNeeded(self._draw(need, limits))
        reservation = ReservationId(self._next_id)
        self._next_id += 1
        self._reserved_by_id[reservation] = amount
        return Reserved(reservation)

    def settle(self, reservation: ReservationId, actual: Spend) -> None:
        """Replaces a reservation by what the call did cost."""
        self._reserved_by_id.pop(reservation)
        self.spent = self.spent.plus(actual)

    def keep(self, reservation: ReservationId) -> None:
        """Counts a whole reservation as spent: the cost is unknown."""
        self.settle(reservation, self._reserved_by_id[reservation])

    def release(self, reservation: ReservationId) -> None:
        """Gives a reservation back: the call was not run."""
        self._reserved_by_id.pop(reservation)

    def granted(self, totals: Spend) -> None:
        """Takes note of totals that the log has accepted."""
        self.drawn = self.drawn.at_least(totals)

    def first_draw(self, limits: ProgramLimits) -> Spend:
        """Returns the totals to draw when the program opens."""
        return self._draw(NOTHING, limits)

    def dump(self) -> object:
        """Returns the state; what is in flight counts as spent."""
        committed = self.committed
        return [list(astuple(committed)), list(astuple(self.drawn))]

    @classmethod
    def restored(cls, state: Any) -> Budget:
        """Returns a budget from what ``dump`` made."""
        spent, drawn = state
        return cls(spent=Spend(*spent), drawn=Spend(*drawn), new=False)

    @classmethod
    def taken_over(
        cls, drawn: Spend | None, limits: ProgramLimits, *, unproven: bool
    ) -> Budget:
        """Returns the budget of a program whose owner was lost.

        What the log had granted counts as spent, and so does the
        volatile allowance where the owner may have given it out.

        Args:
            drawn: What the log had granted; None if it does not know
                the program.
            limits: The program's limits.
            unproven: Whether the owner may have opened programs that
                never reached the log.
        """
        if drawn is None and not unproven:
            return cls()
        drawn = drawn or NOTHING
        spent = drawn.at_least(volatile_allowance(limits))
        return cls(spent=spent, drawn=drawn, new=False)

    def _draw(self, need: Spend, limits: ProgramLimits) -> Spend:
        # Money is drawn as needed: calls that cost it are few and wait
        # for the log, and what is drawn ahead is lost in a takeover.
        portion = Spend(
            (limits.tokens or 0) // PORTIONS_PER_BUDGET,
            (limits.calls or 0) // PORTIONS_PER_BUDGET,
            0,
        )
        wanted = self.drawn.plus(portion).at_least(need)
        limit = Spend(
            limits.tokens or 0, limits.calls or 0, limits.money_micros or 0
        )
        over = wanted.minus(limit).at_least(NOTHING)
        return wanted.minus(over)


def _limited(total: Spend, limits: ProgramLimits) -> Spend:
    return Spend(
        0 if limits.tokens is None else total.tokens,
        0 if limits.calls is None else total.calls,
        0 if limits.money_micros is None else total.money_micros,
    )
