"""How recently this VM's configuration was known to be the newest."""

from __future__ import annotations

from ...ids import Offset

__all__ = ["ConfigurationEvidence"]

CURRENT_S = 3.0
"""Age of the evidence up to which the configuration counts as current.
Callers rely on a version only that long after the store has accepted it, so
whatever they may rely on has been read. A read that the store holds as a long
poll proves this every 1.6 s."""


class ConfigurationEvidence:
    """Records what proves that no newer configuration exists.

    A completed read of the store proves that everything was read that had
    been written when the read started.
    """

    def __init__(self) -> None:
        self._proven_at = float("-inf")
        self._unreadable: Offset | None = None

    def confirmed(self, at: float) -> None:
        """Notes that all that the store held at a time has been read."""
        self._proven_at = max(self._proven_at, at)

    def record_unreadable(self, offset: Offset) -> None:
        """Notes a newer configuration that this VM can't decode."""
        self._unreadable = offset

    def record_readable(self, offset: Offset) -> None:
        """Notes a configuration that this VM has decoded."""
        if self._unreadable is not None and offset > self._unreadable:
            self._unreadable = None

    def age_s(self, now: float) -> float:
        """Returns the seconds since the configuration was surely current."""
        if self._unreadable is not None:
            return float("inf")
        return now - self._proven_at

    def is_current(self, now: float) -> bool:
        """Returns whether callers can rely on no other configuration."""
        return self.age_s(now) <= CURRENT_S
