"""An engine of the policy bench: a model, its reports and its faults."""

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
from ._timeline import Timeline

__all__ = ["BenchEngine", "SentJob"]


@dataclass(frozen=True, slots=True)
class SentJob:
    """Whose job a request at an engine is."""

    vm: VmId
    key: JobKey


class BenchEngine:
    """Runs an engine model on the bench's timeline."""

    def __init__(
        self,
        target: TargetId,
        costs: EngineCosts,
        *,
        timeline: Timeline,
        on_event: Callable[[BenchEngine, ModelEvent], None],
        event_loss: float,
        random: Random,
    ) -> None:
        """Starts idle.

        Args:
            target: The engine's id.
            costs: What it can do.
            timeline: When things happen.
            on_event: Hears of starts, first tokens and ends.
            event_loss: Share of cache events that are lost.
            random: Decides which are lost.
        """
        self.target = target
        self.model = EngineModel(costs)
        self.sent_by_request: dict[RequestId, SentJob] = {}
        self.down = False
        self._timeline = timeline
        self._on_event = on_event
        self._event_loss = event_loss
        self._random = random
        self._tick_at: float | None = None
        self._sequence = 0
        self._cache_events: list[CacheEvent] = []

    def submit(self, request: ModelRequest, sent: SentJob) -> bool:
        """Takes a request; False when down or full."""
        if self.down:
            return False
        if not self.model.submit(request, self._timeline.now):
            return False
        self.sent_by_request[request.request] = sent
        self._handle_events()
        return True

    def cancel(self, request: RequestId) -> None:
        """Stops a request."""
        self.sent_by_request.pop(request, None)
        self.model.cancel(request, self._timeline.now)
        self._handle_events()

    def release(self, root: ProgramId) -> None:
        """Frees what is held for a program."""
        self.model.release(root, self._timeline.now)
        self._handle_events()

    def crash(self) -> list[SentJob]:
        """Loses everything and goes down; returns the jobs lost."""
        self._handle_events()
        lost = self.model.crash(self._timeline.now)
        jobs = [self.sent_by_request[r] for r in lost]
        self.sent_by_request.clear()
        self.down = True
        return jobs

    def report(self) -> LoadReport:
        """Returns the load as it is now."""
        return LoadReport(
            target=self.target,
            running=self.model.running,
            waiting=self.model.waiting,
            kv_used=self.model.kv_used,
            tokens_per_s=0.0,
        )

    def take_cache_events(self) -> CacheEvents:
        """Returns the events since the last call, some of them lost."""
        page = CacheEvents(tuple(self._cache_events), self._sequence + 1)
        self._cache_events = []
        return page

    def _tick(self, planned: float) -> None:
        if self._tick_at != planned:
            return
        self._tick_at = None
        self._handle_events()

    def _handle_events(self) -> None:
        for event in self.model.advance(self._timeline.now):
            if isinstance(event, CacheChanged):
                self._note_cache(event)
                continue
            self._on_event(self, event)
        self._plan_tick()

    def _plan_tick(self) -> None:
        at = self.model.next_event_at()
        if at is None or at == self._tick_at:
            return
        self._tick_at = at
        self._timeline.at(at, self._tick, at)

    def _note_cache(self, event: CacheChanged) -> None:
        self._sequence += 1
        if self._random.random() < self._event_loss:
            return
        self._cache_events.append(
            CacheEvent(self._sequence, event.program, event.tokens)
        )
