"""A simulated engine of the policy bench."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..dispatch_commands import JobKey
from ..engine_model import (
    CacheChanged,
    EngineCosts,
    EngineModel,
    ModelEvent,
    ModelRequest,
)
from ..ids import ProgramId, RequestId, TargetId, VmId
from ..targets import CacheEvent, CacheEvents, LoadReport
from ._clock import SimulationClock

__all__ = ["BenchEngine", "EngineJob"]


@dataclass(frozen=True, slots=True)
class EngineJob:
    """The job that a request at an engine belongs to, and its VM."""

    vm: VmId
    key: JobKey


class BenchEngine:
    """Runs an engine model on the simulation clock."""

    def __init__(
        self,
        target: TargetId,
        costs: EngineCosts,
        *,
        clock: SimulationClock,
        on_event: Callable[[BenchEngine, ModelEvent], None],
        event_loss: float,
        random: Random,
    ) -> None:
        """Initializes an idle engine.

        Args:
            target: The engine's id.
            costs: The engine's speeds and limits.
            clock: The simulation clock.
            on_event: Called with each event except cache changes.
            event_loss: Share of cache events that are lost.
            random: Source of the choice of lost events.
        """
        self.target = target
        self.model = EngineModel(costs)
        self.job_by_request: dict[RequestId, EngineJob] = {}
        self.down = False
        self._clock = clock
        self._on_event = on_event
        self._event_loss = event_loss
        self._random = random
        self._tick_at: float | None = None
        self._sequence = 0
        self._cache_events: list[CacheEvent] = []

    def submit(self, request: ModelRequest, engine_job: EngineJob) -> bool:
        """Submits a request; returns False if the engine is down or full."""
        if self.down:
            return False
        if not self.model.submit(request, self._clock.now):
            return False
        self.job_by_request[request.request] = engine_job
        self._process_events()
        return True

    def cancel(self, request: RequestId) -> None:
        """Cancels a request."""
        self.job_by_request.pop(request, None)
        self.model.cancel(request, self._clock.now)
        self._process_events()

    def release(self, root: ProgramId) -> None:
        """Frees the cache memory of a program."""
        self.model.release(root, self._clock.now)
        self._process_events()

    def crash(self) -> list[EngineJob]:
        """Crashes: drops all state and returns the jobs that were lost."""
        self._process_events()
        lost = self.model.crash(self._clock.now)
        jobs = [self.job_by_request[r] for r in lost]
        self.job_by_request.clear()
        self.down = True
        return jobs

    def report(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            target=self.target,
            running=self.model.running,
            waiting=self.model.waiting,
            kv_used=self.model.kv_used,
            tokens_per_s=0.0,
        )

    def take_cache_events(self) -> CacheEvents:
        """Returns the cache events since the last call, less the lost ones."""
        page = CacheEvents(tuple(self._cache_events), self._sequence + 1)
        self._cache_events = []
        return page

    def _tick(self, scheduled_at: float) -> None:
        if self._tick_at != scheduled_at:
            return
        self._tick_at = None
        self._process_events()

    def _process_events(self) -> None:
        for event in self.model.advance(self._clock.now):
            if isinstance(event, CacheChanged):
                self._queue_cache_event(event)
                continue
            self._on_event(self, event)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        at = self.model.next_event_at()
        if at is None or at == self._tick_at:
            return
        self._tick_at = at
        self._clock.call_at(at, self._tick, at)

    def _queue_cache_event(self, event: CacheChanged) -> None:
        self._sequence += 1
        if self._random.random() < self._event_loss:
            return
        self._cache_events.append(
            CacheEvent(self._sequence, event.program, event.tokens)
        )
