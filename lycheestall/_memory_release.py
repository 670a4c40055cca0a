"""Asks engines to free memory."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .dispatch_commands import ReleaseMemory
from .engine_directory import EngineDirectory
from .ids import ProgramId, TargetId

__all__ = ["MemoryRelease", "ReleaseWatcher"]


class ReleaseWatcher(ABC):
    """Hears of confirmed releases."""

    @abstractmethod
    def released(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""


class MemoryRelease:
    """Carries out releases; one that fails is asked for again later."""

    def __init__(
        self, engines: EngineDirectory, watcher: ReleaseWatcher
    ) -> None:
        """Starts with nothing to do.

        Args:
            engines: The cell's engines.
            watcher: Who hears what engines say.
        """
        self._engines = engines
        self._watcher = watcher

    async def release(self, command: ReleaseMemory) -> None:
        """Asks an engine to free what it holds for a program."""
        engine = self._engines.engine(command.target)
        if engine is None:
            self._watcher.released(command.target, command.program)
            return
        if await engine.release(command.program):
            self._watcher.released(command.target, command.program)
