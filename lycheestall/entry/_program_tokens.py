"""The tokens of one program on one VM."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NewType

from .outage_allocator import budget_without_lost_grants, outage_allowance
from .outages.ledger_gap import UNREAD_WINDOW_S
from .reservation_decision import ReservationDecision
from .token_ledger import EMPTY_ALLOCATION, Allocation, TurnRef

__all__ = ["ProgramTokens", "TurnId"]

TurnId = NewType("TurnId", int)
"""Identifies a turn on this VM."""


@dataclass(slots=True)
class ProgramTokens:
    """State of one program on this VM.

    Attributes:
        budget: Token budget, as given by the caller.
        used: Tokens of ended turns.
        reserved_by_turn: Maximum tokens of each running turn.
        pending_by_turn: Maximum tokens of each turn that waits for a decision.
        unrecorded_turns: Running turns that were granted without the ledger
            and are part of ``limit``, but not of any record yet.
        limit: Tokens that may be used without another record.
        recorded: The newest record known to be written, or None if that is
            unknown.
        largest_turn: The largest maximum of any turn seen.
        maybe_incomplete: Whether tokens granted in an outage may be missing in
            the ledger.
        no_preallocation_until: Time until which nothing is allocated in
            advance, because another VM needs more tokens than are free.
        dirty: Whether a record is due.
        urgent: Whether the due record must be written without waiting for a
            batch.
        outage_turns: Turns that were granted without the ledger and that this
            VM names in its records: its own, and those that it records for
            other VMs.
        tokens_for_others: Tokens that this VM records for a turn of another
            VM.
        recent_limits: When records were read back and their limits, from the
            last one before the unread window on.
        last_used_at: Time of the last reservation or settlement.
    """

    budget: int
    used: int = 0
    reserved_by_turn: dict[TurnId, int] = field(default_factory=dict)
    pending_by_turn: dict[TurnId, int] = field(default_factory=dict)
    unrecorded_turns: set[TurnId] = field(default_factory=set)
    limit: int = 0
    recorded: Allocation | None = EMPTY_ALLOCATION
    largest_turn: int = 0
    maybe_incomplete: bool = False
    no_preallocation_until: float = 0.0
    dirty: bool = False
    urgent: bool = False
    outage_turns: set[TurnRef] = field(default_factory=set)
    tokens_for_others: dict[TurnRef, int] = field(default_factory=dict)
    recent_limits: list[tuple[float, int]] = field(default_factory=list)
    last_used_at: float = 0.0

    def committed(self) -> int:
        """Returns the tokens used or reserved for running turns."""
        return self.used + sum(self.reserved_by_turn.values())

    def grows_unread(self, limit: int, now: float) -> bool:
        """Notes a record; returns whether another VM must read it.

        Args:
            limit: The limit that was recorded.
            now: Current time.
        """
        window = self.recent_limits
        while len(window) > 1 and window[1][0] <= now - UNREAD_WINDOW_S:
            window.pop(0)
        window.append((now, limit))
        growth = limit - min(earlier for _, earlier in window)
        most = outage_allowance(self.budget, self.largest_turn)
        return bool(self.budget) and growth > most

    def has_room_for_turn(self, desired: Allocation) -> bool:
        """Returns whether the recorded allocation covers another turn.

        Args:
            desired: The allocation that would be recorded now.
        """
        if self.recorded is None or self.pending_by_turn:
            return False
        if self.recorded.maybe_incomplete != desired.maybe_incomplete:
            return False
        if self.recorded.limit > desired.limit:
            return False
        return self.recorded.limit >= desired.committed + self.largest_turn

    def usable_budget(self) -> int:
        """Returns the part of the budget that may be allocated."""
        if not self.maybe_incomplete:
            return self.budget
        return budget_without_lost_grants(self.budget, self.largest_turn)

    def refusal(self, total_committed: int) -> ReservationDecision:
        """Returns why a turn can't be granted.

        Args:
            total_committed: Tokens that all VMs have committed, with the
                turn's maximum.
        """
        if total_committed > self.budget:
            return ReservationDecision.SPENT
        if total_committed > self.usable_budget():
            return ReservationDecision.UNPROVEN
        return ReservationDecision.HELD_ELSEWHERE
