"""Finds a target that takes a request now, or says when one will."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from ..clock import Clock
from ..ids import TargetId
from .configuration import Service, ServiceId
from .decision_log import DecisionLog
from .message_metadata import RequestMetadata
from .permit_service import Permit, PermitDenied, PermitService
from .placement.target_chooser import TargetChooser
from .placement.work import Work
from .retry_policy import AttemptHistory
from .stream_version import StreamVersion
from .target_table import TargetRegistration, TargetTable

__all__ = ["Admission", "AtLimits", "TargetAdmission"]


@dataclass(frozen=True, slots=True)
class Admission:
    """A target that takes a request.

    Attributes:
        registration: The target.
        permit: When the request may be sent to it.
    """

    registration: TargetRegistration
    permit: Permit


@dataclass(frozen=True, slots=True)
class AtLimits:
    """All targets that could run a request are at their limits.

    Attributes:
        retry_after_s: Seconds until one of them takes a request.
    """

    retry_after_s: float


class TargetAdmission:
    """Chooses the targets of one request and gets permits for them.

    Args:
        chooser: Chooses among the targets.
        permits: Gets permits for those that name a limit.
        table: The registered targets.
        log: Logs the decisions.
        clock: Tells the time.
        metadata: The request's metadata.
        service: Settings of the route's service, None if it is not
            configured.
        service_id: ID of the service.
        history: The request's attempts so far.
        stream_version: The software version that must run it.
        object_key: Key of the requests whose target, if it isn't an engine,
            should be the same; None if there is none.
    """

    def __init__(
        self,
        *,
        chooser: TargetChooser,
        permits: PermitService,
        table: TargetTable,
        log: DecisionLog,
        clock: Clock,
        metadata: RequestMetadata,
        service: Service | None,
        service_id: ServiceId,
        history: AttemptHistory,
        stream_version: StreamVersion,
        object_key: str | None = None,
    ) -> None:
        self._chooser = chooser
        self._permits = permits
        self._table = table
        self._log = log
        self._clock = clock
        self._metadata = metadata
        self._service_id = service_id
        self._history = history
        self._stream_version = stream_version
        self._affinity: str | None = None
        self._work = Work.of_request(metadata, service)
        self._object_key = object_key
        if service is not None and service.engine is not None:
            self._affinity = metadata.affinity
            self._object_key = None

    def has_other_target(
        self, *, excluding: TargetRegistration | None = None
    ) -> bool:
        """Returns whether another target takes requests now.

        Args:
            excluding: A target that doesn't count.
        """
        avoid = self._avoided() | self._permits.denied().keys()
        if excluding is not None:
            avoid = avoid | {excluding.target}
        return self._chooser.can_choose(
            self._service_id,
            avoid=avoid,
            software_version=self._stream_version.required,
        )

    async def choose(
        self, *, max_wait_s: float, yields: bool
    ) -> Admission | AtLimits | None:
        """Returns a target for the next attempt; None if there is none.

        A target that takes the request at once goes before one that it would
        have to wait for.

        Args:
            max_wait_s: Seconds that the request waits for a target that is
                at its limit.
            yields: Whether the request is not to be sent anywhere while
                others wait.
        """
        denied: dict[TargetId, PermitDenied] = {}
        admission = await self._choose_now(denied, yields=yields)
        if admission is not None:
            return admission
        limited = self._first_free(denied)
        first = None if limited is None else self.get_usable(limited)
        if first is None:
            return None
        return await self.wait_for(first, max_wait_s=max_wait_s)

    async def wait_for(
        self, registration: TargetRegistration, *, max_wait_s: float
    ) -> Admission | AtLimits:
        """Returns an admission to one target only, even if it has to wait.

        Args:
            registration: The target.
            max_wait_s: Seconds that the request may wait for it.
        """
        result = await self._acquire(registration, max_wait_s)
        if isinstance(result, Permit):
            return Admission(registration, result)
        return self._at_limit(result)

    def is_usable(self, admission: Admission) -> bool:
        """Returns whether a target still takes requests after a wait."""
        registration = self.get_usable(admission.registration.target)
        if registration is None:
            return False
        if registration.process != admission.registration.process:
            return False
        return self._clock.seconds() < admission.permit.expires_at

    def get_usable(self, target: TargetId) -> TargetRegistration | None:
        """Returns a target's registration if it may run the request now."""
        registration = self._table.get_usable(target)
        if registration is None:
            return None
        if not self._stream_version.allows(registration):
            return None
        return registration

    async def _choose_now(
        self, denied: dict[TargetId, PermitDenied], *, yields: bool
    ) -> Admission | AtLimits | None:
        """Returns a target that takes the request at once, if there is one.

        Args:
            denied: Receives the targets that are at their limits.
            yields: Whether to refuse the request while others wait.
        """
        is_new = True
        while True:
            denied |= self._permits.denied()
            limited = self._first_free(denied)
            if yields and limited is not None and denied[limited].queued:
                return self._at_limit(denied[limited])
            registration = self._choose(denied.keys(), is_new_attempt=is_new)
            is_new = False
            if registration is None:
                return None
            result = await self._acquire(registration, 0.0)
            if isinstance(result, Permit):
                return Admission(registration, result)
            denied[registration.target] = result

    def _at_limit(self, denied: PermitDenied) -> AtLimits:
        return AtLimits(denied.until - self._clock.seconds())

    def _first_free(
        self, denied: Mapping[TargetId, PermitDenied]
    ) -> TargetId | None:
        avoided = self._avoided()
        limited = [
            registration.target
            for registration in self._table.usable(
                self._service_id, self._stream_version.required
            )
            if registration.target in denied
            and registration.target not in avoided
        ]
        return min(limited, key=lambda t: denied[t].until, default=None)

    def _avoided(self) -> Set[TargetId]:
        """Returns the targets that must not run the next attempt."""
        withheld = self._stream_version.withheld()
        if not withheld:
            return self._history.excluded
        return self._history.excluded | withheld

    def _choose(
        self, at_limit: Set[TargetId], *, is_new_attempt: bool
    ) -> TargetRegistration | None:
        registration = self._chooser.choose(
            self._service_id,
            affinity=self._affinity,
            tie_break=self._metadata.request_id,
            avoid=self._avoided(),
            now=self._clock.seconds(),
            at_limit=at_limit,
            software_version=self._stream_version.required,
            prefix_tokens=self._metadata.affinity_tokens,
            object_key=self._object_key,
            is_new_attempt=is_new_attempt,
            work=self._work,
        )
        choice = self._chooser.take_choice()
        if choice is not None:
            self._log.target_chosen(self._metadata, choice)
        return registration

    async def _acquire(
        self, registration: TargetRegistration, max_wait_s: float
    ) -> Permit | PermitDenied:
        now = self._clock.seconds()
        result = await self._permits.acquire(
            registration.process, max_wait_s=max_wait_s
        )
        self._log.permit_decided(
            self._metadata, registration, result, asked_at=now
        )
        return result
