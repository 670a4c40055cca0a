"""Targets whose software version may not begin resumable streams yet."""

from __future__ import annotations

from collections.abc import Set

from ...clock import Clock
from ...ids import TargetId
from ..configuration import ServiceId
from ..target_table import TargetRegistration, TargetTable
from .version_register import VersionRegister

__all__ = ["WithheldTargets"]

LAST_RESORT_S = 4.0
"""Seconds after which a version is used without a record where no other one
serves. A stream is then lost or joined only if all VMs die as well."""


class WithheldTargets:
    """Tells which targets must not begin a resumable stream.

    Events of two software versions don't fit together. If all VMs are lost
    before a version is recorded, those that start take another version for
    the one that began its streams.

    Args:
        table: The registered targets.
        register: Knows which versions are recorded.
        clock: Tells the time.
    """

    def __init__(
        self, table: TargetTable, register: VersionRegister, clock: Clock
    ) -> None:
        self._table = table
        self._register = register
        self._clock = clock
        self._checked_at: tuple[int, int] | None = None
        self._clear: set[ServiceId] = set()

    def of_service(self, service: ServiceId) -> Set[TargetId]:
        """Returns the targets of a service that are withheld now."""
        revisions = (self._table.revision, self._register.revision)
        if revisions != self._checked_at:
            self._checked_at = revisions
            self._clear.clear()
        if service in self._clear:
            return frozenset()
        withheld = self._find(service)
        if not withheld:
            self._clear.add(service)
            return frozenset()
        if len(withheld) == len(self._table.usable(service)):
            withheld = [one for one in withheld if not self._is_overdue(one)]
        return {one.target for one in withheld}

    def count(self) -> int:
        """Returns the number of targets that are withheld now."""
        services = self._table.services()
        return sum(len(self.of_service(service)) for service in services)

    def _find(self, service: ServiceId) -> list[TargetRegistration]:
        return [
            registration
            for registration in self._table.usable(service)
            if not self._register.is_usable(
                service, registration.software_version
            )
        ]

    def _is_overdue(self, registration: TargetRegistration) -> bool:
        since = self._register.unusable_since(
            registration.service, registration.software_version
        )
        return self._clock.seconds() - since >= LAST_RESORT_S
