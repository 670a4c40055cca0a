"""Estimates each engine's load between its delayed load reports."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .ids import TargetId
from .targets import LoadReport

__all__ = ["EngineLoadEstimate"]

OWN_HISTORY_S = 10.0
DEFAULT_BATCH_SLOTS = 16
SMOOTHING = 0.2


@dataclass(slots=True)
class _Load:
    own: int = 0
    others: float = 0.0
    waiting: int = 0
    measured_s: float = 0.0
    batch_slots: float = 0.0
    sent_since: int = 0
    own_history: deque[tuple[float, int]] = field(default_factory=deque)


class EngineLoadEstimate:
    """Estimates the requests at each engine.

    This VM's own requests are counted exactly, those of other VMs come
    from load reports. A report gives the number of requests at an engine
    some time ago. The estimate subtracts this VM's requests at that time
    and adds its requests now, so that dispatches since the report count.
    """

    def __init__(self) -> None:
        """Creates an estimate without any report."""
        self._load_by_target: dict[TargetId, _Load] = {}

    def observe(self, report: LoadReport, now: float) -> None:
        """Updates the estimate from a load report."""
        load = self._load(report.target)
        measured_s = now - report.age_s
        total = report.running + report.waiting
        own_then = self._own_requests_at(load, measured_s)
        load.others = float(max(total - own_then, 0))
        load.waiting = report.waiting
        load.measured_s = measured_s
        load.sent_since = 0
        if report.waiting and report.running:
            self._update_batch_slots(load, report.running)
        elif report.running > load.batch_slots:
            load.batch_slots = max(load.batch_slots, float(report.running))

    def sent(self, target: TargetId, now: float) -> None:
        """Counts a request of this VM that was sent to an engine."""
        load = self._load(target)
        load.sent_since += 1
        self._count_own(load, 1, now)

    def ended(self, target: TargetId, now: float) -> None:
        """Counts a request of this VM that left its engine."""
        self._count_own(self._load(target), -1, now)

    def own_requests(self, target: TargetId) -> int:
        """Returns the number of this VM's requests at an engine."""
        load = self._load_by_target.get(target)
        return load.own if load is not None else 0

    def requests(self, target: TargetId) -> float:
        """Returns the estimated number of all requests at an engine."""
        load = self._load_by_target.get(target)
        return load.own + load.others if load is not None else 0.0

    def waiting(self, target: TargetId) -> int:
        """Returns the queue length from the newest load report."""
        load = self._load_by_target.get(target)
        return load.waiting if load is not None else 0

    def batch_slots(self, target: TargetId) -> float:
        """Returns the estimated capacity of an engine's batch."""
        load = self._load_by_target.get(target)
        if load is None or not load.batch_slots:
            return float(DEFAULT_BATCH_SLOTS)
        return max(load.batch_slots, 1.0)

    def queue_length_ahead(self, target: TargetId) -> float:
        """Returns how many requests must end before a new one can start."""
        return max(self.requests(target) + 1.0 - self.batch_slots(target), 0.0)

    def _load(self, target: TargetId) -> _Load:
        return self._load_by_target.setdefault(target, _Load())

    def _count_own(self, load: _Load, change: int, now: float) -> None:
        load.own += change
        load.own_history.append((now, load.own))
        while (
            load.own_history and load.own_history[0][0] < now - OWN_HISTORY_S
        ):
            load.own_history.popleft()

    def _own_requests_at(self, load: _Load, at: float) -> int:
        for when, own in reversed(load.own_history):
            if when <= at:
                return own
        return 0 if load.own_history else load.own

    def _update_batch_slots(self, load: _Load, running: int) -> None:
        if not load.batch_slots:
            load.batch_slots = float(running)
            return
        load.batch_slots += SMOOTHING * (running - load.batch_slots)
