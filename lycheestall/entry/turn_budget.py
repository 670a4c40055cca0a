"""Token accounting of one turn of a program."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from .configuration import Service
from .ledger_writer import ReservationResult
from .message_metadata import RequestMetadata
from .outages.budget_refusals import BudgetRefusal
from .token_allocator import TurnId
from .turn_reservations import TurnReservations

__all__ = ["TurnBudget"]

RESERVE_TIMEOUT_S = 0.8
"""Longest time to wait until a turn is recorded in the ledger."""


class TurnBudget:
    """Reserves the maximum tokens of a turn and settles the actual number.

    Args:
        reservations: Reserves and settles the tokens of turns.
        clock: Schedules the timeout of a reservation.
        metadata: The request's metadata.
        service: The service of the route, None if it is not configured.
        turn: Unique number of the turn.
    """

    def __init__(
        self,
        reservations: TurnReservations,
        clock: Any,
        metadata: RequestMetadata,
        service: Service | None,
        *,
        turn: TurnId,
    ) -> None:
        self._reservations = reservations
        self._clock = clock
        self._turn = turn
        self._max_output_tokens = metadata.max_output_tokens
        self._budget = metadata.token_budget
        self._program = metadata.program
        self._pending: Deferred[ReservationResult] | None = None
        self._tokens_per_event = 0
        if service is not None and service.engine is not None:
            self._tokens_per_event = service.engine.tokens_per_event

    @property
    def has_budget(self) -> bool:
        """Whether the turn counts towards a program's token budget."""
        if self._tokens_per_event == 0 or self._program is None:
            return False
        return self._budget is not None

    @property
    def recorded_tokens(self) -> int | None:
        """The program's tokens in the ledger, None without a budget."""
        if not self.has_budget or self._program is None:
            return None
        return self._reservations.recorded_tokens(self._program)

    @property
    def is_first_turn(self) -> bool:
        """Whether the program has no tokens but those of this turn.

        True only for a turn whose tokens have been reserved.
        """
        recorded = self.recorded_tokens
        if recorded is None:
            return False
        return recorded <= self._max_output_tokens + self._tokens_per_event

    def tokens_for_events(self, events: int) -> int:
        """Returns the number of tokens in that many stream events."""
        return events * self._tokens_per_event

    async def reserve(self) -> ReservationResult:
        """Reserves the turn's tokens.

        Returns:
            The decision, None if there was none in time.
        """
        if self._program is None or self._budget is None:
            raise ValueError("the turn has no token budget")
        result = self._reservations.reserve(
            self._program,
            self._turn,
            max_tokens=self._max_output_tokens + self._tokens_per_event,
            budget=self._budget,
        )
        if not isinstance(result, Deferred):
            return result
        timer = self._clock.callLater(RESERVE_TIMEOUT_S, result.cancel)
        self._pending = result
        try:
            return await result
        except CancelledError:
            return None
        finally:
            self._pending = None
            if timer.active():
                timer.cancel()

    def settle(self, events: int) -> None:
        """Returns the tokens that the turn did not use.

        Args:
            events: Number of stream events sent to the caller.
        """
        if self._program is None:
            return
        self._reservations.settle(
            self._program, self._turn, self.tokens_for_events(events)
        )

    def take_refusal(self) -> BudgetRefusal:
        """Returns why the reservation got no decision."""
        return self._reservations.take_refusal(self._turn)

    def cancel_reservation(self) -> None:
        """Cancels a pending reservation."""
        if self._pending is not None:
            self._pending.cancel()
