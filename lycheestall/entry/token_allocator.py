"""Allocates the token budgets of programs to turns on this VM.

A turn starts only if the maximum that it can generate fits into this VM's
allocation for its program. The allocation is what the VM's newest ledger
record requests, limited to what the records before it left of the budget.
"""

from __future__ import annotations

from collections.abc import Callable

from ..ids import ProgramId
from ._program_tokens import ProgramTokens, TurnId
from .reservation_decision import ReservationDecision
from .token_ledger import (
    EMPTY_ALLOCATION,
    Allocation,
    AllocationWrite,
    HolderId,
    TokenLedger,
    TurnRef,
)
from .unrecorded_grants import TurnGrant, UnrecordedGrants

__all__ = [
    "TokenAllocator",
    "TurnId",
]

PREALLOCATED_TURNS = 2
"""Turns allocated in advance, so that most turns don't wait for a ledger write
and programs can continue while the store is unavailable."""

PREALLOCATION_SHARE = 0.4
"""Maximum share of the free budget that is allocated in advance; if a VM
crashes, its program loses the unused part of the VM's allocation."""

CONTENTION_BACKOFF_S = 2.0
"""Seconds for which a VM allocates nothing in advance to a program after
another VM ran short of its tokens; callers retry within this time."""

IDLE_EVICTION_S = 120.0
"""Seconds after its last turn at which a program's state is evicted from
memory; its ledger record remains."""


class TokenAllocator:
    """Decides which turns may start on this VM.

    Args:
        holder: This VM's ID in the ledger.
        ledger: Allocations of all VMs.
        grants: Grants that are not in the ledger yet; what other VMs were
            granted is left to them.
    """

    def __init__(
        self, holder: HolderId, ledger: TokenLedger, grants: UnrecordedGrants
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._grants = grants
        self._by_program: dict[ProgramId, ProgramTokens] = {}
        self._dirty: set[ProgramId] = set()

    def reserve(
        self,
        program: ProgramId,
        turn: TurnId,
        *,
        max_tokens: int,
        budget: int,
        now: float,
    ) -> ReservationDecision:
        """Reserves a turn's tokens; a turn that needs a record is queued."""
        state = self._state_for(program, budget)
        state.last_used_at = now
        state.largest_turn = max(state.largest_turn, max_tokens)
        required = (
            state.committed()
            + sum(state.pending_by_turn.values())
            + max_tokens
        )
        if required <= state.limit:
            state.reserved_by_turn[turn] = max_tokens
            return ReservationDecision.GRANTED
        others = self._ledger.total_except(program, self._holder)
        total_committed = others.committed + state.committed() + max_tokens
        if total_committed > budget:
            return ReservationDecision.SPENT
        if total_committed > state.usable_budget():
            return ReservationDecision.UNPROVEN
        state.pending_by_turn[turn] = max_tokens
        self._mark_dirty(program, state)
        return ReservationDecision.NEEDS_RECORD

    def cancel(self, program: ProgramId, turn: TurnId) -> None:
        """Removes a turn that waits for a record."""
        state = self._by_program.get(program)
        if (
            state is not None
            and state.pending_by_turn.pop(turn, None) is not None
        ):
            self._mark_dirty(program, state)

    def settle(
        self, program: ProgramId, turn: TurnId, used: int, now: float
    ) -> None:
        """Replaces a turn's reservation by the tokens that it used.

        Args:
            program: The program.
            turn: The turn, which has ended.
            used: Tokens that were sent to the caller.
            now: Current time.
        """
        state = self._by_program.get(program)
        if state is None:
            return
        max_tokens = state.reserved_by_turn.pop(turn, None)
        if max_tokens is None:
            return
        state.used += used
        if turn in state.unrecorded_turns:
            state.unrecorded_turns.remove(turn)
            state.limit -= max_tokens - used
        state.last_used_at = now
        self._mark_dirty(program, state)

    def add_outage_turn(
        self,
        program: ProgramId,
        turn: TurnId,
        *,
        max_tokens: int,
        budget: int,
        now: float,
    ) -> None:
        """Adds a turn on this VM that was granted without the ledger.

        It holds its maximum until it is settled, as any other turn, and is
        recorded as soon as the store is available. The tokens still available
        from the recorded allocation stay the same.

        Args:
            program: The program.
            turn: The turn.
            max_tokens: Maximum tokens that the turn generates.
            budget: The program's budget.
            now: Current time.
        """
        state = self._state_for(program, budget)
        state.reserved_by_turn[turn] = max_tokens
        state.unrecorded_turns.add(turn)
        state.outage_turns.add(TurnRef(self._holder, turn))
        state.limit += max_tokens
        state.last_used_at = now
        self._mark_dirty(program, state, urgent=True)

    def name_turn(
        self, program: ProgramId, turn: TurnRef, *, budget: int
    ) -> None:
        """Names a turn that did not run in this VM's next record.

        Another VM may believe that it was granted without the ledger.

        Args:
            program: The program.
            turn: The turn.
            budget: The program's budget.
        """
        state = self._state_for(program, budget)
        state.outage_turns.add(turn)
        self._mark_dirty(program, state, urgent=True)

    def record_for_other(self, grant: TurnGrant, *, now: float) -> None:
        """Records a grant of another VM, which has not recorded it.

        Args:
            grant: The grant.
            now: Current time.
        """
        state = self._state_for(grant.program, None)
        if grant.turn in state.outage_turns:
            return
        state.outage_turns.add(grant.turn)
        state.tokens_for_others[grant.turn] = grant.tokens
        state.used += grant.tokens
        state.limit += grant.tokens
        state.last_used_at = now
        self._mark_dirty(grant.program, state, urgent=True)

    def doubt(self, program: ProgramId, *, budget: int) -> None:
        """Notes that grants of a program may be lost."""
        self._state_for(program, budget).maybe_incomplete = True

    def take_writes(
        self,
        now: float,
        *,
        preallocate: bool,
        grants_known: Callable[[ProgramId], bool],
    ) -> list[AllocationWrite]:
        """Returns the records that are due; the caller appends them.

        Args:
            now: Current time.
            preallocate: Whether to allocate turns in advance within the
                budget.
            grants_known: Returns whether all grants of a program that are not
                in the ledger are known. Otherwise nothing more is allocated
                in advance: the ledger may show tokens as free that were
                granted without it.
        """
        writes: list[AllocationWrite] = []
        for program in self._dirty:
            state = self._by_program[program]
            urgent, state.urgent = state.urgent, False
            state.dirty = False
            allocation = self._desired_allocation(
                program,
                state,
                preallocate=preallocate
                and now >= state.no_preallocation_until,
                grants_known=grants_known(program),
            )
            if allocation == state.recorded and not state.pending_by_turn:
                continue
            if (
                preallocate
                and not urgent
                and state.has_room_for_turn(allocation)
            ):
                continue
            state.limit = min(state.limit, allocation.limit)
            writes.append(AllocationWrite(program, allocation))
        self._dirty.clear()
        return writes

    def write_failed(self, writes: list[AllocationWrite]) -> None:
        """Marks records as due again after a failed or unconfirmed append."""
        for write in writes:
            state = self._by_program.get(write.program)
            if state is None:
                continue
            state.recorded = None
            self._mark_dirty(write.program, state)

    def record_applied(
        self, write: AllocationWrite
    ) -> list[tuple[TurnId, ReservationDecision]]:
        """Decides on waiting turns once their record was read back.

        All records before it must have been applied, since they come first in
        the allocation of the budget.

        Args:
            write: The record.

        Returns:
            The turns that waited for it, with their decisions.
        """
        state = self._by_program.get(write.program)
        if state is None:
            return []
        state.recorded = write.allocation
        state.unrecorded_turns.clear()
        others = self._ledger.total_except(write.program, self._holder)
        state.maybe_incomplete = (
            state.maybe_incomplete or others.maybe_incomplete
        )
        available = (
            state.usable_budget()
            - others.limit
            - self._unrecorded_elsewhere(write.program)
        )
        state.limit = max(0, min(write.allocation.limit, available))
        if write.allocation.limit > max(available, state.committed()):
            self._mark_dirty(write.program, state)
        decisions: list[tuple[TurnId, ReservationDecision]] = []
        for turn, max_tokens in list(state.pending_by_turn.items()):
            required = state.committed() + max_tokens
            if required <= state.limit:
                del state.pending_by_turn[turn]
                state.reserved_by_turn[turn] = max_tokens
                decisions.append((turn, ReservationDecision.GRANTED))
                continue
            self._mark_dirty(write.program, state)
            if required <= available:
                continue
            del state.pending_by_turn[turn]
            decisions.append(
                (turn, state.refusal(others.committed + required))
            )
        return decisions

    def state_of(self, program: ProgramId) -> ProgramTokens | None:
        """Returns a program's state on this VM, None without turns."""
        return self._by_program.get(program)

    def other_vm_recorded(self, program: ProgramId, now: float) -> None:
        """Releases tokens that another VM needs or has recorded itself.

        Args:
            program: The program that another VM has a new record for.
            now: Current time.
        """
        state = self._by_program.get(program)
        if state is None:
            return
        self._withdraw_records(program, state)
        if state.limit <= state.committed():
            return
        others = self._ledger.total_except(program, self._holder)
        if others.limit + state.limit > state.usable_budget():
            state.no_preallocation_until = now + CONTENTION_BACKOFF_S
            self._mark_dirty(program, state, urgent=True)

    def has_due_records(self) -> bool:
        """Returns whether records are due."""
        return bool(self._dirty)

    def has_urgent_records(self) -> bool:
        """Returns whether a due record must be written without delay."""
        for program in self._dirty:
            state = self._by_program[program]
            if state.pending_by_turn or state.urgent:
                return True
        return False

    def forget_idle(self, now: float) -> None:
        """Evicts the state of programs that had no turns for a while."""
        for program, state in list(self._by_program.items()):
            if state.reserved_by_turn or state.pending_by_turn or state.dirty:
                continue
            if now - state.last_used_at > IDLE_EVICTION_S:
                del self._by_program[program]

    def release_preallocated(self) -> None:
        """Marks all programs as dirty, to release advance allocations."""
        for program, state in self._by_program.items():
            self._mark_dirty(program, state)

    def _withdraw_records(
        self, program: ProgramId, state: ProgramTokens
    ) -> None:
        # The VM that a turn was granted to has recorded it after all.
        for turn, tokens in list(state.tokens_for_others.items()):
            own_record = self._ledger.allocation_of(program, turn.holder)
            if turn not in own_record.outage_turns:
                continue
            del state.tokens_for_others[turn]
            state.used -= tokens
            state.limit = max(0, state.limit - tokens)
            self._mark_dirty(program, state, urgent=True)

    def _unrecorded_elsewhere(self, program: ProgramId) -> int:
        return self._grants.tokens(program, excluding=self._holder)

    def _state_for(
        self, program: ProgramId, budget: int | None
    ) -> ProgramTokens:
        state = self._by_program.get(program)
        if state is None:
            state = ProgramTokens(budget or 0)
            # All tokens recorded before an eviction count as used.
            recorded = self._ledger.allocation_of(program, self._holder)
            state.used = recorded.limit
            state.recent_limits = [(float("-inf"), state.used)]
            state.outage_turns |= recorded.outage_turns
            state.recorded = None if state.used else EMPTY_ALLOCATION
            state.maybe_incomplete = self._ledger.total(
                program
            ).maybe_incomplete
            self._by_program[program] = state
        if budget is not None:
            state.budget = budget
        return state

    def _desired_allocation(
        self,
        program: ProgramId,
        state: ProgramTokens,
        *,
        preallocate: bool,
        grants_known: bool,
    ) -> Allocation:
        committed = state.committed() + sum(state.pending_by_turn.values())
        others = self._ledger.total_except(program, self._holder)
        state.maybe_incomplete |= others.maybe_incomplete
        free = (
            state.usable_budget()
            - others.limit
            - self._unrecorded_elsewhere(program)
            - committed
        )
        turns = 0
        if preallocate and state.largest_turn:
            turns = int(free * PREALLOCATION_SHARE) // state.largest_turn
        turns = max(0, min(turns, PREALLOCATED_TURNS))
        limit = committed + turns * state.largest_turn
        if not grants_known:
            # What was allocated before stays: the grants left it free.
            limit = max(committed, min(limit, state.limit))
        return Allocation(
            limit,
            committed,
            state.maybe_incomplete,
            frozenset(state.outage_turns),
        )

    def _mark_dirty(
        self, program: ProgramId, state: ProgramTokens, *, urgent: bool = False
    ) -> None:
        state.dirty = True
        state.urgent = state.urgent or urgent
        self._dirty.add(program)
