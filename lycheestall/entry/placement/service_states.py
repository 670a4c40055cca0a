"""What is known of the targets of each service."""

from __future__ import annotations

import math
import statistics
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from ...engine_queue import batch_slowdown
from ...ids import TargetId
from ..configuration import ServiceId
from ..target_table import TargetRegistration, TargetTable
from .service_speeds import ServiceSpeeds, compare_speeds
from .target_loads import TargetLoads
from .target_speeds import TargetSpeeds
from .work import CompletedStream, WorkKind

__all__ = ["ServiceState", "ServiceStates"]

BUSY_SHARE = 0.5
"""Share of the targets' slots in use from which they count as under load."""

REFRESH_S = 1.0
"""Time after which the speeds of a service are compared again: the speed of
a target lasts, and a comparison costs as much as several choices."""

REFRESH_S_PER_TARGET = 0.002
"""The same for each target, so that large services cost no more."""

MIN_READ_TOKENS = 800
"""Prefix tokens from which the time to the first event shows how fast a
target reads; fewer are lost in the variation of that time."""

MIN_STREAM_EVENTS = 2
"""Events of a stream from which the time between them is known."""

MAX_SERVICES = 1024
"""Services whose speeds are kept."""

TYPICAL_EVENTS = 5.0
"""Events of a stream before any was received."""

EVENTS_SMOOTHING = 0.05
"""Weight of the newest stream in the mean number of events."""

_StateKey: TypeAlias = tuple[ServiceId, WorkKind]


@dataclass(slots=True)
class ServiceState:
    """What is known of one service.

    Attributes:
        speeds: The speeds of its targets.
        expires_at: When they are compared again.
        busy: Whether its targets are under load.
        mean_load: Mean of the running requests that were reported.
        events: Mean number of events of a stream.
    """

    speeds: ServiceSpeeds
    expires_at: float = -math.inf
    busy: bool = False
    mean_load: float = 0.0
    events: float = TYPICAL_EVENTS


class ServiceStates:
    """Compares the targets of each service, and learns from their streams.

    Args:
        table: The registered targets.
        loads: Running requests.
        speeds: Observed speeds.
    """

    def __init__(
        self, table: TargetTable, *, loads: TargetLoads, speeds: TargetSpeeds
    ) -> None:
        self._table = table
        self._loads = loads
        self._speeds = speeds
        self._state_by_service: OrderedDict[_StateKey, ServiceState] = (
            OrderedDict()
        )

    @property
    def any_uneven(self) -> bool:
        """Whether the targets of any service differ in speed."""
        return any(
            state.speeds.uneven for state in self._state_by_service.values()
        )

    def get(
        self, service: ServiceId, kind: WorkKind, now: float
    ) -> ServiceState:
        """Returns what is known of a service, compared lately.

        Args:
            service: The service.
            kind: The main kind of work of its requests.
            now: Current time.
        """
        key = (service, kind)
        state = self._state_by_service.get(key)
        if state is None:
            state = ServiceState(ServiceSpeeds(0.0, 0.0))
            self._state_by_service[key] = state
            if len(self._state_by_service) > MAX_SERVICES:
                self._state_by_service.popitem(last=False)
        if now < state.expires_at:
            return state
        registrations = self._table.usable(service)
        state.speeds = compare_speeds(
            self._speeds,
            registrations,
            kind=kind,
            now=now,
            was_uneven=state.speeds.uneven,
        )
        if registrations:
            state.mean_load = self._loads.mean_reported(
                r.target for r in registrations
            )
        state.busy = self._is_under_load(registrations, state, now)
        refresh_s = max(REFRESH_S, REFRESH_S_PER_TARGET * len(registrations))
        state.expires_at = now + refresh_s
        return state

    def load(self, target: TargetId, state: ServiceState, now: float) -> float:
        """Returns the estimated running requests of all VMs at a target."""
        return self._loads.estimate(target, now, mean=state.mean_load)

    def record_stream(
        self,
        registration: TargetRegistration,
        stream: CompletedStream,
        now: float,
    ) -> None:
        """Learns from a stream that one attempt received as a whole.

        Args:
            registration: The target.
            stream: Its times.
            now: Current time.
        """
        state = self.get(registration.service, WorkKind.GENERATE, now)
        state.events += EVENTS_SMOOTHING * (stream.events - state.events)
        if stream.events < MIN_STREAM_EVENTS:
            return
        target = registration.target
        others = self.load(target, state, now)
        event_s = stream.streaming_s / (stream.events - 1)
        slots = max(registration.slots, 1)
        unit_s = event_s / batch_slowdown(others, slots)
        self._speeds.record(target, WorkKind.GENERATE, unit_s, now)
        # The first event carries output as well. With a queue, the time until
        # then says nothing of the reading.
        reading_s = stream.first_event_s - event_s
        if reading_s <= 0.0 or others >= slots:
            return
        if stream.prefix_tokens < MIN_READ_TOKENS:
            return
        read_s = reading_s / stream.prefix_tokens
        self._speeds.record(target, WorkKind.READ, read_s, now)

    def all_speeds(self) -> list[ServiceSpeeds]:
        """Returns the speeds of all services, as they were compared last."""
        return [state.speeds for state in self._state_by_service.values()]

    def _is_under_load(
        self,
        registrations: Sequence[TargetRegistration],
        state: ServiceState,
        now: float,
    ) -> bool:
        if not registrations or not self._loads.has_reports(now):
            return False
        used = statistics.fmean(
            self.load(r.target, state, now) for r in registrations
        )
        slots = statistics.fmean(r.slots for r in registrations)
        return used >= BUSY_SHARE * slots
