"""What a VM's copy of the ledger may lack in an outage."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

__all__ = ["LastReads", "LedgerGap", "UNREAD_WINDOW_S"]

UNREAD_WINDOW_S = 0.7
"""Seconds in which a VM's records of one program allocate at most half of the
budget, unless another VM has read them. Each VM reads the ledger every 1.5 to
2 s, so one of a dozen does about every 0.15 s."""


class LedgerGap(Enum):
    """Whose records may be missing.

    Attributes:
        NONE: Nobody's.
        ONE_VM: Those of one silent VM from its last ``UNREAD_WINDOW_S``; they
            allocate at most half of a program's budget.
        MANY: Any.
    """

    NONE = "none"
    ONE_VM = "one vm"
    MANY = "many"


class LastReads:
    """Last read and first failed call of this VM, and those of its peers.

    Args:
        read_at: Returns when this VM last read it.
        failing_since: Returns when the first of its failed calls started.
    """

    def __init__(
        self,
        *,
        read_at: Callable[[], float],
        failing_since: Callable[[], float],
    ) -> None:
        self._read_at = read_at
        self._failing_since = failing_since
        self._peers_read_at = float("-inf")
        self._peers_failing_since: set[float] = set()

    @property
    def read_at(self) -> float:
        """When any of the VMs last read the ledger."""
        return max(self._read_at(), self._peers_read_at)

    @property
    def failing_since(self) -> float:
        """When the first of this VM's failed calls started."""
        return self._failing_since()

    def unread_s(self, now: float) -> float:
        """Returns the seconds from the last read to the first failed call.

        Args:
            now: Current time.
        """
        read_at = self.read_at
        failing = {self._failing_since(), *self._peers_failing_since}
        later = [since for since in failing if since >= read_at]
        return min(later, default=now) - read_at

    def add(self, *, read_at: float, failing_since: float) -> None:
        """Adds what a peer has told."""
        self._peers_read_at = max(self._peers_read_at, read_at)
        self._peers_failing_since.add(failing_since)

    def clear(self) -> None:
        """Forgets what peers have told."""
        self._peers_read_at = float("-inf")
        self._peers_failing_since.clear()
