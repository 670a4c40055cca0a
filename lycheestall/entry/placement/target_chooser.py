"""Selects the target of a request."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

import xxhash

from ...ejection import OutlierEjection
from ...ids import SoftwareVersion, TargetId
from ..configuration import ServiceId
from ..target_table import TargetRegistration, TargetTable
from .choice import Choice
from .completion_chooser import CompletionChooser
from .latency_baselines import LatencyBaselines
from .service_states import ServiceStates
from .target_latencies import SlowResponses, TargetLatencies
from .target_loads import TargetLoads
from .target_pace import TargetPace
from .target_speeds import TargetSpeeds
from .target_subset import TargetSubset
from .work import CompletedStream, Work, WorkKind

__all__ = ["TargetChooser"]

AFFINITY_MARGIN = 0.7
"""Logarithm of the factor by which the target preferred by affinity may be
expected to take longer than the best one: about two, so that one running
request more moves no session from the engine that has its prompt cached."""

SHARED_PREFIX_TOKENS = 4000
"""Prompt tokens that only requests with the same affinity share from which
all VMs send them to one target; reading fewer again costs less than opening
connections to many targets."""

BUSY_RUNNING = 2
"""Running requests of this VM at each target of its subset from which it
uses the others as well."""

MAX_COMPARED = 64
"""Targets of a service up to which all of them are compared where they differ
in speed or are under load; of more, each VM uses a subset."""


class TargetChooser:
    """Selects targets by affinity, load, latency and recent failures.

    Requests with the same affinity key go to the same target, by rendezvous
    hashing, among those that are not expected to take much longer than the
    best one. What is expected grows with a target's recent response times,
    which show the load of all VMs, and with this VM's running requests. Other
    requests go to the target with the fewest running requests of this VM;
    ties are broken by a hash of the request.

    Of a large service, each VM uses a subset (see ``TargetSubset``), except
    for requests with a long prefix in common.

    Where the targets of a service differ in speed, or are under load, the
    expected completion time decides (see ``CompletionChooser``).

    Args:
        table: The registered targets.
        vm: Name of this VM.

    Attributes:
        loads: Running requests at the targets.
        speeds: Observed speeds of the targets.
        states: What is known of each service.
        completion: Compares targets by their expected completion time.
    """

    def __init__(self, table: TargetTable, *, vm: str = "") -> None:
        self._table = table
        self._subset = TargetSubset(vm)
        self._ejection = OutlierEjection()
        self._latencies = TargetLatencies()
        self._last_choice: Choice | None = None
        self.loads = TargetLoads()
        self.speeds = TargetSpeeds()
        self.states = ServiceStates(
            table, loads=self.loads, speeds=self.speeds
        )
        self.completion = CompletionChooser(
            self.states, vm=vm, latencies=self._latencies, loads=self.loads
        )

    @property
    def baselines(self) -> LatencyBaselines:
        """The typical response time of each route."""
        return self._latencies.baselines

    def choose(
        self,
        service: ServiceId,
        *,
        affinity: str | None,
        tie_break: bytes,
        avoid: Collection[TargetId],
        now: float,
        prefix_tokens: int = 0,
        at_limit: Collection[TargetId] = (),
        software_version: SoftwareVersion | None = None,
        is_new_attempt: bool = True,
        work: Work | None = None,
        object_key: str | None = None,
    ) -> TargetRegistration | None:
        """Returns a target, or None if none is available.

        Args:
            service: Service that the request is routed to.
            affinity: Key shared by requests with a common prompt prefix;
                None if there is none.
            tie_break: Hash input that spreads requests over equally
                loaded targets.
            avoid: Targets that this request has already been sent to.
            now: Current time.
            prefix_tokens: Prompt tokens that requests of the same affinity
                have in common and others have not.
            at_limit: Targets that take no request now. They are in use, so
                they count when failing ones are left out.
            software_version: The version that the target must run; None for
                any.
            is_new_attempt: Whether no target has been chosen for this
                attempt yet; only then it counts towards the rate of
                requests, which determines how many targets are used.
            work: The size of the request; without it, completion times are
                not compared.
            object_key: Key of requests about one object, which its last
                target handles faster. All VMs prefer the same one of the
                targets with the fewest running requests.
        """
        self._last_choice = None
        if is_new_attempt:
            self._subset.record_request(service, now)
        candidates = self._table.usable(service, software_version)
        if avoid:
            candidates = [c for c in candidates if c.target not in avoid]
        if not candidates:
            return None
        usable = set(
            self._ejection.usable([c.target for c in candidates], now)
        )
        candidates = [
            registration
            for registration in candidates
            if registration.target in usable
            and registration.target not in at_limit
        ]
        if not candidates:
            return None
        slow = self._latencies.slow([c.target for c in candidates], now)
        if slow:
            candidates = [c for c in candidates if c.target not in slow]
        if object_key is not None:
            # A target is fast for the object that it handled before.
            work = None
        if work is not None and self.completion.applies(service, work, now):
            if len(candidates) > MAX_COMPARED:
                candidates = self._narrow(service, candidates, now)
            self._last_choice = self.completion.choose(
                service,
                candidates,
                work,
                affinity=affinity,
                tie_break=tie_break,
                now=now,
            )
            return self._last_choice.registration
        shares_target = prefix_tokens >= SHARED_PREFIX_TOKENS
        if affinity is None:
            shares_target = object_key is not None
        if not shares_target:
            candidates = self._narrow(service, candidates, now)
        if affinity is None:
            costs = [self._running_cost(c.target) for c in candidates]
            limit = min(costs)
            seed = tie_break if object_key is None else object_key.encode()
        else:
            costs = [self._time_cost(c.target, now) for c in candidates]
            limit = min(costs) + AFFINITY_MARGIN
            seed = affinity.encode()
        best: TargetRegistration | None = None
        best_weight = -1
        for candidate, cost in zip(candidates, costs, strict=True):
            if cost > limit:
                continue
            weight = xxhash.xxh3_64_intdigest(seed + candidate.target.encode())
            if weight > best_weight:
                best, best_weight = candidate, weight
        return best

    def take_choice(self) -> Choice | None:
        """Returns the figures of the last choice, None if it used none."""
        choice, self._last_choice = self._last_choice, None
        return choice

    def _running_cost(self, target: TargetId) -> float:
        return math.log1p(self.loads.own(target))

    def _time_cost(self, target: TargetId, now: float) -> float:
        # Logarithm of the time that a request may take.
        excess = self._latencies.excess(target, now)
        return excess + self._running_cost(target)

    def _narrow(
        self,
        service: ServiceId,
        candidates: list[TargetRegistration],
        now: float,
    ) -> list[TargetRegistration]:
        subset = self._subset.narrow(service, candidates, now)
        busy = all(self.loads.own(c.target) >= BUSY_RUNNING for c in subset)
        return candidates if busy else list(subset)

    def can_choose(
        self,
        service: ServiceId,
        *,
        avoid: Collection[TargetId],
        software_version: SoftwareVersion | None = None,
    ) -> bool:
        """Returns whether a service has a target outside ``avoid``.

        Args:
            service: Service that the request is routed to.
            avoid: Targets that must not be selected.
            software_version: The version that the target must run; None for
                any.
        """
        return any(
            registration.target not in avoid
            for registration in self._table.usable(service, software_version)
        )

    def request_started(self, target: TargetId) -> None:
        """Counts a request as running on a target."""
        self.loads.request_started(target)
        self._ejection.record_sent(target)

    def request_ended(self, target: TargetId) -> None:
        """Counts a request as finished, whatever its outcome."""
        self.loads.request_ended(target)
        self._ejection.probe_inconclusive(target)

    def record_response(
        self, target: TargetId, route_name: str, took_s: float, now: float
    ) -> None:
        """Records that a target responded, and how long it took.

        Args:
            target: The target.
            route_name: Name of the route; each has its own typical time.
            took_s: Seconds until the response or its first event.
            now: Current time.
        """
        self._ejection.record_answer(target)
        self._latencies.record_response(target, route_name, took_s, now)

    def record_plain_speed(
        self, target: TargetId, route_name: str, took_s: float, now: float
    ) -> None:
        """Learns from a response other than a stream.

        Args:
            target: The target.
            route_name: Name of the route; its typical time is the unit.
            took_s: Seconds until the response.
            now: Current time.
        """
        baseline = self.baselines.get(route_name)
        if baseline is None:
            return
        unit = math.exp(baseline.log_ratio(took_s))
        self.speeds.record(target, WorkKind.PLAIN, unit, now)

    def pace(
        self, target: TargetId, now: float, *, is_stream: bool
    ) -> TargetPace:
        """Returns how fast a target is.

        Args:
            target: The target.
            now: Current time.
            is_stream: Whether the request's response is a stream.
        """
        registration = self._table.get(target)
        if registration is None:
            return TargetPace()
        kind = WorkKind.GENERATE if is_stream else WorkKind.PLAIN
        return self.completion.pace(registration, kind=kind, now=now)

    def record_stream(
        self, target: TargetId, stream: CompletedStream, now: float
    ) -> None:
        """Learns from a stream that one attempt received as a whole."""
        registration = self._table.get(target)
        if registration is not None:
            self.states.record_stream(registration, stream, now)

    def record_no_response(
        self, target: TargetId, route_name: str, waited_s: float, now: float
    ) -> None:
        """Records that a target had not responded when the wait ended.

        Args:
            target: The target.
            route_name: Name of the route.
            waited_s: Seconds waited.
            now: Current time.
        """
        self._latencies.record_no_response(target, route_name, waited_s, now)

    def slow_targets(self, now: float) -> set[TargetId]:
        """Returns the targets of all services that are skipped as slow."""
        slow: set[TargetId] = set()
        for service in self._table.services():
            targets = [r.target for r in self._table.usable(service)]
            slow |= self._latencies.slow(targets, now)
        return slow

    def take_slow_responses(self) -> tuple[SlowResponses, ...]:
        """Returns and clears the slow responses to report to other VMs."""
        return self._latencies.take_slow_responses()

    def add_remote_slow_responses(
        self, reports: Iterable[SlowResponses], now: float
    ) -> None:
        """Adds slow responses that another VM has observed."""
        for report in reports:
            if self._table.get(report.target) is not None:
                self._latencies.add_remote(report, now)

    def record_failure(
        self, target: TargetId, now: float, *, down: bool
    ) -> bool:
        """Records a failed request; returns whether it ejects the target.

        Args:
            target: The target.
            now: Current time.
            down: Whether the target is known to be down, so that one
                failure is enough.
        """
        return self._ejection.record_failure(target, now, down=down)

    def forget(self, target: TargetId) -> None:
        """Resets a target's state when it registers after a start."""
        self._ejection.forget(target)
        self._latencies.forget(target)
        self.loads.forget(target)
        self.speeds.forget(target)
