"""Registered targets, looked up by ID or by service."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ..ids import SoftwareVersion, TargetId, ZoneId
from .configuration import ServiceId

__all__ = ["TargetProcess", "TargetRegistration", "TargetTable"]

REREGISTRATION_GRACE_S = 2.2
"""Seconds after a store outage in which targets whose registration expired
during it can register again."""

MAX_LEAVING = 4096
"""Target processes that are remembered as leaving, the newest ones. They are
remembered beyond their registration, which may lapse and come back."""


@dataclass(frozen=True, slots=True)
class TargetProcess:
    """One run of a target's process.

    Attributes:
        target: Target ID.
        started_ms: Unix time of the process start; tells apart processes
            that run under the same ID.
    """

    target: TargetId
    started_ms: int


@dataclass(frozen=True, slots=True)
class TargetRegistration:
    """A target's record in the store.

    Attributes:
        target: Target ID.
        started_ms: Unix time of the process start; tells apart processes
            that run under the same ID.
        service: Service that the target belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        software_version: Version of the program that the target runs.
        slots: Number of requests that the target runs concurrently.
        draining: Whether the target is shutting down and takes no new
            requests.
    """

    target: TargetId
    started_ms: int
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    software_version: SoftwareVersion
    slots: int
    draining: bool

    @property
    def process(self) -> TargetProcess:
        """The process that wrote the registration."""
        return TargetProcess(self.target, self.started_ms)


class TargetTable:
    """Keeps the latest registrations, also across store outages.

    Targets can't renew their registrations while the store is
    unavailable. A removal that arrives within ``REREGISTRATION_GRACE_S``
    after an outage therefore only marks the target as lapsed; it is
    deleted if it has not registered again by then.

    Attributes:
        revision: Incremented with every change.
    """

    def __init__(self) -> None:
        self._by_id: dict[TargetId, TargetRegistration] = {}
        self._lapsed: set[TargetId] = set()
        self._leaving: dict[TargetProcess, None] = {}
        self._usable_by_service: dict[ServiceId, list[TargetRegistration]] = {}
        self._versions_by_service: dict[ServiceId, set[SoftwareVersion]] = {}
        self._registered_versions: set[tuple[ServiceId, SoftwareVersion]] = (
            set()
        )
        self._grace_ends_at = 0.0
        self.revision = 0

    def register(self, registration: TargetRegistration) -> bool:
        """Adds or updates a target; returns whether anything changed."""
        self._lapsed.discard(registration.target)
        if self._by_id.get(registration.target) == registration:
            return False
        self._by_id[registration.target] = registration
        self._registered_versions.add(
            (registration.service, registration.software_version)
        )
        self._on_change()
        return True

    def take_registered_versions(
        self,
    ) -> set[tuple[ServiceId, SoftwareVersion]]:
        """Returns the versions that targets have registered since last asked.

        They include those of targets that have left in the meantime.
        """
        taken, self._registered_versions = self._registered_versions, set()
        return taken

    def mark_leaving(self, registration: TargetRegistration) -> bool:
        """Notes that a target itself says that it is shutting down.

        Args:
            registration: The registration of the process that says so; one
                that has started anew under the same ID is not affected.

        Returns:
            Whether this is news.
        """
        process = registration.process
        if process in self._leaving:
            return False
        self._leaving[process] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._on_change()
        return not registration.draining

    def remove(self, target: TargetId, now: float) -> bool:
        """Removes a target, or marks it as lapsed after a store outage.

        Args:
            target: Target whose registration was removed from the store.
            now: Current time.

        Returns:
            Whether the target was deleted at once.
        """
        if target not in self._by_id:
            return False
        if now < self._grace_ends_at:
            self._lapsed.add(target)
            return False
        self._delete(target)
        return True

    def keep_only(self, targets: set[TargetId], now: float) -> None:
        """Removes all targets that are not in a full listing."""
        for target in list(self._by_id):
            if target not in targets:
                self.remove(target, now)

    def store_recovered(self, now: float) -> None:
        """Starts the grace period that follows a store outage."""
        self._grace_ends_at = now + REREGISTRATION_GRACE_S

    def expire_lapsed(self, now: float) -> list[TargetId]:
        """Deletes and returns lapsed targets after the grace period."""
        if not self._lapsed or now < self._grace_ends_at:
            return []
        expired = sorted(self._lapsed)
        for target in expired:
            self._delete(target)
        return expired

    def get(self, target: TargetId) -> TargetRegistration | None:
        """Returns a target's registration, or None if there is none."""
        return self._by_id.get(target)

    def get_usable(self, target: TargetId) -> TargetRegistration | None:
        """Returns a target's registration if it accepts new requests."""
        registration = self._by_id.get(target)
        if registration is None or not self._is_usable(registration):
            return None
        return registration

    def usable(
        self,
        service: ServiceId,
        software_version: SoftwareVersion | None = None,
    ) -> list[TargetRegistration]:
        """Returns the targets of a service that accept new requests.

        Args:
            service: The service.
            software_version: The version that they run; None for any.
        """
        usable = self._usable(service)
        if software_version is None:
            return usable
        return [
            registration
            for registration in usable
            if registration.software_version == software_version
        ]

    def targets(self) -> Collection[TargetId]:
        """Returns all registered targets."""
        return self._by_id.keys()

    def services(self) -> set[ServiceId]:
        """Returns the services that have registered targets."""
        return {registration.service for registration in self._by_id.values()}

    def versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Returns the software versions of a service's registered targets."""
        versions = self._versions_by_service.get(service)
        if versions is None:
            versions = {
                registration.software_version
                for registration in self._by_id.values()
                if registration.service == service
            }
            self._versions_by_service[service] = versions
        return versions

    def _usable(self, service: ServiceId) -> list[TargetRegistration]:
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = [
                registration
                for registration in self._by_id.values()
                if registration.service == service
                and self._is_usable(registration)
            ]
            self._usable_by_service[service] = usable
        return usable

    def _is_usable(self, registration: TargetRegistration) -> bool:
        if registration.draining:
            return False
        return registration.process not in self._leaving

    def _delete(self, target: TargetId) -> None:
        del self._by_id[target]
        self._lapsed.discard(target)
        self._on_change()

    def _on_change(self) -> None:
        self._usable_by_service.clear()
        self._versions_by_service.clear()
        self.revision += 1
