"""Metrics of one process, by name, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Sequence

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["MetricSet"]

_PREFIX = "lycheestall_"


class MetricSet:
    """Counters, histograms and gauges that all carry the VM's name.

    Args:
        vm: Label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        self._registry = Registry()
        self._labels = {"vm": vm}
        self._gauge_by_name: dict[str, Gauge] = {}

    def counter(self, name: str, text: str) -> Counter:
        """Returns a new counter.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            text: What it counts.
        """
        return Counter(
            _PREFIX + name,
            text,
            const_labels=self._labels,
            registry=self._registry,
        )

    def histogram(
        self, name: str, text: str, *, buckets: Sequence[float]
    ) -> Histogram:
        """Returns a new histogram.

        Args:
            name: Name without the ``lycheestall_`` prefix, unit last.
            text: What it measures.
            buckets: Upper bounds, in the name's unit.
        """
        return Histogram(
            _PREFIX + name,
            text,
            const_labels=self._labels,
            buckets=list(buckets),
            registry=self._registry,
        )

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
                _PREFIX + name,
                text or name.replace("_", " "),
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def exposition(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics as text and the HTTP headers for it.

        Args:
            accept: The request's ``accept`` header.
        """
        content, headers = render(self._registry, [accept or "text/plain"])
        return content, dict(headers)
