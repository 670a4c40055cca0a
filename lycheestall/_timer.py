"""A typed view of Twisted's clock interface.

``IReactorTime`` declares its methods without ``self``, which type
checkers cannot call; the protocol here has the same methods.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.interfaces import IDelayedCall, IReactorTime

__all__ = ["Timer", "timer_of"]


class Timer(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Returns the monotonic time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> IDelayedCall:
        """Calls a function after ``delay`` seconds."""


def timer_of(clock: IReactorTime) -> Timer:
    """Returns a Twisted clock under a type that can be called."""
    return cast(Timer, clock)
