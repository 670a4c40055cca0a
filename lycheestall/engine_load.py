"""An own estimate of each engine's load between its late reports."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .ids import TargetId
from .targets import LoadReport

__all__ = ["EngineLoad"]

HISTORY_S = 10.0
DEFAULT_SLOTS = 16
SMOOTHING = 0.2


@dataclass(slots=True)
class _Load:
    own: int = 0
    others: float = 0.0
    waiting: int = 0
    reported_s: float = 0.0
    slots: float = 0.0
    sent_since: int = 0
    history: deque[tuple[float, int]] = field(default_factory=deque)


class EngineLoad:
    """Requests at each engine: own ones exactly, others' by report.

    A report says how many requests an engine had some time ago. What was
    the VM's own then is taken off, what is its own now is added, so that
    own dispatches since the report count at once.
    """

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._load_by_target: dict[TargetId, _Load] = {}

    def observe(self, report: LoadReport, now: float) -> None:
        """Takes a load report."""
        load = self._load(report.target)
        made_s = now - report.age_s
        total = report.running + report.waiting
        own_then = self._own_at(load, made_s)
        load.others = float(max(total - own_then, 0))
        load.waiting = report.waiting
        load.reported_s = made_s
        load.sent_since = 0
        if report.waiting and report.running:
            self._learn_slots(load, report.running)
        elif report.running > load.slots:
            load.slots = max(load.slots, float(report.running))

    def sent(self, target: TargetId, now: float) -> None:
        """Counts an own request that an engine was sent."""
        load = self._load(target)
        load.sent_since += 1
        self._count(load, 1, now)

    def left(self, target: TargetId, now: float) -> None:
        """Counts an own request that ended."""
        self._count(self._load(target), -1, now)

    def own(self, target: TargetId) -> int:
        """Returns own requests at an engine."""
        load = self._load_by_target.get(target)
        return load.own if load is not None else 0

    def requests(self, target: TargetId) -> float:
        """Returns the estimate of all requests at an engine."""
        load = self._load_by_target.get(target)
        return load.own + load.others if load is not None else 0.0

    def waiting(self, target: TargetId) -> int:
        """Returns the queue length that the newest report gave."""
        load = self._load_by_target.get(target)
        return load.waiting if load is not None else 0

    def slots(self, target: TargetId) -> float:
        """Returns how many requests the engine's batch seems to hold."""
        load = self._load_by_target.get(target)
        if load is None or not load.slots:
            return float(DEFAULT_SLOTS)
        return max(load.slots, 1.0)

    def queue_ahead(self, target: TargetId) -> float:
        """Returns how many requests a new one would wait for."""
        return max(self.requests(target) + 1.0 - self.slots(target), 0.0)

    def _load(self, target: TargetId) -> _Load:
        return self._load_by_target.setdefault(target, _Load())

    def _count(self, load: _Load, change: int, now: float) -> None:
        load.own += change
        load.history.append((now, load.own))
        while load.history and load.history[0][0] < now - HISTORY_S:
            load.history.popleft()

    def _own_at(self, load: _Load, at: float) -> int:
        for when, own in reversed(load.history):
            if when <= at:
                return own
        return 0 if load.history else load.own

    def _learn_slots(self, load: _Load, running: int) -> None:
        if not load.slots:
            load.slots = float(running)
            return
        load.slots += SMOOTHING * (running - load.slots)
