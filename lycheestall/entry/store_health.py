"""Whether the store answers this VM."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ..logs import Logger

__all__ = ["StoreHealth", "StoreState"]


class StoreState(Enum):
    """How the store looks from this VM."""

    UNKNOWN = "unknown"
    UP = "up"
    AWAY = "away"


class StoreHealth:
    """Follows the outcomes of store calls.

    The store is away when a call fails and no later one was answered: a
    queue in front of one of its partitions holds up some calls while
    others pass.

    Args:
        logger: Where changes are logged.
        returned: Called with the time when the store is back.
    """

    def __init__(
        self, logger: Logger, returned: Callable[[float], None]
    ) -> None:
        self._logger = logger
        self._returned = returned
        self.state = StoreState.UNKNOWN
        self.away_since = 0.0
        self._answered_at = float("-inf")

    @property
    def away(self) -> bool:
        """Whether the last call failed."""
        return self.state is StoreState.AWAY

    def succeeded(self, now: float) -> None:
        """Takes a call that was answered."""
        self._answered_at = now
        if self.state is StoreState.AWAY:
            self._logger.info(
                "store is back", away_s=round(now - self.away_since, 3)
            )
            self._returned(now)
        self.state = StoreState.UP

    def failed(self, now: float, error: str, *, started_at: float) -> None:
        """Takes a call that failed.

        Args:
            now: The time.
            error: What went wrong.
            started_at: When the call was made.
        """
        if self._answered_at > started_at:
            self._logger.info("store call failed beside others", error=error)
            return
        if self.state is not StoreState.AWAY:
            self._logger.warning("store is away", error=error)
            self.away_since = now
        self.state = StoreState.AWAY
