"""Creates clients of targets from their VM list entries."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .platform_services import VmEntry
from .targets import Application, Engine

__all__ = ["TargetFactory"]


class TargetFactory(ABC):
    """Creates clients for the protocol that the targets use."""

    @abstractmethod
    def engine(self, entry: VmEntry) -> Engine:
        """Returns a client of the model engine on a VM."""

    @abstractmethod
    def application(self, entry: VmEntry) -> Application:
        """Returns a client of the application or tool on a VM."""
