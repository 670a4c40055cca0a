"""Asks engines to free memory, and what they hold."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from .dispatch_commands import ReleaseMemory
from .engine_directory import EngineDirectory
from .ids import ProgramId, TargetId
from .targets import HeldMemory

__all__ = ["MemoryRelease", "MemoryWatcher"]


class MemoryWatcher(ABC):
    """Hears what engines say about memory."""

    @abstractmethod
    def released(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""

    @abstractmethod
    def found(
        self,
        target: TargetId,
        held: tuple[HeldMemory, ...],
        live: Callable[[ProgramId], bool],
    ) -> None:
        """An engine has listed what it holds."""


class MemoryRelease:
    """Carries out releases; one that fails is asked for again later."""

    def __init__(
        self, engines: EngineDirectory, watcher: MemoryWatcher
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

    async def audit(self, live: Callable[[ProgramId], bool]) -> None:
        """Asks every engine what it holds."""
        for entry in self._engines.entries():
            engine = self._engines.engine(entry.target)
            held = await engine.held() if engine is not None else None
            if held is not None:
                self._watcher.found(entry.target, held, live)
