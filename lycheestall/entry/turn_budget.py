"""The budget's side of one turn of a program."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from .configuration import Service
from .ledger_writer import ReservationResult
from .request_facts import RequestFacts
from .token_allocator import TurnId
from .turn_reservations import TurnReservations

__all__ = ["TurnBudget"]

RESERVE_TIMEOUT_S = 0.8
"""Longest time for a turn's record in the ledger."""


class TurnBudget:
    """Reserves the most a turn may cost and settles what it did cost.

    Args:
        tokens: Token budgets of all programs.
        clock: Times the wait for the ledger.
        facts: What the request's headers say.
        service: The service that answers, None if it is not configured.
        turn: The turn's own number.
    """

    def __init__(
        self,
        tokens: TurnReservations,
        clock: Any,
        facts: RequestFacts,
        service: Service | None,
        *,
        turn: TurnId,
    ) -> None:
        self._tokens = tokens
        self._clock = clock
        self._turn = turn
        self._most = facts.max_output_tokens
        self._budget = facts.token_budget
        self._program = facts.program
        self._waiting: Deferred[ReservationResult] | None = None
        self._per_event = 0
        if service is not None and service.engine is not None:
            self._per_event = service.engine.tokens_per_event

    @property
    def limited(self) -> bool:
        """Whether the turn counts against a program's budget."""
        if self._per_event == 0 or self._program is None:
            return False
        return self._budget is not None

    @property
    def recorded(self) -> int | None:
        """The program's recorded tokens, None without a budget."""
        if not self.limited or self._program is None:
            return None
        return self._tokens.recorded_tokens(self._program)

    def tokens_of(self, events: int) -> int:
        """Returns the tokens of that many events of the answer."""
        return events * self._per_event

    async def reserve(self) -> ReservationResult:
        """Reserves the turn's tokens; None if that can't be decided."""
        if self._program is None or self._budget is None:
            raise ValueError("the turn has no budget")
        answer = self._tokens.reserve(
            self._program,
            self._turn,
            max_tokens=self._most + self._per_event,
            budget=self._budget,
        )
        if not isinstance(answer, Deferred):
            return answer
        timer = self._clock.callLater(RESERVE_TIMEOUT_S, answer.cancel)
        self._waiting = answer
        try:
            return await answer
        except CancelledError:
            return None
        finally:
            self._waiting = None
            if timer.active():
                timer.cancel()

    def settle(self, events: int) -> None:
        """Gives back what the turn did not use.

        Args:
            events: The events that the caller was sent.
        """
        if self._program is None:
            return
        self._tokens.settle(self._program, self._turn, self.tokens_of(events))

    def stop_waiting(self) -> None:
        """Ends a wait for the ledger."""
        if self._waiting is not None:
            self._waiting.cancel()
