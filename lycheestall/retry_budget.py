"""A budget for repeats over the whole VM."""

from __future__ import annotations

__all__ = ["RetryBudget"]

RETRY_RATIO = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Allows repeats up to a share of first attempts.

    Every first attempt pays in a share of a repeat; the balance is
    capped, so a quiet hour does not pay for a storm. Over any time the
    repeats are at most ``MAX_BALANCE + RETRY_RATIO * first attempts``.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_balance: float = MAX_BALANCE
    ) -> None:
        """Starts with a full balance.

        Args:
            ratio: Repeats allowed for each first attempt.
            max_balance: The balance's cap, and what it starts with.
        """
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    def record_first_attempt(self) -> None:
        """Counts a first attempt."""
        self._balance = min(self._balance + self._ratio, self._max_balance)

    def try_take(self) -> bool:
        """Takes leave for one repeat; False when the budget is spent."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
