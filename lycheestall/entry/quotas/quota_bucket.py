"""A token bucket that takes back permits as if it had never granted them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..permit_bucket import Slot

__all__ = ["QuotaBucket"]

HISTORY_S = 3.0
"""Seconds for which a permit can be given back; a target that refuses a
request does so earlier."""


@dataclass(slots=True)
class _Grant:
    """Permits that were granted at one time."""

    at: float
    permits: int


class QuotaBucket:
    """The permits of one account that its deciding VM has in stock.

    A permit that is given back late must not add to a stock that was full
    in between: the account would get it twice. Recent grants are therefore
    kept, and the stock is computed anew without the ones given back.

    Args:
        rate_per_s: Permits added per second.
        capacity: Most permits in stock.
        level: Permits in stock now.
        now: Current time.
    """

    def __init__(
        self, *, rate_per_s: float, capacity: float, level: float, now: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(capacity, level)
        self._at = now
        self._base_level = self._level
        self._base_at = now
        self._grants: deque[_Grant] = deque()

    def level(self, now: float) -> float:
        """Returns the permits in stock; negative if requests wait."""
        self._refill(now)
        return self._level

    def take(self, now: float, *, max_wait_s: float) -> Slot:
        """Takes one permit, unless it is available too late.

        Args:
            now: Current time.
            max_wait_s: Seconds that the request would wait.
        """
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._level) / self.rate_per_s)
        if wait_s > max_wait_s:
            return Slot(taken=False, wait_s=wait_s)
        self._take()
        return Slot(taken=True, wait_s=wait_s)

    def give_back(self, granted_at: float, permits: int, now: float) -> None:
        """Cancels permits of a grant; ignored if it is no longer kept.

        Args:
            granted_at: When they were granted.
            permits: How many.
            now: Current time.
        """
        self._refill(now)
        for grant in self._grants:
            if grant.at == granted_at:
                grant.permits -= min(permits, grant.permits)
                self._replay(now)
                return

    def change(
        self, *, rate_per_s: float, capacity: float, now: float
    ) -> None:
        """Changes the quota; a stock above the new capacity is cut."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(capacity, self._level)
        self._forget_grants()

    def add(self, permits: float, now: float) -> None:
        """Adds permits that another VM had in stock."""
        self._refill(now)
        self._level = min(self.capacity, self._level + permits)
        self._forget_grants()

    def skip(self, until: float) -> None:
        """Skips the refill up to a time, since the VM was suspended."""
        self._at = max(self._at, until)
        self._forget_grants()

    def _forget_grants(self) -> None:
        self._base_level = self._level
        self._base_at = self._at
        self._grants.clear()

    def _refill(self, now: float) -> None:
        if now > self._at:
            self._level = self._refilled(self._level, now - self._at)
            self._at = now

    def _refilled(self, level: float, seconds: float) -> float:
        return min(self.capacity, level + seconds * self.rate_per_s)

    def _take(self) -> None:
        self._level -= 1
        if self._grants and self._grants[-1].at == self._at:
            self._grants[-1].permits += 1
        else:
            self._grants.append(_Grant(self._at, 1))
        while self._grants[0].at < self._at - HISTORY_S:
            self._fold(self._grants.popleft())

    def _fold(self, grant: _Grant) -> None:
        refilled = self._refilled(self._base_level, grant.at - self._base_at)
        self._base_level = refilled - grant.permits
        self._base_at = grant.at

    def _replay(self, now: float) -> None:
        level, at = self._base_level, self._base_at
        for grant in self._grants:
            level = self._refilled(level, grant.at - at) - grant.permits
            at = grant.at
        self._level = self._refilled(level, max(0.0, now - at))
