"""Metrics of one daemon, served at ``/metrics``."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from .calls import Call
from .outcomes import Completed, Outcome, describe

__all__ = ["Metrics"]

_DURATION_BUCKETS_S = [0.05, 0.1, 0.36, 1, 3, 10, 30, 100, 300, 1000]


class Metrics:
    """The daemon's counters, gauges and histograms, by name.

    Args:
        vm: Label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        self._registry = Registry()
        labels = {"vm": vm}
        self._calls = Counter(
            "lycheestall_calls_total",
            "Calls by kind, outcome and reason.",
            const_labels=labels,
            registry=self._registry,
        )
        self._duration = Histogram(
            "lycheestall_call_duration_seconds",
            "Time from a call's arrival to its final outcome.",
            const_labels=labels,
            buckets=_DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self._gauge_by_name: dict[str, Gauge] = {}
        self._labels = labels

    def call_ended(
        self, call: Call, outcome: Outcome, duration_s: float
    ) -> None:
        """Counts one call.

        Args:
            call: The call.
            outcome: How it ended.
            duration_s: Seconds from arrival.
        """
        reason = ""
        if not isinstance(outcome, Completed):
            reason = outcome.reason.value
        labels = {
            "kind": call.kind.value,
            "outcome": describe(outcome),
            "reason": reason,
        }
        self._calls.inc(labels)
        self._duration.observe({"kind": call.kind.value}, duration_s)

    def set(self, name: str, value: float, *, text: str = "") -> None:
        """Sets a gauge, made on first use.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            value: Its value.
            text: What it measures.
        """
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = Gauge(
                f"lycheestall_{name}",
                text or name.replace("_", " "),
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns the exposition and its HTTP headers.

        Args:
            accept: The request's ``accept`` header.
        """
        content, headers = render(self._registry, [accept or "text/plain"])
        return content, dict(headers)
