"""The part of Twisted's reactor that tells and waits for time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

__all__ = ["Clock", "Timer"]


class Timer(Protocol):
    """A pending timed call."""

    def cancel(self) -> None:
        """Drops the call; an error if it has run."""

    def active(self) -> bool:
        """Returns whether the call is still to come."""


class Clock(Protocol):
    """Monotonic time in seconds; the reactor or a virtual clock.

    ``IReactorTime`` says the same, but type checkers cannot read it.
    """

    def seconds(self) -> float:
        """Returns the time."""

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> Any:
        """Calls back after ``delay`` seconds; returns a ``Timer``."""
