"""The operators' configuration: routes, services and callers' limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

import xxhash

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineTraits",
    "RetrySafety",
    "Route",
    "RouteTable",
    "Service",
    "ServiceId",
    "WeightedService",
]

ServiceId = NewType("ServiceId", str)
"""A group of interchangeable targets."""


class RetrySafety(Enum):
    """How often a request may be run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What is known of a service's model engines.

    Attributes:
        batch_slots: Requests that an engine decodes at once.
        tokens_per_event: Tokens that one event of a stream stands for.
    """

    batch_slots: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes send to.

    Attributes:
        service: Its id.
        max_connections: Connections that a target takes from all VMs.
        engine: Set where the targets are model engines.
    """

    service: ServiceId
    max_connections: int
    engine: EngineTraits | None


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go.

    Attributes:
        name: The operators' name of it.
        host: The host, lower case, without a port.
        path_prefix: The start of the path, with a slash at both ends.
        services: Services by weight; their order is fixed.
        repeat: How often a request may be run.
        is_stream: Whether answers are event streams.
        timeout_s: Longest time until the final answer.
        objective_s: Time in which an answer has its full value.
        event_gap_s: Longest pause between events without loss of value.
        rank: Importance, 0 is the highest.
        max_attempts: Targets that may run one request.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    repeat: RetrySafety
    is_stream: bool
    timeout_s: float
    objective_s: float
    event_gap_s: float
    rank: int
    max_attempts: int

    def service_for(self, key: bytes) -> ServiceId:
        """Returns the service for a request; equal keys stay together.

        Args:
            key: What requests that belong together have in common.
        """
        total = sum(part.weight for part in self.services)
        point = xxhash.xxh3_64_intdigest(key) / 2.0**64 * total
        for part in self.services:
            point -= part.weight
            if point < 0:
                return part.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_s: Longest time for a request head to arrive.
        idle_timeout_s: Longest time without a byte.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Grows with every change.
        routes: All routes.
        service_by_id: All services.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_id: dict[ServiceId, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


class RouteTable:
    """Finds the route of a host and path.

    Args:
        routes: All routes; of equal prefixes the last one counts.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, None without one.

        Args:
            host: The host as the caller sent it.
            path: The path, without the query.
        """
        by_prefix = self._by_host.get(_plain_host(host))
        if by_prefix is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route


def _plain_host(host: str) -> str:
    host = host.lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
