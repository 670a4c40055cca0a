"""The metrics of one process, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Sequence

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["MetricSet"]

_PREFIX = "lycheestall_"


class MetricSet:
    """Counters, histograms and gauges with a ``vm`` label.

    Args:
        vm: The value of the ``vm`` label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        self._registry = Registry()
        self._labels = {"vm": vm}
        self._gauge_by_name: dict[str, Gauge] = {}

    def counter(self, name: str, description: str) -> Counter:
        """Returns a new counter.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            description: What the counter counts.
        """
        return Counter(
            _PREFIX + name,
            description,
            const_labels=self._labels,
            registry=self._registry,
        )

    def histogram(
        self, name: str, description: str, *, buckets: Sequence[float]
    ) -> Histogram:
        """Returns a new histogram.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            description: What the histogram measures.
            buckets: Upper bounds of the buckets, in the name's unit.
        """
        return Histogram(
            _PREFIX + name,
            description,
            const_labels=self._labels,
            buckets=list(buckets),
            registry=self._registry,
        )

    def set_gauge(
        self, name: str, value: float, *, description: str = ""
    ) -> None:
        """Sets a gauge; creates it on first use.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            value: The new value.
            description: What the gauge measures.
        """
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = Gauge(
                _PREFIX + name,
                description or name.replace("_", " "),
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def exposition(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns the text of all metrics and its HTTP headers.

        Args:
            accept: The ``accept`` header of the HTTP request.
        """
        content, headers = render(self._registry, [accept or "text/plain"])
        return content, dict(headers)
