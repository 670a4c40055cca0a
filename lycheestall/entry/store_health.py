"""Whether the store answers this VM, for some of its topics."""

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
    """Follows the outcomes of calls about some topics.

    Topics can fail one by one, so each group that matters by itself has a
    health of its own.

    The store is away when a call fails and no later one was answered: a
    queue in front of one of its partitions holds up some calls while
    others pass.

    Args:
        logger: Where changes are logged.
        topics: What the topics hold, for the log.
        returned: Called with the time when the store is back.
        lost: Called when the store does not answer any more.
    """

    def __init__(
        self,
        logger: Logger,
        topics: str,
        *,
        returned: Callable[[float], None],
        lost: Callable[[], None] | None = None,
    ) -> None:
        self._logger = logger
        self._topics = topics
        self._returned = returned
        self._lost = lost
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
                "store is back",
                topics=self._topics,
                away_s=round(now - self.away_since, 3),
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
            self._logger.info(
                "store call failed beside others",
                topics=self._topics,
                error=error,
            )
            return
        if self.state is StoreState.AWAY:
            return
        self._logger.warning("store is away", topics=self._topics, error=error)
        self.away_since = now
        self.state = StoreState.AWAY
        if self._lost is not None:
            self._lost()
