"""Tracks whether the store is available to this VM."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ..logs import Logger

__all__ = ["StoreHealth", "StoreState"]


class StoreState(Enum):
    """Availability of the store as observed by this VM."""

    UNKNOWN = "unknown"
    UP = "up"
    UNAVAILABLE = "away"


class StoreHealth:
    """Derives the store's availability from the outcomes of calls.

    Topics can fail independently, so each group of topics that matters by
    itself has its own instance.

    A failed call makes the store unavailable only if no call has succeeded
    since the failed one started: when calls queue up at one partition of
    the store, some time out while others succeed.

    Args:
        logger: Logs changes of the state.
        topics: Description of the topics, for the log.
        on_recovered: Called with the current time when the store is
            available again.
        on_unavailable: Called when the store becomes unavailable.

    Attributes:
        state: Availability of the store.
        unavailable_since: When the store last became unavailable.
        failing_since: When the call started that found it unavailable.
    """

    def __init__(
        self,
        logger: Logger,
        topics: str,
        *,
        on_recovered: Callable[[float], None],
        on_unavailable: Callable[[], None] | None = None,
    ) -> None:
        self._logger = logger
        self._topics = topics
        self._on_recovered = on_recovered
        self._on_unavailable = on_unavailable
        self.state = StoreState.UNKNOWN
        self.unavailable_since = 0.0
        self.failing_since = 0.0
        self._succeeded_at = float("-inf")

    @property
    def unavailable(self) -> bool:
        """Whether the store is known to be unavailable."""
        return self.state is StoreState.UNAVAILABLE

    def succeeded(self, now: float) -> None:
        """Records a successful call."""
        self._succeeded_at = now
        if self.state is StoreState.UNAVAILABLE:
            self._logger.info(
                "store is back",
                topics=self._topics,
                away_s=round(now - self.unavailable_since, 3),
            )
            self._on_recovered(now)
        self.state = StoreState.UP

    def failed(self, now: float, error: str, *, started_at: float) -> None:
        """Records a failed call.

        Args:
            now: Current time.
            error: Description of the failure.
            started_at: When the call started.
        """
        if self._succeeded_at > started_at:
            self._logger.info(
                "store call failed beside others",
                topics=self._topics,
                error=error,
            )
            return
        if self.state is StoreState.UNAVAILABLE:
            return
        self._logger.warning("store is away", topics=self._topics, error=error)
        self.unavailable_since = now
        self.failing_since = started_at
        self.state = StoreState.UNAVAILABLE
        if self._on_unavailable is not None:
            self._on_unavailable()
