"""Whether targets are heard, and what a new connection shows."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from twisted.internet.defer import Deferred

from ...ids import TargetId

__all__ = ["ProbeResult", "TargetContact"]


class ProbeResult(Enum):
    """What came of opening a connection to a target.

    Attributes:
        CONNECTED: The target has accepted it.
        REFUSED: It was refused.
        SILENT: Nothing was heard in time.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    SILENT = "silent"


class TargetContact(ABC):
    """What a VM hears of the targets."""

    @abstractmethod
    def heard_since(self, target: TargetId, at: float) -> bool:
        """Returns whether a target was heard after some time."""

    @abstractmethod
    def probe(self, target: TargetId) -> Deferred[ProbeResult]:
        """Opens a connection to a target."""

    @abstractmethod
    def reaches_another(
        self, target: TargetId, *, since: float
    ) -> Deferred[bool]:
        """Returns whether this VM reaches another target.

        Args:
            target: The target that doesn't count.
            since: Time after which it is enough to have heard one.
        """
