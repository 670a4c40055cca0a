"""Limits the retries of a VM relative to its first attempts."""

from __future__ import annotations

__all__ = ["RetryBudget"]

RETRY_RATIO = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """A token bucket that allows retries as a ratio of first attempts.

    Each first attempt adds a fraction of a retry. The balance is capped,
    so that a quiet period does not pay for a retry storm. In any period
    there are at most ``MAX_BALANCE + RETRY_RATIO * first attempts``
    retries.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_balance: float = MAX_BALANCE
    ) -> None:
        """Creates a budget with a full balance.

        Args:
            ratio: Retries allowed per first attempt.
            max_balance: The maximum balance, which is also the initial one.
        """
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    def record_first_attempt(self) -> None:
        """Records a first attempt."""
        self._balance = min(self._balance + self._ratio, self._max_balance)

    def try_take(self) -> bool:
        """Withdraws one retry; returns False when the budget is spent."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
