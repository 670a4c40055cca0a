"""Polls engines for load, cache events and the memory they hold."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from .engine_directory import EngineDirectory
from .engine_dispatcher import EngineDispatcher
from .ids import ProgramId, TargetId, VmId
from .rendezvous import rendezvous
from .targets import LoadReport

__all__ = ["EnginePoller", "PollAssignment"]

PollFunction = Callable[[TargetId], Coroutine[Deferred[Any], Any, None]]


@dataclass(frozen=True, slots=True)
class PollAssignment:
    """Input for choosing the engines that this VM polls.

    Attributes:
        vm: This VM.
        members: Returns the VMs of the cell.
        up_to_date: Returns whether this VM's state of the cell's programs
            is current.
        is_live: Returns whether a top-level program is open in the cell.
    """

    vm: VmId
    members: Callable[[], frozenset[VmId]]
    up_to_date: Callable[[], bool]
    is_live: Callable[[ProgramId], bool]


class EnginePoller:
    """Polls each engine from one VM of the cell, which tells its peers.

    Args:
        engines: The cell's engines.
        dispatcher: Receives the results.
        assignment: Determines the engines that this VM polls.
    """

    def __init__(
        self,
        *,
        engines: EngineDirectory,
        dispatcher: EngineDispatcher,
        assignment: PollAssignment,
    ) -> None:
        self._engines = engines
        self._dispatcher = dispatcher
        self._assignment = assignment
        self._load_by_target: dict[TargetId, LoadReport] = {}
        self._next_sequence_by_target: dict[TargetId, int] = {}

    async def poll_loads(self) -> None:
        """Polls the load of the engines assigned to this VM."""
        await self._poll_each(self._poll_load, self._assigned_targets())

    async def poll_caches(self) -> None:
        """Polls every engine for its cache events.

        Every VM polls all engines, because its cache estimate needs all
        events in order and gossip between VMs would lose some.
        """
        targets = [entry.target for entry in self._engines.entries()]
        await self._poll_each(self._poll_cache_events, targets)

    async def reconcile_memory(self) -> None:
        """Releases memory on engines that belongs to no open program.

        This frees the memory of programs whose VM died.
        """
        if self._assignment.up_to_date():
            await self._poll_each(
                self._poll_held_memory, self._assigned_targets()
            )

    def take_new_loads(self) -> tuple[LoadReport, ...]:
        """Returns and clears the reports polled since the last call."""
        loads = tuple(self._load_by_target.values())
        self._load_by_target.clear()
        return loads

    def receive_loads(self, peer: VmId, loads: tuple[LoadReport, ...]) -> None:
        """Passes a peer's load reports to the dispatcher."""
        for report in loads:
            self._dispatcher.observe(report)

    async def _poll_each(
        self, poll: PollFunction, targets: Iterable[TargetId]
    ) -> None:
        polls = [ensureDeferred(poll(target)) for target in targets]
        await DeferredList(polls, consumeErrors=True)

    def _assigned_targets(self) -> list[TargetId]:
        """Returns the engines that this VM polls on behalf of the cell."""
        members = self._assignment.members() | {self._assignment.vm}
        assigned: list[TargetId] = []
        for entry in self._engines.entries():
            if rendezvous(entry.target, members) == self._assignment.vm:
                assigned.append(entry.target)
        return assigned

    async def _poll_load(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        report = None if engine is None else await engine.load()
        if report is None:
            return
        self._load_by_target[target] = report
        self._dispatcher.observe(report)

    async def _poll_cache_events(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        since = self._next_sequence_by_target.get(target, 0)
        page = None if engine is None else await engine.cache_events(since)
        if page is None:
            return
        self._next_sequence_by_target[target] = page.next_sequence
        self._dispatcher.observe_cache(target, page)

    async def _poll_held_memory(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        held = None if engine is None else await engine.held()
        if held is not None and self._assignment.up_to_date():
            self._dispatcher.reconcile_memory(
                target, held, self._assignment.is_live
            )
