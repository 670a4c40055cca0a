"""Chooses which of many targets one VM uses, so that connections are reused.

A connection that is idle for longer than its target allows is closed. A VM
whose requests are spread over all targets of a large service finds hardly
any connection open. It therefore uses a subset, which grows with its own
rate of requests: every VM another one, so that targets stay evenly loaded.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, KeysView, Sequence
from dataclasses import dataclass

import xxhash

from ...ids import TargetId
from ..configuration import ServiceId
from ..target_table import TargetRegistration

__all__ = ["TargetSubset"]

MIN_TARGETS = 3
"""Smallest subset, so that a target that fails or is busy can be avoided."""

REUSE_WINDOW_S = 2.0
"""Seconds within which a target should get the next request of a VM. Idle
connections are closed after a few seconds; requests come unevenly."""

RATE_TIME_CONSTANT_S = 5.0
"""Time constant of the decaying mean rate of requests."""

MIN_OBSERVED_S = 0.5
"""Shortest time that a rate is computed over."""


@dataclass(slots=True)
class _RequestRate:
    """Decaying mean rate of the requests to a service.

    Attributes:
        weight: Sum of the decayed weights of the requests.
        since: When the first request was counted.
        at: Time up to which the weight is decayed.
    """

    weight: float
    since: float
    at: float

    def decay(self, now: float) -> None:
        """Decays the weight of earlier requests."""
        self.weight *= math.exp((self.at - now) / RATE_TIME_CONSTANT_S)
        self.at = now

    def per_s(self) -> float:
        """Returns the requests per second."""
        observed_s = max(self.at - self.since, MIN_OBSERVED_S)
        full_weight = 1.0 - math.exp(-observed_s / RATE_TIME_CONSTANT_S)
        return self.weight / (RATE_TIME_CONSTANT_S * full_weight)


class TargetSubset:
    """Narrows a service's targets down to those that one VM uses.

    Args:
        seed: Name of the VM; each VM has another subset.
    """

    def __init__(self, seed: str) -> None:
        self._seed = seed.encode()
        self._order_by_service: dict[ServiceId, dict[TargetId, None]] = {}
        self._rate_by_service: dict[ServiceId, _RequestRate] = {}

    def record_request(self, service: ServiceId, now: float) -> None:
        """Counts a request to a service."""
        rate = self._rate_by_service.get(service)
        if rate is None:
            rate = _RequestRate(0.0, now, now)
            self._rate_by_service[service] = rate
        rate.decay(now)
        rate.weight += 1.0

    def narrow(
        self,
        service: ServiceId,
        candidates: Sequence[TargetRegistration],
        now: float,
    ) -> Sequence[TargetRegistration]:
        """Returns the candidates to use.

        The order of preference of a VM is fixed, so a candidate that comes
        or goes changes the subset by one target.

        Args:
            service: The service.
            candidates: Its targets that can be used.
            now: Current time.
        """
        size = self._size(service, now)
        if size >= len(candidates):
            return candidates
        by_target = {c.target: c for c in candidates}
        chosen: list[TargetRegistration] = []
        for target in self._order(service, by_target.keys()):
            candidate = by_target.get(target)
            if candidate is None:
                continue
            chosen.append(candidate)
            if len(chosen) == size:
                break
        return chosen

    def _order(
        self, service: ServiceId, targets: KeysView[TargetId]
    ) -> Iterable[TargetId]:
        """Returns at least the given targets, in the order of preference.

        Sorting thousands of targets for each request would take longer than
        the rest of the choice.
        """
        order = self._order_by_service.get(service)
        if order is None or not targets <= order.keys():
            ranked = sorted(
                targets,
                key=lambda target: xxhash.xxh3_64_intdigest(
                    self._seed + target.encode()
                ),
            )
            order = self._order_by_service[service] = dict.fromkeys(ranked)
        return order

    def _size(self, service: ServiceId, now: float) -> int:
        rate = self._rate_by_service.get(service)
        if rate is None:
            return MIN_TARGETS
        rate.decay(now)
        return max(MIN_TARGETS, math.ceil(rate.per_s() * REUSE_WINDOW_S))
