"""The services, clocks and outputs that a node uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .clock import Clock
from .logs import Logger
from .mesh import Mesh
from .metrics import Metrics
from .platform_services import LogService, VmList
from .target_factory import TargetFactory

__all__ = ["NodeDependencies"]


@dataclass(frozen=True, slots=True)
class NodeDependencies:
    """The services, clocks and outputs that a node uses.

    Attributes:
        clock: Monotonic clock.
        wall_ms: Returns the wall-clock time in milliseconds since 1970.
        log: The platform's log service.
        vm_list: The platform's VM list.
        mesh: Connections to the other daemons.
        target_factory: Creates clients of targets.
        random: Random source for tie-breaking and ids.
        logger: Logs the node's events.
        metrics: Collects the node's metrics.
    """

    clock: Clock
    wall_ms: Callable[[], int]
    log: LogService
    vm_list: VmList
    mesh: Mesh
    target_factory: TargetFactory
    random: Random
    logger: Logger
    metrics: Metrics
