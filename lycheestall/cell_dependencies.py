"""Services that a cell's agent depends on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .clock import Clock
from .ids import SessionId
from .mesh import Mesh
from .platform_services import LogService

__all__ = ["CellDependencies"]


@dataclass(frozen=True, slots=True)
class CellDependencies:
    """Services that an agent depends on.

    Attributes:
        clock: Monotonic clock.
        log: The platform's log service.
        mesh: Connections to the other daemons.
        new_session: Returns a session id that was never used before.
    """

    clock: Clock
    log: LogService
    mesh: Mesh
    new_session: Callable[[], SessionId]
