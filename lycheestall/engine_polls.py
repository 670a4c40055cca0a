"""Asks engines for load, cache events and the memory that they hold."""

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

__all__ = ["EnginePolls", "PollDuty"]

Question = Callable[[TargetId], Coroutine[Deferred[Any], Any, None]]


@dataclass(frozen=True, slots=True)
class PollDuty:
    """What decides which engines this VM polls, and what is live.

    Attributes:
        vm: This VM.
        members: Returns the VMs of the cell.
        up_to_date: Whether this VM's state of programs is.
        live: Whether a top-level program is open in the cell.
    """

    vm: VmId
    members: Callable[[], frozenset[VmId]]
    up_to_date: Callable[[], bool]
    live: Callable[[ProgramId], bool]


class EnginePolls:
    """Polls each engine from one VM of the cell; peers hear of it.

    Args:
        engines: The cell's engines.
        dispatcher: Takes what they say.
        duty: Which engines this VM polls.
    """

    def __init__(
        self,
        *,
        engines: EngineDirectory,
        dispatcher: EngineDispatcher,
        duty: PollDuty,
    ) -> None:
        self._engines = engines
        self._dispatcher = dispatcher
        self._duty = duty
        self._load_by_target: dict[TargetId, LoadReport] = {}
        self._next_by_target: dict[TargetId, int] = {}

    async def poll_loads(self) -> None:
        """Asks the engines of this VM's duty for their load."""
        await self._each(self._take_load, self._mine())

    async def poll_caches(self) -> None:
        """Asks every engine for its cache events.

        Each VM asks for itself: its estimate of a cache needs all events
        in order, and gossip would lose some.
        """
        targets = [entry.target for entry in self._engines.entries()]
        await self._each(self._take_events, targets)

    async def sweep_memory(self) -> None:
        """Has engines release what belongs to no open program.

        VMs that died cannot release what they had engines hold.
        """
        if self._duty.up_to_date():
            await self._each(self._take_held, self._mine())

    def fresh_loads(self) -> tuple[LoadReport, ...]:
        """Returns the reports since the last call, for the peers."""
        loads = tuple(self._load_by_target.values())
        self._load_by_target.clear()
        return loads

    def hear(self, peer: VmId, loads: tuple[LoadReport, ...]) -> None:
        """Takes the reports that a peer polled."""
        for report in loads:
            self._dispatcher.observe(report)

    async def _each(self, ask: Question, targets: Iterable[TargetId]) -> None:
        asked = [ensureDeferred(ask(target)) for target in targets]
        await DeferredList(asked, consumeErrors=True)

    def _mine(self) -> list[TargetId]:
        """Returns the engines that this VM polls for the cell."""
        members = self._duty.members() | {self._duty.vm}
        found: list[TargetId] = []
        for entry in self._engines.entries():
            if rendezvous(entry.target, members) == self._duty.vm:
                found.append(entry.target)
        return found

    async def _take_load(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        report = None if engine is None else await engine.load()
        if report is None:
            return
        self._load_by_target[target] = report
        self._dispatcher.observe(report)

    async def _take_events(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        since = self._next_by_target.get(target, 0)
        page = None if engine is None else await engine.cache_events(since)
        if page is None:
            return
        self._next_by_target[target] = page.next_sequence
        self._dispatcher.observe_cache(target, page)

    async def _take_held(self, target: TargetId) -> None:
        engine = self._engines.engine(target)
        held = None if engine is None else await engine.held()
        if held is not None and self._duty.up_to_date():
            self._dispatcher.found(target, held, self._duty.live)
