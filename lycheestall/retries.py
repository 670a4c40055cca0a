"""A budget for repeats over the whole VM."""

from __future__ import annotations

__all__ = ["RetryBudget"]

SHARE = 0.1
LEAST = 10.0


class RetryBudget:
    """Allows repeats up to a share of first attempts.

    Every first attempt pays in a share of a repeat; the balance is
    capped, so a quiet hour does not pay for a storm. Over any time the
    repeats are at most ``LEAST + SHARE * first attempts``.
    """

    def __init__(self, *, share: float = SHARE, least: float = LEAST) -> None:
        """Starts with a full balance.

        Args:
            share: Repeats allowed for each first attempt.
            least: The balance's cap, and what it starts with.
        """
        self._share = share
        self._cap = least
        self._balance = least

    def first_attempt(self) -> None:
        """Counts a first attempt."""
        self._balance = min(self._balance + self._share, self._cap)

    def take(self) -> bool:
        """Takes leave for one repeat; False when the budget is spent."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
