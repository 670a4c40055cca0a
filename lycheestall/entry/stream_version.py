"""The software version at which a request's stream has to go on."""

from __future__ import annotations

from collections.abc import Set

from ..ids import SoftwareVersion, TargetId
from .configuration import RetrySafety, Route, ServiceId
from .message_metadata import RequestMetadata
from .request_dependencies import RequestDependencies
from .target_table import TargetRegistration

__all__ = ["StreamVersion"]

LIFETIME_TIMEOUTS = 5.0
"""How long callers may resume a stream, as a multiple of its route's timeout:
a target may take as long to begin it, and a caller for each of four attempts.
A caller that gives a longer deadline may come up to then."""


class StreamVersion:
    """Binds a stream to the software version that sent its first event.

    Events of different versions don't fit together, and targets don't check
    which version began a stream that they resume.

    Args:
        deps: Dependencies shared by all requests.
        metadata: The request's metadata.
        route: The request's route.
        service_id: ID of the route's service.

    Attributes:
        required: The only version that may run the request; None as long as
            the caller has received no event.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        metadata: RequestMetadata,
        route: Route,
        service_id: ServiceId,
    ) -> None:
        self._deps = deps
        self._metadata = metadata
        self._service_id = service_id
        self._resumable = (
            route.is_stream and route.retry_safety is RetrySafety.RESUMABLE
        )
        self._lifetime_s = max(
            LIFETIME_TIMEOUTS * route.timeout_s, metadata.deadline_s or 0.0
        )
        self.required: SoftwareVersion | None = None

    @property
    def must_be_found(self) -> bool:
        """Whether the request resumes a stream of an earlier request."""
        return self._resumable and self._metadata.resume_after is not None

    async def find(self) -> bool:
        """Finds the version that began the stream that is resumed.

        Returns:
            Whether it was found; if not, no target may run the request.
        """
        asked_at = self._deps.clock.seconds()
        lookup = await self._deps.stream_origins.find(
            self._metadata.resumed_request,
            self._service_id,
            lifetime_s=self._lifetime_s,
        )
        self.required = lookup.software_version
        now = self._deps.clock.seconds()
        self._deps.log.stream_origin_found(
            self._metadata,
            lookup,
            knowledge=self._deps.stream_origins.versions.knowledge(
                self._service_id, now, lifetime_s=self._lifetime_s
            ),
            took_s=now - asked_at,
        )
        return self.required is not None

    async def check_targets(self) -> None:
        """Reads the targets before the stream goes on at one of them.

        One that has started again under its ID may run another version.
        """
        if self.required is not None:
            await self._deps.stream_origins.check_targets()

    def bind(self, registration: TargetRegistration) -> None:
        """Notes that a target has sent the first event to the caller."""
        if self.required is not None:
            return
        self.required = registration.software_version
        if self._resumable:
            self._deps.stream_origins.record(
                self._metadata.request_id,
                registration,
                lifetime_s=self._lifetime_s,
            )

    def ended(self) -> None:
        """Notes that the caller has received the whole stream."""
        self._deps.stream_origins.ended(self._metadata.request_id)

    def withheld(self) -> Set[TargetId]:
        """Returns the targets that must not begin the request's stream."""
        if not self._resumable or self.required is not None:
            return frozenset()
        return self._deps.withheld_targets.of_service(self._service_id)

    def allows(self, registration: TargetRegistration) -> bool:
        """Returns whether a target may run the request."""
        return self.required in (None, registration.software_version)
