"""Leases of engine memory to programs, released when those end.

Whatever an engine holds for a program (cached prefix, pin, export,
finished stream) is leased to the top-level program. The lease ends with
the program, with its cancel or when it vanishes; the engine is then asked
to release until it confirms. After VMs died, engines are asked what they
hold, and what belongs to no live program is released as well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .dispatch_commands import ReleaseMemory
from .ids import ProgramId, TargetId, root_program
from .targets import HeldMemory

__all__ = ["EngineMemory"]

REPEAT_S = 2.0
ORPHAN_SIGHTINGS = 2


class EngineMemory:
    """Which programs this VM lets engines hold memory for."""

    def __init__(self) -> None:
        """Starts with no leases."""
        self._targets_by_root: dict[ProgramId, set[TargetId]] = {}
        self._due_by_release: dict[tuple[TargetId, ProgramId], float] = {}
        self._orphan_sightings: dict[tuple[TargetId, ProgramId], int] = {}

    def lease(self, root: ProgramId, target: TargetId) -> None:
        """Notes that an engine holds memory for a program from now on."""
        self._targets_by_root.setdefault(root, set()).add(target)
        self._due_by_release.pop((target, root), None)

    def leased(self, root: ProgramId) -> frozenset[TargetId]:
        """Returns the engines that hold memory for a program."""
        return frozenset(self._targets_by_root.get(root, ()))

    def ended(self, root: ProgramId, now: float) -> list[ReleaseMemory]:
        """Ends a program's leases and returns the releases to ask for."""
        for target in sorted(self._targets_by_root.pop(root, ())):
            self._due_by_release[(target, root)] = now
        return self.due(now)

    def moved(
        self, root: ProgramId, target: TargetId, now: float
    ) -> list[ReleaseMemory]:
        """Ends the leases on all engines but the one it moved to."""
        held = self._targets_by_root.get(root, set())
        for other in sorted(held - {target}):
            held.discard(other)
            self._due_by_release[(other, root)] = now
        return self.due(now)

    def due(self, now: float) -> list[ReleaseMemory]:
        """Returns the releases to ask for now; repeats unconfirmed ones."""
        releases: list[ReleaseMemory] = []
        for (target, root), due in self._due_by_release.items():
            if due > now:
                continue
            self._due_by_release[(target, root)] = now + REPEAT_S
            releases.append(ReleaseMemory(target, root))
        return releases

    def next_due(self) -> float | None:
        """Returns when a release is to be asked for next."""
        return min(self._due_by_release.values(), default=None)

    def confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Notes that an engine has released a program's memory."""
        self._due_by_release.pop((target, root), None)

    def target_gone(self, target: TargetId) -> None:
        """Drops leases and releases of an engine that lost its memory."""
        for targets in self._targets_by_root.values():
            targets.discard(target)
        gone = [k for k in self._due_by_release if k[0] == target]
        for key in gone:
            del self._due_by_release[key]

    def unconfirmed(self) -> int:
        """Returns how many releases no engine has confirmed yet."""
        return len(self._due_by_release)

    def found(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        *,
        live: Callable[[ProgramId], bool],
        now: float,
    ) -> list[ReleaseMemory]:
        """Compares what an engine holds with the programs that live.

        A program has to be seen dead twice in a row before its memory is
        released, since a new program may not have reached this VM's
        state when it is first seen.

        Args:
            target: The engine.
            held: What it says it holds.
            live: Whether a top-level program lives in the cell.
            now: The time.
        """
        roots = {root_program(item.program) for item in held}
        dead = [root for root in sorted(roots) if not live(root)]
        for key in [k for k in self._orphan_sightings if k[0] == target]:
            if key[1] not in dead:
                del self._orphan_sightings[key]
        for root in dead:
            seen = self._orphan_sightings.get((target, root), 0) + 1
            self._orphan_sightings[(target, root)] = seen
            if seen < ORPHAN_SIGHTINGS:
                continue
            self._due_by_release.setdefault((target, root), now)
        return self.due(now)
