"""Makes the clients of targets from their VM list entries."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .platform_services import VmEntry
from .targets import Application, Engine

__all__ = ["TargetFactory"]


class TargetFactory(ABC):
    """Knows which protocol targets speak."""

    @abstractmethod
    def engine(self, entry: VmEntry) -> Engine:
        """Returns a client of a model engine."""

    @abstractmethod
    def application(self, entry: VmEntry) -> Application:
        """Returns a client of an application runner or tool service."""
