"""Remembers which service and software version began each stream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import SoftwareVersion
from .configuration import ServiceId

__all__ = ["StreamOrigin", "StreamOrigins"]

MAX_STREAMS = 10_000
"""Streams remembered, the newest ones."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service of the target that sent its first event.
        software_version: Version of that target's program.
    """

    service: ServiceId
    software_version: SoftwareVersion


class StreamOrigins:
    """The origins of streams by the request that received the first event."""

    def __init__(self) -> None:
        self._by_request: OrderedDict[bytes, StreamOrigin] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._by_request)

    def add(self, request_id: bytes, origin: StreamOrigin) -> None:
        """Remembers a stream; what is known of it stays."""
        self._by_request.setdefault(request_id, origin)
        if len(self._by_request) > MAX_STREAMS:
            self._by_request.popitem(last=False)

    def get(self, request_id: bytes) -> StreamOrigin | None:
        """Returns a stream's origin, or None if it is unknown."""
        return self._by_request.get(request_id)
