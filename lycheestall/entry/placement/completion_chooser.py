"""Selects targets by the expected completion time of a request."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Sequence
from itertools import accumulate

import xxhash

from ...engine_queue import batch_slowdown, queue_wait_s
from ...ids import TargetId
from ..configuration import ServiceId
from ..target_table import TargetRegistration
from .choice import Choice
from .service_speeds import ServiceSpeeds
from .service_states import ServiceState, ServiceStates
from .target_latencies import TargetLatencies
from .target_loads import TargetLoads
from .target_pace import TargetPace
from .work import Work, WorkKind

__all__ = ["CompletionChooser"]

UNKNOWN_LOAD_SHARE = 0.75
"""Exponent with which a target's relative time is divided out of its cost
where nothing is known of the loads: 0 compares speeds in full, 1 not at
all."""

MIN_CACHE_SHARE = 0.1
"""Share of a request's time that a cached prefix has to save for its target
to be compared. Sessions spread less evenly than requests, which costs more
than a small saving is worth."""

MAX_SESSIONS = 4096
"""Affinity keys whose last target is remembered."""

_HASH_RANGE = 2.0**64


class CompletionChooser:
    """Compares targets by when they are expected to complete a request.

    It is used for services whose targets differ in speed or are under load.
    Two targets are drawn with probabilities in proportion to their speed,
    those that have the request's prefix cached are added, and the one with
    the earliest expected completion runs the request.

    Args:
        states: What is known of each service.
        vm: Name of this VM.
        latencies: Recent response times.
        loads: Running requests.
    """

    def __init__(
        self,
        states: ServiceStates,
        *,
        vm: str,
        latencies: TargetLatencies,
        loads: TargetLoads,
    ) -> None:
        self._vm = vm.encode()
        self._latencies = latencies
        self._loads = loads
        self._states = states
        self._target_by_session: OrderedDict[str, TargetId] = OrderedDict()

    def applies(self, service: ServiceId, work: Work, now: float) -> bool:
        """Returns whether a service's targets differ or are under load.

        Load counts where VMs report it to each other; elsewhere a VM knows
        too little of it.

        Args:
            service: The service.
            work: The size of the request.
            now: Current time.
        """
        state = self._states.get(service, work.kind, now)
        if state.speeds.uneven:
            return True
        return state.busy and self._loads.trust(now) > 0.0

    def choose(
        self,
        service: ServiceId,
        candidates: Sequence[TargetRegistration],
        work: Work,
        *,
        affinity: str | None,
        tie_break: bytes,
        now: float,
    ) -> Choice:
        """Returns the choice among candidates, of which there is one at least.

        Args:
            service: The service.
            candidates: Its targets that can be used.
            work: The size of the request.
            affinity: Key shared by requests with a common prompt prefix.
            tie_break: Hash input that spreads requests over targets.
            now: Current time.
        """
        state = self._states.get(service, work.kind, now)
        drawn = self._draw(candidates, state, self._vm + tie_break)
        cached: set[TargetId] = set()
        if affinity is not None and _saves_time(work, state):
            homes = self._homes(candidates, state, affinity)
            cached = {home.target for home in homes}
            drawn += [home for home in homes if home not in drawn]
        choices = [
            self._evaluate(
                registration,
                state,
                work,
                cached=registration.target in cached,
                now=now,
            )
            for registration in drawn
        ]
        trust = self._loads.trust(now)
        best = min(choices, key=lambda choice: _cost(choice, trust))
        if affinity is not None:
            self._remember(affinity, best.registration.target)
        return best

    def pace(
        self, registration: TargetRegistration, *, kind: WorkKind, now: float
    ) -> TargetPace:
        """Returns how fast a target is.

        Args:
            registration: The target.
            kind: The main kind of work of the request.
            now: Current time.
        """
        state = self._states.get(registration.service, kind, now)
        if not state.speeds.uneven:
            return TargetPace(busy=state.busy)
        relative = state.speeds.relative(registration.target)
        return TargetPace(math.exp(relative), state.busy)

    def _draw(
        self,
        candidates: Sequence[TargetRegistration],
        state: ServiceState,
        seed: bytes,
    ) -> list[TargetRegistration]:
        """Draws two candidates, with probabilities in proportion to speed.

        All VMs have much the same figures and would all send to the best
        target; hence the choice is between two random ones (power of two
        choices).
        """
        if len(candidates) <= 2:
            return list(candidates)
        unit_s = state.speeds.unit_s
        weights = [1.0 / unit_s(c.target) for c in candidates]
        ends = list(accumulate(weights))
        number = xxhash.xxh3_128_intdigest(seed)
        at = _uniform(number >> 64) * ends[-1]
        first = min(bisect_right(ends, at), len(ends) - 1)
        at = _uniform(number % 2**64) * (ends[-1] - weights[first])
        if at >= ends[first] - weights[first]:
            at += weights[first]
        second = min(bisect_right(ends, at), len(ends) - 1)
        return [candidates[first], candidates[second]]

    def _homes(
        self,
        candidates: Sequence[TargetRegistration],
        state: ServiceState,
        affinity: str,
    ) -> list[TargetRegistration]:
        """Returns the targets that are likely to have a prefix cached.

        The first one is preferred by all VMs, by rendezvous hashing weighted
        by speed; the other ran this VM's last request, if it is another one.
        """
        seed = affinity.encode()
        unit_s = state.speeds.unit_s
        best = candidates[0]
        best_time = math.inf
        for candidate in candidates:
            time = _exponential_hash(seed + candidate.target.encode())
            time *= unit_s(candidate.target)
            if time < best_time:
                best, best_time = candidate, time
        homes = [best]
        last = self._target_by_session.get(affinity)
        if last is None or last == homes[0].target:
            return homes
        homes += [r for r in candidates if r.target == last]
        return homes

    def _remember(self, affinity: str, target: TargetId) -> None:
        self._target_by_session.pop(affinity, None)
        self._target_by_session[affinity] = target
        if len(self._target_by_session) > MAX_SESSIONS:
            self._target_by_session.popitem(last=False)

    def _evaluate(
        self,
        registration: TargetRegistration,
        state: ServiceState,
        work: Work,
        *,
        cached: bool,
        now: float,
    ) -> Choice:
        target = registration.target
        speeds = state.speeds
        load = self._states.load(target, state, now)
        slots = max(registration.slots, 1)
        unit_s = speeds.unit_s(target)
        units = full_units = 1.0
        read_s = 0.0
        if work.is_engine:
            units = full_units = state.events
            if work.max_events:
                units = min(units, work.max_events)
            if not cached:
                read_s = work.prefix_tokens * speeds.read_s(target)
        run_s = unit_s * units * batch_slowdown(load, slots)
        full_s = unit_s * full_units * batch_slowdown(slots, slots)
        wait_s = queue_wait_s(load + 1.0 - slots, slots, full_s)
        delay = self._recent_delay(target, speeds, now)
        return Choice(
            registration=registration,
            expected_s=(wait_s + read_s + run_s) * delay,
            wait_s=wait_s,
            load=load,
            own=self._loads.own(target),
            load_age_s=self._loads.report_age_s(now),
            relative_time=math.exp(speeds.relative(target)),
            speed_weight=speeds.weight.get(target, 0.0),
            recent_delay=delay,
            cached=cached,
        )

    def _recent_delay(
        self, target: TargetId, speeds: ServiceSpeeds, now: float
    ) -> float:
        # Recent responses of a slow target are late by as much as it is
        # slow; only what goes beyond is a moment of slowness or a queue.
        excess = self._latencies.excess(target, now)
        return math.exp(max(0.0, excess - max(0.0, speeds.relative(target))))


def _saves_time(work: Work, state: ServiceState) -> bool:
    speeds = state.speeds
    saved_s = work.prefix_tokens * math.exp(speeds.typical_read)
    return saved_s > MIN_CACHE_SHARE * speeds.typical_unit_s * state.events


def _cost(choice: Choice, trust: float) -> float:
    """Returns the expected time, without the speed if loads are unknown.

    Targets are drawn in proportion to their speed. Comparing the speed once
    more sends fast ones more than that; only their load tells when to stop.

    Args:
        choice: What was chosen.
        trust: How much is known of the loads, from 0 to 1.
    """
    share = UNKNOWN_LOAD_SHARE * (1.0 - trust)
    return float(choice.expected_s / choice.relative_time**share)


def _exponential_hash(seed: bytes) -> float:
    """Returns a hash with an exponential distribution of mean 1.

    The smallest of several, each times its target's time, is drawn in
    proportion to speed (weighted rendezvous hashing).
    """
    return -math.log(_uniform(xxhash.xxh3_64_intdigest(seed)))


def _uniform(number: int) -> float:
    return (number + 0.5) / _HASH_RANGE
