"""Tracks engine memory held for programs and releases it when they end.

Memory that an engine holds for a program (cached prefix, pin, export,
finished stream) is tracked under the top-level program. When the program
ends, is cancelled or vanishes, the engine is asked to release the memory
until it confirms. A VM that dies loses this record; therefore engines are
also asked what they hold, and memory of no live program is released.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .dispatch_commands import ReleaseMemory
from .ids import ProgramId, TargetId, root_program
from .targets import HeldMemory

__all__ = ["EngineMemoryTracker"]

RELEASE_RETRY_S = 2.0
ORPHAN_CHECKS_NEEDED = 2


class EngineMemoryTracker:
    """Records which engines hold memory for this VM's programs."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self._targets_by_root: dict[ProgramId, set[TargetId]] = {}
        self._due_by_release: dict[tuple[TargetId, ProgramId], float] = {}
        self._orphan_checks: dict[tuple[TargetId, ProgramId], int] = {}

    def record_held(self, root: ProgramId, target: TargetId) -> None:
        """Records that an engine holds memory for a program from now on."""
        self._targets_by_root.setdefault(root, set()).add(target)
        self._due_by_release.pop((target, root), None)

    def holders(self, root: ProgramId) -> frozenset[TargetId]:
        """Returns the engines that hold memory for a program."""
        return frozenset(self._targets_by_root.get(root, ()))

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[ReleaseMemory]:
        """Schedules the release of a program's memory on all engines."""
        for target in sorted(self._targets_by_root.pop(root, ())):
            self._due_by_release[(target, root)] = now
        return self.due(now)

    def program_moved(
        self, root: ProgramId, target: TargetId, now: float
    ) -> list[ReleaseMemory]:
        """Schedules the release on all engines but the new one."""
        held = self._targets_by_root.get(root, set())
        for other in sorted(held - {target}):
            held.discard(other)
            self._due_by_release[(other, root)] = now
        return self.due(now)

    def due(self, now: float) -> list[ReleaseMemory]:
        """Returns the releases to request now; repeats unconfirmed ones."""
        releases: list[ReleaseMemory] = []
        for (target, root), due in self._due_by_release.items():
            if due > now:
                continue
            self._due_by_release[(target, root)] = now + RELEASE_RETRY_S
            releases.append(ReleaseMemory(target, root))
        return releases

    def next_due(self) -> float | None:
        """Returns when the next release is due, None if none is pending."""
        return min(self._due_by_release.values(), default=None)

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Records that an engine has released a program's memory."""
        self._due_by_release.pop((target, root), None)

    def engine_lost_memory(self, target: TargetId) -> None:
        """Removes all records of an engine that lost its memory."""
        for targets in self._targets_by_root.values():
            targets.discard(target)
        lost = [k for k in self._due_by_release if k[0] == target]
        for key in lost:
            del self._due_by_release[key]

    def unconfirmed_releases(self) -> int:
        """Returns the number of releases that are not yet confirmed."""
        return len(self._due_by_release)

    def reconcile(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        *,
        is_live: Callable[[ProgramId], bool],
        now: float,
    ) -> list[ReleaseMemory]:
        """Schedules the release of memory that belongs to no live program.

        A program must be found not live twice in a row, because a new
        program may not yet be in this VM's state at the first check.

        Args:
            target: The engine.
            held: The memory that it reports.
            is_live: Returns whether a top-level program is open in the
                cell.
            now: The current time.
        """
        roots = {root_program(item.program) for item in held}
        orphans = [root for root in sorted(roots) if not is_live(root)]
        for key in [k for k in self._orphan_checks if k[0] == target]:
            if key[1] not in orphans:
                del self._orphan_checks[key]
        for root in orphans:
            checks = self._orphan_checks.get((target, root), 0) + 1
            self._orphan_checks[(target, root)] = checks
            if checks < ORPHAN_CHECKS_NEEDED:
                continue
            self._due_by_release.setdefault((target, root), now)
        return self.due(now)
