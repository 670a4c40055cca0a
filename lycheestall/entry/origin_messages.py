"""Messages between entry VMs about which software version began a stream."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import SoftwareVersion
from .configuration import ServiceId
from .stream_origins import StreamKey

__all__ = ["FindStreamOrigin", "FoundStreamOrigin", "HoldStreamOrigin"]


@dataclass(frozen=True, slots=True)
class HoldStreamOrigin:
    """Asks a peer to remember where a stream began.

    Attributes:
        stream: The stream.
        service: Service of the target that began it.
        software_version: Version of that target's program.
    """

    stream: StreamKey
    service: ServiceId
    software_version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class FindStreamOrigin:
    """Asks a peer where a stream began.

    Attributes:
        stream: The stream.
        service: Service that the stream is to go on at.
        lifetime_s: Seconds for which callers may resume such a stream.
    """

    stream: StreamKey
    service: ServiceId
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class FoundStreamOrigin:
    """What a peer knows of a stream's origin.

    Attributes:
        service: Service of the target that began it; None if unknown.
        software_version: Version of that target's program; None if unknown.
        recent_versions: Versions of the service asked about that the peer has
            seen lately.
        recent_complete: Whether the peer can have missed none.
    """

    service: ServiceId | None
    software_version: SoftwareVersion | None
    recent_versions: tuple[SoftwareVersion, ...]
    recent_complete: bool
