"""Asks engines to free memory."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .dispatch_commands import ReleaseMemory
from .engine_directory import EngineDirectory
from .ids import ProgramId, TargetId

__all__ = ["MemoryReleaser", "ReleaseObserver"]


class ReleaseObserver(ABC):
    """Hears of confirmed releases."""

    @abstractmethod
    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""


class MemoryReleaser:
    """Carries out releases; one that fails is asked for again later."""

    def __init__(
        self, engines: EngineDirectory, observer: ReleaseObserver
    ) -> None:
        """Starts with nothing to do.

        Args:
            engines: The cell's engines.
            observer: Who hears what engines say.
        """
        self._engines = engines
        self._observer = observer

    async def release(self, command: ReleaseMemory) -> None:
        """Asks an engine to free what it holds for a program."""
        engine = self._engines.engine(command.target)
        if engine is None:
            self._observer.release_confirmed(command.target, command.program)
            return
        if await engine.release(command.program):
            self._observer.release_confirmed(command.target, command.program)
