"""Metrics of an entry VM."""

from __future__ import annotations

from ..metric_set import MetricSet

__all__ = ["EntryMetrics"]

_DURATION_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.36, 0.7, 1, 2, 3, 6, 10]


class EntryMetrics(MetricSet):
    """Counters, gauges and histograms of one VM.

    Args:
        vm: ID of the VM, a label of every metric.
    """

    def __init__(self, *, vm: str) -> None:
        super().__init__(vm=vm)
        self._requests = self.counter(
            "requests_total", "Requests by route, status and outcome."
        )
        self._duration = self.histogram(
            "request_duration_seconds",
            "Time from a request's arrival to its final answer.",
            buckets=_DURATION_BUCKETS_S,
        )
        self._attempts = self.counter(
            "failed_attempts_total",
            "Attempts at targets that gave no answer, by outcome.",
        )
        self._relayed = self.counter(
            "relayed_attempts_total", "Attempts that a peer was asked to send."
        )
        self._sent_for_peers = self.counter(
            "attempts_for_peers_total",
            "Attempts sent for peers, by outcome.",
        )
        self._permits = self.counter(
            "permits_total",
            "Decisions on requests to targets with a limit, by result.",
        )
        self._stream_origins = self.counter(
            "stream_origins_total",
            "Streams resumed from other requests, by how their software "
            "version was found.",
        )
        self._budgets_unchecked = self.counter(
            "budgets_unchecked_total",
            "Turns refused because their budgets could not be checked, by "
            "reason and seconds since the store became unavailable.",
        )
        self._turns_kept = self.counter(
            "turns_kept_total", "Turns made durable, by how."
        )
        self._conversations_loaded = self.counter(
            "conversations_loaded_total",
            "Conversations continued, by where their turns were found.",
        )
        self._connections_limited = self.counter(
            "connections_limited_total",
            "Connections refused or closed, by port and the bound reached.",
        )
        self._broken_responses = self.counter(
            "broken_responses_total",
            "Responses that were begun or due, and ended with a reset, by "
            "route and the outcome of the request.",
        )
        self._misused_steps = self.counter(
            "response_steps_misused_total",
            "Steps of responses that were not allowed, which are defects, by "
            "port, state and step.",
        )

    def connection_limited(self, port: str, cause: str) -> None:
        """Counts a connection that has reached a bound."""
        self._connections_limited.inc({"port": port, "cause": cause})

    def response_broken_off(self, route_name: str, outcome: str) -> None:
        """Counts a response that ended with a reset."""
        self._broken_responses.inc({"route": route_name, "outcome": outcome})

    def response_step_misused(self, port: str, state: str, step: str) -> None:
        """Counts a step of a response that was not allowed."""
        self._misused_steps.inc({"port": port, "state": state, "step": step})

    def attempt_relayed(self) -> None:
        """Counts an attempt that a peer is asked to send."""
        self._relayed.inc({})

    def attempt_sent_for_peer(self, outcome: str) -> None:
        """Counts an attempt that was sent for a peer."""
        self._sent_for_peers.inc({"outcome": outcome})

    def permit_decided(self, *, granted: bool) -> None:
        """Counts a decision on a request to a target with a limit."""
        self._permits.inc({"granted": str(granted).lower()})

    def budget_unchecked(self, reason: str, age: str) -> None:
        """Counts a turn whose budget could not be checked.

        Args:
            reason: What was missing.
            age: Class of the time since the store became unavailable.
        """
        self._budgets_unchecked.inc({"reason": reason, "age_s": age})

    def stream_origin_found(self, source: str) -> None:
        """Counts a stream that a caller resumes with another request."""
        self._stream_origins.inc({"source": source})

    def request_ended(
        self, route_name: str, status: int, outcome: str, took_s: float
    ) -> None:
        """Counts a request and records its duration if it had a route."""
        self._requests.inc(
            {"route": route_name, "status": str(status), "outcome": outcome}
        )
        if route_name:
            self._duration.observe({"route": route_name}, took_s)

    def turn_kept(self, how: str) -> None:
        """Counts a turn of a conversation that was made durable."""
        self._turns_kept.inc({"how": how})

    def conversation_loaded(self, source: str) -> None:
        """Counts a conversation that a turn continued from."""
        self._conversations_loaded.inc({"source": source})

    def set_conversation_gauges(
        self, *, turns: int, size: int, unrecorded: int, evicted: int
    ) -> None:
        """Sets the gauges of the turns in memory.

        Args:
            turns: Number of turns.
            size: Their memory in bytes.
            unrecorded: Turns that this VM still has to record.
            evicted: Turns evicted before they expired.
        """
        self.set_gauge(
            "conversation_turns", turns, description="Turns in memory."
        )
        self.set_gauge(
            "conversation_bytes",
            size,
            description="Memory of the turns, in bytes.",
        )
        self.set_gauge(
            "conversation_turns_unrecorded",
            unrecorded,
            description="Turns that this VM has yet to record.",
        )
        self.set_gauge(
            "conversation_turns_evicted",
            evicted,
            description="Turns evicted for lack of memory since the start.",
        )

    def attempt_failed(self, outcome: str) -> None:
        """Counts an attempt that gave no final response."""
        self._attempts.inc({"outcome": outcome})

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        content, _ = self.exposition("text/plain")
        return content
