"""Metrics of an entry VM."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["EntryMetrics"]

_DURATION_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.36, 0.7, 1, 2, 3, 6, 10]


class EntryMetrics:
    """Counters, gauges and histograms, by name.

    Args:
        vm: Label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        self._registry = Registry()
        labels = {"vm": vm}
        self._requests = Counter(
            "lycheestall_requests_total",
            "Requests by route, status and outcome.",
            const_labels=labels,
            registry=self._registry,
        )
        self._duration = Histogram(
            "lycheestall_request_duration_seconds",
            "Time from a request's arrival to its final answer.",
            const_labels=labels,
            buckets=_DURATION_BUCKETS_S,
            registry=self._registry,
        )
        self._attempts = Counter(
            "lycheestall_failed_attempts_total",
            "Attempts at targets that gave no answer, by outcome.",
            const_labels=labels,
            registry=self._registry,
        )
        self._gauge_by_name: dict[str, Gauge] = {}
        self._labels = labels

    def request_ended(
        self, route: str, status: int, outcome: str, took_s: float
    ) -> None:
        """Counts a request."""
        self._requests.inc(
            {"route": route, "status": str(status), "outcome": outcome}
        )
        if route:
            self._duration.observe({"route": route}, took_s)

    def attempt_failed(self, outcome: str) -> None:
        """Counts an attempt without an answer."""
        self._attempts.inc({"outcome": outcome})

    def set(self, name: str, value: float, *, text: str) -> None:
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
                text,
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def render(self) -> bytes:
        """Returns the exposition as text."""
        content, _ = render(self._registry, ["text/plain"])
        return content
