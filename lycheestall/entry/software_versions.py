"""The software versions that each service has run in the recent past."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import SoftwareVersion
from .configuration import ServiceId
from .target_table import TargetTable

__all__ = ["RecentVersions", "SoftwareVersions", "VersionKnowledge"]

MAX_READ_GAP_S = 4.0
"""Longest time between two reads of the targets in which no version comes,
serves and leaves unnoticed."""


@dataclass(frozen=True, slots=True)
class RecentVersions:
    """The software versions of a service's targets in the recent past.

    Attributes:
        versions: The versions that were registered.
        complete: Whether there can have been no others: the targets were
            followed without a gap all the while.
    """

    versions: frozenset[SoftwareVersion]
    complete: bool

    @property
    def only_seen(self) -> SoftwareVersion | None:
        """The version, if no second one was seen."""
        return next(iter(self.versions)) if len(self.versions) == 1 else None

    @property
    def only_possible(self) -> SoftwareVersion | None:
        """The version, if there can have been no second one."""
        return self.only_seen if self.complete else None

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
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._seen_at: dict[ServiceId, dict[SoftwareVersion, float]] = {}
        self._read_at = -math.inf
        self._known_since = math.inf

    def observe(self, read_at: float) -> None:
        """Notes the registered versions.

        Args:
            read_at: When the targets were last read.
        """
        if read_at - self._read_at > MAX_READ_GAP_S:
            self._known_since = read_at
        self._read_at = read_at
        for service in self._table.services():
            seen_at = self._seen_at.setdefault(service, {})
            for version in self._table.versions(service):
                seen_at[version] = read_at

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
        complete = (
            now - self._read_at <= MAX_READ_GAP_S
            and now - self._known_since >= lifetime_s
        )
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
            read_age_s=now - self._read_at,
            followed_s=max(0.0, now - self._known_since),
        )
