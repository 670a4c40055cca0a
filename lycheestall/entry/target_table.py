"""The targets that have registered themselves, by service."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import TargetId, ZoneId
from .configuration import ServiceId

__all__ = ["TargetRegistration", "TargetTable"]

RETURN_WAIT_S = 2.2
"""Seconds that lapsed registrations have to come back after an outage."""


@dataclass(frozen=True, slots=True)
class TargetRegistration:
    """One target's registration.

    Attributes:
        target: Its id.
        started_ms: Unix time of its start; tells two lives of one id
            apart.
        service: The service it belongs to.
        host: Its IP address.
        port: Its TCP port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        draining: Whether it is about to leave.
    """

    target: TargetId
    started_ms: int
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int
    draining: bool


class TargetTable:
    """Holds the newest registrations, and rides out store outages.

    Registrations that lapse while the store is away are kept until it
    has been back for ``RETURN_WAIT_S``; then they count as gone.
    """

    def __init__(self) -> None:
        self._by_id: dict[TargetId, TargetRegistration] = {}
        self._lapsed: set[TargetId] = set()
        self._usable_by_service: dict[ServiceId, list[TargetRegistration]] = {}
        self._settled_at = 0.0
        self.revision = 0

    def register(self, entry: TargetRegistration) -> bool:
        """Takes a registration; returns whether it changed anything."""
        self._lapsed.discard(entry.target)
        if self._by_id.get(entry.target) == entry:
            return False
        self._by_id[entry.target] = entry
        self._changed()
        return True

    def remove(self, target: TargetId, now: float) -> bool:
        """Takes a removal; returns whether the target is gone at once.

        Args:
            target: Whose registration is gone.
            now: The time.
        """
        if target not in self._by_id:
            return False
        if now < self._settled_at:
            self._lapsed.add(target)
            return False
        self._drop(target)
        return True

    def keep_only(self, targets: set[TargetId], now: float) -> None:
        """Removes all targets but those that a full listing names."""
        for target in list(self._by_id):
            if target not in targets:
                self.remove(target, now)

    def store_returned(self, now: float) -> None:
        """Notes the end of a store outage: removals are held back."""
        self._settled_at = now + RETURN_WAIT_S

    def expire_lapsed(self, now: float) -> list[TargetId]:
        """Drops lapsed targets that did not come back; returns them."""
        if not self._lapsed or now < self._settled_at:
            return []
        gone = sorted(self._lapsed)
        for target in gone:
            self._drop(target)
        return gone

    def get(self, target: TargetId) -> TargetRegistration | None:
        """Returns a target's registration, None when it is gone."""
        return self._by_id.get(target)

    def usable(self, service: ServiceId) -> list[TargetRegistration]:
        """Returns a service's targets that take new work."""
        known = self._usable_by_service.get(service)
        if known is None:
            known = [
                entry
                for entry in self._by_id.values()
                if entry.service == service and not entry.draining
            ]
            self._usable_by_service[service] = known
        return known

    def services(self) -> set[ServiceId]:
        """Returns the services that have targets."""
        return {entry.service for entry in self._by_id.values()}

    def _drop(self, target: TargetId) -> None:
        del self._by_id[target]
        self._lapsed.discard(target)
        self._changed()

    def _changed(self) -> None:
        self._usable_by_service.clear()
        self.revision += 1
