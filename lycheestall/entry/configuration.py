"""The operators' configuration: routes, services and caller limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

import xxhash

from .accounts import Account, AccountProblem

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
"""ID of a group of interchangeable targets."""


class RetrySafety(Enum):
    """Whether a request may be run more than once.

    Attributes:
        IDEMPOTENT: Running it again is safe.
        ONCE: It must not run a second time.
        RESUMABLE: An interrupted event stream can be resumed after its
            last received event.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties of a service's model engines.

    Attributes:
        batch_slots: Number of requests that an engine decodes in a batch.
        tokens_per_event: Number of tokens that one stream event carries.
        memory_tokens: Tokens of running requests and cached prefixes that an
            engine's memory holds; 0 if unknown.
    """

    batch_slots: int
    tokens_per_event: int
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes refer to.

    Attributes:
        service: Service ID.
        max_connections: Maximum connections from all VMs to one target.
        engine: Engine properties if the targets are model engines.
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
    """Destination and policies of the requests to a host and path prefix.

    Attributes:
        name: Name given by the operators.
        host: Host name in lower case, without a port.
        path_prefix: Path prefix that starts and ends with a slash.
        services: Weighted services, in a fixed order.
        retry_safety: Whether requests may be run more than once.
        is_stream: Whether responses are event streams.
        timeout_s: Timeout until the end of the response.
        latency_objective_s: Response time up to which a response has its
            full value.
        event_gap_s: Longest pause between stream events that has no effect
            on the response's value.
        priority: Priority of the requests; 0 is the highest.
        max_attempts: Number of targets that may run one request.
        keeps_conversations: Whether requests carry only what is new in
            their conversation, and the earlier turns are kept for them.
        retention_s: Seconds for which such a turn is kept.
        anonymous: Whether requests need no account.
        session_affinity: Whether a target that recently handled the object of
            a request handles its next request faster.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    retry_safety: RetrySafety
    is_stream: bool
    timeout_s: float
    latency_objective_s: float
    event_gap_s: float
    priority: int
    max_attempts: int
    keeps_conversations: bool = False
    retention_s: float = 0.0
    anonymous: bool = False
    session_affinity: bool = False

    def service_for(self, key: bytes) -> ServiceId:
        """Selects a service by weight; equal keys select the same one.

        Args:
            key: Hash key that related requests share.
        """
        total = sum(weighted.weight for weighted in self.services)
        remaining = xxhash.xxh3_64_intdigest(key) / 2.0**64 * total
        for weighted in self.services:
            remaining -= weighted.weight
            if remaining < 0:
                return weighted.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Timeout for receiving a request head.
        idle_timeout_s: Timeout of a connection without received data.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Number that increases with every change.
        routes: All routes.
        service_by_id: All services by ID.
        limits: Limits for callers.
        accounts: The usable client accounts.
        account_problems: What is wrong with the accounts.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_id: dict[ServiceId, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: tuple[Account, ...] = ()
    account_problems: tuple[AccountProblem, ...] = ()

    @property
    def has_accounts(self) -> bool:
        """Whether requests need an account, even if none can be read."""
        return bool(self.accounts or self.account_problems)


class RouteTable:
    """Looks up routes by host and longest path prefix.

    Args:
        routes: All routes; the last one wins among equal prefixes.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host as sent by the caller, with or without a port.
            path: Path without the query string.
        """
        by_prefix = self._by_host.get(_host_without_port(host))
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


def _host_without_port(host: str) -> str:
    host = host.lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
