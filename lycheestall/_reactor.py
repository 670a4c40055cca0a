"""Installs Twisted's asyncio reactor, once per process."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

__all__ = ["install_reactor"]


def install_reactor() -> None:
    """Installs the asyncio reactor unless a reactor is already installed.

    Must run before anything imports ``twisted.internet.reactor``; some
    libraries do so when they are imported. The reactor is set to use the
    monotonic clock. Its default is the wall clock, whose adjustments
    would shift leases and timeouts.
    """
    if "twisted.internet.reactor" in sys.modules:
        return
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    installed: Any = reactor
    installed.seconds = time.monotonic
