"""The daemon's metrics, served at ``/metrics``."""

from __future__ import annotations

from .calls import Call
from .metric_set import MetricSet
from .outcomes import Completed, Outcome, outcome_kind

__all__ = ["Metrics"]

_DURATION_BUCKETS_S = [0.05, 0.1, 0.36, 1, 3, 10, 30, 100, 300, 1000]


class Metrics(MetricSet):
    """The daemon's counters, gauges and histograms.

    Args:
        vm: The value of the ``vm`` label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        super().__init__(vm=vm)
        self._calls = self.counter(
            "calls_total", "Calls by kind, outcome and reason."
        )
        self._duration = self.histogram(
            "call_duration_seconds",
            "Time from a call's arrival to its final outcome.",
            buckets=_DURATION_BUCKETS_S,
        )

    def call_ended(
        self, call: Call, outcome: Outcome, duration_s: float
    ) -> None:
        """Counts a call that has ended.

        Args:
            call: The call.
            outcome: How the call ended.
            duration_s: Seconds from the call's arrival to its end.
        """
        reason = ""
        if not isinstance(outcome, Completed):
            reason = outcome.reason.value
        labels = {
            "kind": call.kind.value,
            "outcome": outcome_kind(outcome),
            "reason": reason,
        }
        self._calls.inc(labels)
        self._duration.observe({"kind": call.kind.value}, duration_s)
