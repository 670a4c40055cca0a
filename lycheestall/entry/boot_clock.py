"""A reactor whose time goes on while the VM is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

__all__ = ["BootClockReactor", "boot_time"]


def boot_time() -> float:
    """Returns the seconds since the VM was booted, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockReactor:
    """Delegates to a reactor, but tells the time since boot.

    The reactor's own clock stands still while the VM is suspended. What is
    valid for a limited time, such as an agreement with peers, would then
    still look valid afterwards. Timers run by the reactor's clock.

    Args:
        reactor: The reactor.
        read_clock: Returns the current time.
    """

    def __init__(
        self, reactor: Any, *, read_clock: Callable[[], float] = boot_time
    ) -> None:
        self._reactor = reactor
        self._read_clock = read_clock

    def seconds(self) -> float:
        """Returns the current time in seconds."""
        return self._read_clock()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)
