"""The software versions that each service has run in the recent past."""

from __future__ import annotations

import math

from ..ids import SoftwareVersion
from .configuration import ServiceId
from .target_table import TargetTable

__all__ = ["SoftwareVersions"]

STREAM_LIFETIME_S = 30.0
"""Longest time for which callers resume a stream, so that a version that was
last registered before can have begun none."""

MAX_READ_GAP_S = 4.0
"""Longest time between two reads of the targets in which no version comes,
serves and leaves unnoticed."""


class SoftwareVersions:
    """Tells whether a service has run only one version for some time.

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

    def sole_version(
        self, service: ServiceId, now: float
    ) -> SoftwareVersion | None:
        """Returns the only version that can have begun a stream.

        Args:
            service: The service of the stream.
            now: Current time.

        Returns:
            None if there are several, or if this VM has not followed the
            targets without a gap for long enough.
        """
        if now - self._read_at > MAX_READ_GAP_S:
            return None
        if now - self._known_since < STREAM_LIFETIME_S:
            return None
        versions = set(self._table.versions(service))
        for version, seen_at in self._seen_at.get(service, {}).items():
            if now - seen_at < STREAM_LIFETIME_S:
                versions.add(version)
        return versions.pop() if len(versions) == 1 else None
