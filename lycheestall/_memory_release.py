"""Asks engines to release memory."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .dispatch_commands import ReleaseMemory
from .engine_directory import EngineDirectory
from .ids import ProgramId, TargetId

__all__ = ["MemoryReleaser", "ReleaseObserver"]


class ReleaseObserver(ABC):
    """Is notified of confirmed releases."""

    @abstractmethod
    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""


class MemoryReleaser:
    """Executes release commands; the scheduler repeats failed ones."""

    def __init__(
        self, engines: EngineDirectory, observer: ReleaseObserver
    ) -> None:
        """Stores the directory and the observer.

        Args:
            engines: The cell's engines.
            observer: Is notified of confirmed releases.
        """
        self._engines = engines
        self._observer = observer

    async def release(self, command: ReleaseMemory) -> None:
        """Asks an engine to release a program's memory.

        An engine that is no longer known counts as confirmed.
        """
        engine = self._engines.engine(command.target)
        if engine is None:
            self._observer.release_confirmed(command.target, command.program)
            return
        if await engine.release(command.program):
            self._observer.release_confirmed(command.target, command.program)
