"""What a node is plugged into."""

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

__all__ = ["NodePorts"]


@dataclass(frozen=True, slots=True)
class NodePorts:
    """What a node is plugged into.

    Attributes:
        clock: Monotonic time.
        wall_ms: Wall-clock time, milliseconds since 1970.
        log: The platform's log service.
        vm_list: The platform's VM list.
        mesh: The other daemons.
        targets: Makes clients of targets.
        random: Seeded source for ties and ids.
        logger: Where the node logs.
        metrics: Where the node counts.
    """

    clock: Clock
    wall_ms: Callable[[], int]
    log: LogService
    vm_list: VmList
    mesh: Mesh
    targets: TargetFactory
    random: Random
    logger: Logger
    metrics: Metrics
