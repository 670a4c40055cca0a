"""Limits concurrency per engine and refuses calls early on overload."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import TargetId
from .targets import LoadReport

__all__ = ["OverloadControl", "ConcurrencyLimit"]

INITIAL_LIMIT = 6.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
INCREASE = 1.0
DECREASE = 0.8
LONG_QUEUE_SHARE = 0.5
MIN_LONG_QUEUE = 4  # shorter queues never lower the limit
SLOW_START_S = 20.0
QUEUE_LIMIT = 1024
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
RATE_WINDOW_S = 20.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """An adaptive limit (AIMD) on one VM's calls at one engine.

    It grows by one with each load report while it is used up and the
    engine's queue is short, and shrinks by a fifth with each report of a
    long queue or refusal for being full.
    """

    limit: float = INITIAL_LIMIT
    slow_start_until: float = 0.0

    def observe(self, report: LoadReport, own: int) -> None:
        """Adapts the limit to a load report.

        Args:
            report: The report.
            own: This VM's calls at the engine.
        """
        long_queue = max(MIN_LONG_QUEUE, LONG_QUEUE_SHARE * report.running)
        if report.waiting > long_queue:
            self.limit = max(self.limit * DECREASE, MIN_LIMIT)
        elif own >= self.limit - 1:
            self.limit = min(self.limit + INCREASE, MAX_LIMIT)

    def engine_refused(self) -> None:
        """Lowers the limit after the engine refused for being full."""
        self.limit = max(self.limit * DECREASE, MIN_LIMIT)

    def begin_slow_start(self, now: float) -> None:
        """Ramps the effective limit up from its minimum."""
        self.slow_start_until = now + SLOW_START_S

    def effective_limit(self, now: float) -> float:
        """Returns the limit, reduced during a slow start."""
        left_s = self.slow_start_until - now
        if left_s <= 0:
            return self.limit
        share = 1.0 - left_s / SLOW_START_S
        return max(self.limit * share, MIN_LIMIT)


class OverloadControl:
    """Bounds the queue and refuses jobs that would miss their deadline."""

    def __init__(self) -> None:
        """Creates the control without observed calls."""
        self._limit_by_target: dict[TargetId, ConcurrencyLimit] = {}
        self._rate_per_s = 0.0
        self._rate_at = 0.0

    def limit(self, target: TargetId) -> ConcurrencyLimit:
        """Returns an engine's concurrency limit."""
        return self._limit_by_target.setdefault(target, ConcurrencyLimit())

    def record_answer(self, now: float) -> None:
        """Counts an answer towards the VM's throughput."""
        self._rate_per_s = self._rate(now) + 1.0 / RATE_WINDOW_S
        self._rate_at = now

    def wait_s(
        self, ahead: int, *, in_flight: int, residence_s: float, now: float
    ) -> float:
        """Returns the expected time of a job in this VM's queue.

        Args:
            ahead: Jobs ahead of it in the queue.
            in_flight: The VM's calls at engines.
            residence_s: Expected time of a call at an engine.
            now: The current time.
        """
        if not ahead:
            return 0.0
        rate = max(self._rate(now), in_flight / max(residence_s, 1e-3))
        if rate <= 0:
            return 0.0
        return ahead / rate

    def retry_after_s(
        self, wait_s: float, run_s: float, *, queued: int, left_s: float
    ) -> float | None:
        """Returns the retry delay if a new job is refused, else None.

        Args:
            wait_s: Its expected time in the queue.
            run_s: Its expected run time.
            queued: Number of jobs in the queue.
            left_s: Time to its deadline.
        """
        if queued < QUEUE_LIMIT and wait_s + run_s <= left_s:
            return None
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)

    def _rate(self, now: float) -> float:
        elapsed = max(now - self._rate_at, 0.0)
        return float(self._rate_per_s * 0.5 ** (elapsed / RATE_WINDOW_S))
