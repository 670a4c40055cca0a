"""Whether one request may still be passed on while a VM shuts down."""

from __future__ import annotations

from ...clock import Clock
from ..retry_policy import AttemptHistory
from .drain_window import DrainWindow

__all__ = ["RequestDrain"]


class RequestDrain:
    """Compares how long a request may last with what its VM has left.

    Args:
        window: How long requests may last.
        clock: Tells the time.
        history: The request's attempts so far.
        route_name: Name of its route.
        received_at: When it was received.
        deadline: When it ends in any case.
    """

    def __init__(
        self,
        window: DrainWindow,
        clock: Clock,
        history: AttemptHistory,
        *,
        route_name: str,
        received_at: float,
        deadline: float,
    ) -> None:
        self._window = window
        self._clock = clock
        self._history = history
        self._route_name = route_name
        self._received_at = received_at
        self._deadline = deadline

    def admits(self) -> bool:
        """Returns whether the request may be passed on to a target.

        One that may have run already is tried to the end.
        """
        if self._history.may_have_run:
            return True
        now = self._clock.seconds()
        return self._window.admits(
            self._route_name, longest_s=self._deadline - now, now=now
        )

    def ended(self) -> None:
        """Notes that the request has ended by itself."""
        if self._history.attempts:
            took_s = self._clock.seconds() - self._received_at
            self._window.record(self._route_name, took_s)
