"""The software versions that each service has run in the recent past."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ...ids import SoftwareVersion
from ..configuration import ServiceId
from ..target_table import TargetTable

__all__ = [
    "RECORDED_S",
    "RecentVersions",
    "SoftwareVersions",
    "VersionKnowledge",
]

RECORDED_S = 60.0
"""Seconds for which a version stays recorded in the store after its last
target has left."""


@dataclass(frozen=True, slots=True)
class RecentVersions:
    """The software versions of a service's targets in the recent past.

    Attributes:
        versions: The versions that were registered.
        complete: Whether there can have been no others when the targets were
            last read, which may be long ago.
    """

    versions: frozenset[SoftwareVersion]
    complete: bool

    @property
    def only_possible(self) -> SoftwareVersion | None:
        """The version, if there can have been no second one."""
        if not self.complete or len(self.versions) != 1:
            return None
        return next(iter(self.versions))

    def merge(self, others: Iterable[RecentVersions]) -> RecentVersions:
        """Returns what several VMs know together."""
        known = (self, *others)
        return RecentVersions(
            frozenset().union(*(recent.versions for recent in known)),
            any(recent.complete for recent in known),
        )


@dataclass(frozen=True, slots=True)
class VersionKnowledge:
    """How much a VM knows of a service's versions, for the log.

    Attributes:
        versions: The versions that were registered recently.
        read_age_s: Seconds since the targets were last read.
        followed_s: Seconds for which they have been followed without a gap.
    """

    versions: tuple[SoftwareVersion, ...]
    read_age_s: float
    followed_s: float


class SoftwareVersions:
    """Keeps the software versions of each service's targets for some time.

    Args:
        table: The registered targets.

    Attributes:
        listed_at: When the last listing of the targets started.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._recorded: set[ServiceId] = set()
        self._seen_at: dict[ServiceId, dict[SoftwareVersion, float]] = {}
        self._registered: set[tuple[ServiceId, SoftwareVersion]] = set()
        self._readable = True
        self._read_at = -math.inf
        self.listed_at = math.inf

    def observe(self, read_at: float, *, listed_at: float) -> None:
        """Notes the versions that a read of the targets has brought.

        Args:
            read_at: When the last read started.
            listed_at: When the last listing started. What came and left
                before it was not seen; the reads after it bring all records.
        """
        self._read_at = read_at
        self._readable = True
        if listed_at != self.listed_at:
            self._recorded.clear()
        self.listed_at = listed_at
        registered = {
            (service, version)
            for service in self._table.services()
            for version in self._table.versions(service)
        }
        # Those that have left can have stayed until just before this read.
        seen = self._registered | self._table.take_registered_versions()
        for service, version in seen | registered:
            self.note(service, version, read_at)
        self._registered = registered

    def read_failed(self) -> None:
        """Notes that the targets can't be read, so that others may know more.

        This ends with the next read that succeeds.
        """
        self._readable = False

    @property
    def readable(self) -> bool:
        """Whether the last read of the targets succeeded."""
        return self._readable

    def note(
        self, service: ServiceId, version: SoftwareVersion, at: float
    ) -> None:
        """Notes that a version was registered at some time."""
        seen_at = self._seen_at.setdefault(service, {})
        seen_at[version] = max(at, seen_at.get(version, -math.inf))

    def registered(self) -> set[tuple[ServiceId, SoftwareVersion]]:
        """Returns the services' versions that targets ran at the last read."""
        return self._registered

    def mark_complete(self, service: ServiceId) -> None:
        """Notes that the records named all versions before the listing.

        What is known of the service counts as complete from then on, for
        lifetimes up to ``RECORDED_S``.

        Args:
            service: The service.
        """
        self._recorded.add(service)

    def has_followed(self, seconds: float, now: float) -> bool:
        """Returns whether this VM itself has seen all versions for a time."""
        return now - self.listed_at >= seconds

    def seen_within(
        self, seconds: float, now: float
    ) -> list[tuple[ServiceId, SoftwareVersion]]:
        """Returns the services' versions that were registered lately.

        Args:
            seconds: How long ago they may have been registered last.
            now: Current time.
        """
        return [
            (service, version)
            for service, seen_at in self._seen_at.items()
            for version, at in seen_at.items()
            if now - at < seconds
        ]

    def read_age_s(self, now: float) -> float:
        """Returns the seconds since the targets were last read."""
        return now - self._read_at

    def recent(
        self, service: ServiceId, now: float, *, lifetime_s: float
    ) -> RecentVersions:
        """Returns the versions that can have begun a service's streams.

        Args:
            service: The service.
            now: Current time.
            lifetime_s: Seconds for which callers may resume a stream. A
                version that was last registered before can have begun none.
        """
        versions = set(self._table.versions(service))
        for version, seen_at in self._seen_at.get(service, {}).items():
            if now - seen_at < lifetime_s:
                versions.add(version)
        recorded = service in self._recorded and lifetime_s <= RECORDED_S
        complete = recorded or self.has_followed(lifetime_s, now)
        return RecentVersions(frozenset(versions), complete)

    def knowledge(
        self, service: ServiceId, now: float, *, lifetime_s: float
    ) -> VersionKnowledge:
        """Returns how much is known of a service's versions.

        Args:
            service: The service.
            now: Current time.
            lifetime_s: Seconds for which callers may resume a stream.
        """
        recent = self.recent(service, now, lifetime_s=lifetime_s)
        return VersionKnowledge(
            tuple(sorted(recent.versions)),
            read_age_s=self.read_age_s(now),
            followed_s=max(0.0, now - self.listed_at),
        )
