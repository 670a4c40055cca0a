"""The budget of one top-level program, shared by its sub-agents."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from enum import Enum
from typing import Any, NewType, TypeAlias

from .ledger_program import Spend
from .rules.rule_set import ProgramLimits

__all__ = [
    "Budget",
    "BudgetField",
    "DrawNeeded",
    "Exhausted",
    "ReservationId",
    "Reserved",
    "unrecorded_allowance",
]

DRAWS_PER_BUDGET = 4
UNRECORDED_ALLOWANCES_PER_BUDGET = 8

NO_SPEND = Spend()

ReservationId = NewType("ReservationId", int)
"""Identifies a reservation within one budget."""


class BudgetField(Enum):
    """What a budget limits; the values are fields of ``ProgramLimits``."""

    TOKENS = "tokens"
    CALLS = "calls"
    MONEY = "money_micros"


@dataclass(frozen=True, slots=True)
class Reserved:
    """The amount is reserved until it is settled."""

    reservation: ReservationId


@dataclass(frozen=True, slots=True)
class DrawNeeded:
    """The log has to grant more of the budget first.

    Attributes:
        totals: The totals to draw, counted over the program's lifetime.
    """

    totals: Spend


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The amount exceeds what is left of the budget.

    Attributes:
        field: The limit that would be exceeded.
    """

    field: BudgetField


ReserveResult: TypeAlias = Reserved | DrawNeeded | Exhausted


def unrecorded_allowance(limits: ProgramLimits) -> Spend:
    """Returns what a new program may spend before it is in the log.

    The allowance holds no money: calls that cost money wait for the log
    anyway.

    Args:
        limits: The program's limits.
    """
    return Spend(
        (limits.tokens or 0) // UNRECORDED_ALLOWANCES_PER_BUDGET,
        (limits.calls or 0) // UNRECORDED_ALLOWANCES_PER_BUDGET,
        0,
    )


class Budget:
    """Reserves the upper bound of each call and settles the actual cost.

    Limits are passed with each reservation, so that a lowered limit
    applies from the next call on.

    Args:
        spent: What counts as spent from the start.
        drawn: What the log has granted over the program's lifetime.
        new: Whether the program is known to be new, so that it may spend
            the unrecorded allowance before the log grants anything.

    Attributes:
        spent: What was settled or charged in full.
        drawn: What the log has granted.
    """

    def __init__(
        self,
        *,
        spent: Spend = NO_SPEND,
        drawn: Spend = NO_SPEND,
        new: bool = True,
    ) -> None:
        self.spent = spent
        self.drawn = drawn
        self._is_new = new
        self._reserved_by_id: dict[ReservationId, Spend] = {}
        self._next_id = 0

    @property
    def reserved(self) -> Spend:
        """Returns the sum of the open reservations."""
        total = NO_SPEND
        for amount in self._reserved_by_id.values():
            total = total.plus(amount)
        return total

    @property
    def committed(self) -> Spend:
        """Returns what is spent or reserved."""
        return self.spent.plus(self.reserved)

    def reserve(self, amount: Spend, limits: ProgramLimits) -> ReserveResult:
        """Reserves a call's upper bound if budget and log allow it.

        Args:
            amount: The most a call may cost.
            limits: The limits in force.
        """
        total = self.committed.plus(amount)
        for field in BudgetField:
            limit = getattr(limits, field.value)
            if limit is not None and getattr(total, field.value) > limit:
                return Exhausted(field)
        need = _limited_amounts(total, limits)
        usable = self.drawn
        if self._is_new:
            usable = usable.max_with(unrecorded_allowance(limits))
        if not need.within(usable):
            return DrawNeeded(self._next_totals(need, limits))
        reservation = ReservationId(self._next_id)
        self._next_id += 1
        self._reserved_by_id[reservation] = amount
        return Reserved(reservation)

    def settle(self, reservation: ReservationId, actual: Spend) -> None:
        """Replaces a reservation by the call's actual cost."""
        self._reserved_by_id.pop(reservation)
        self.spent = self.spent.plus(actual)

    def charge_in_full(self, reservation: ReservationId) -> None:
        """Counts all of a reservation as spent; the cost is unknown."""
        self.settle(reservation, self._reserved_by_id[reservation])

    def release(self, reservation: ReservationId) -> None:
        """Releases a reservation whose call was not run."""
        self._reserved_by_id.pop(reservation)

    def record_grant(self, totals: Spend) -> None:
        """Records totals that the log has granted."""
        self.drawn = self.drawn.max_with(totals)

    def initial_draw(self, limits: ProgramLimits) -> Spend:
        """Returns the totals to draw when the program is opened."""
        return self._next_totals(NO_SPEND, limits)

    def dump(self) -> object:
        """Returns the state for a handover; reservations count as spent."""
        committed = self.committed
        return [list(astuple(committed)), list(astuple(self.drawn))]

    @classmethod
    def restored(cls, state: Any) -> Budget:
        """Returns a budget with the state that ``dump`` returned."""
        spent, drawn = state
        return cls(spent=Spend(*spent), drawn=Spend(*drawn), new=False)

    @classmethod
    def after_takeover(
        cls,
        drawn: Spend | None,
        limits: ProgramLimits,
        *,
        may_have_unrecorded_spend: bool,
    ) -> Budget:
        """Returns the budget of a program whose owner failed.

        What the log had granted counts as spent, and so does the
        unrecorded allowance if the owner may have granted it.

        Args:
            drawn: What the log had granted; None if the program is not
                in the log.
            limits: The program's limits.
            may_have_unrecorded_spend: Whether the owner may have granted
                the unrecorded allowance, as to a program that never
                reached the log.
        """
        if drawn is None and not may_have_unrecorded_spend:
            return cls()
        drawn = drawn or NO_SPEND
        spent = drawn.max_with(unrecorded_allowance(limits))
        return cls(spent=spent, drawn=drawn, new=False)

    def _next_totals(self, need: Spend, limits: ProgramLimits) -> Spend:
        # Money is drawn only as needed: calls that cost money are rare and
        # wait for the log, and an amount drawn in advance is lost if
        # another VM takes the program over.
        next_draw = Spend(
            (limits.tokens or 0) // DRAWS_PER_BUDGET,
            (limits.calls or 0) // DRAWS_PER_BUDGET,
            0,
        )
        wanted = self.drawn.plus(next_draw).max_with(need)
        limit = Spend(
            limits.tokens or 0, limits.calls or 0, limits.money_micros or 0
        )
        excess = wanted.minus(limit).max_with(NO_SPEND)
        return wanted.minus(excess)


def _limited_amounts(total: Spend, limits: ProgramLimits) -> Spend:
    return Spend(
        0 if limits.tokens is None else total.tokens,
        0 if limits.calls is None else total.calls,
        0 if limits.money_micros is None else total.money_micros,
    )
