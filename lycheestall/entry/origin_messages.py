"""Messages between entry VMs about which software version began a stream."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import SoftwareVersion
from .configuration import ServiceId

__all__ = ["FindStreamOrigin", "FoundStreamOrigin", "HoldStreamOrigin"]


@dataclass(frozen=True, slots=True)
class HoldStreamOrigin:
    """Asks a peer to remember where a stream began.

    Attributes:
        stream: ID of the request that received its first event.
        service: Service of the target that began it.
        software_version: Version of that target's program.
    """

    stream: bytes
    service: ServiceId
    software_version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class FindStreamOrigin:
    """Asks a peer where a stream began.

    Attributes:
        stream: ID of the request that received its first event.
        service: Service that the stream is to go on at.
    """

    stream: bytes
    service: ServiceId


@dataclass(frozen=True, slots=True)
class FoundStreamOrigin:
    """What a peer knows of a stream's origin.

    Attributes:
        service: Service of the target that began it; None if unknown.
        software_version: Version of that target's program; None if unknown.
        sole_version: The only version that can have begun a stream of the
            service asked about; None if there are several, or if unknown.
    """

    service: ServiceId | None
    software_version: SoftwareVersion | None
    sole_version: SoftwareVersion | None
