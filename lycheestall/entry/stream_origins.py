"""Remembers which service and software version began each stream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NewType

import xxhash

from ..ids import SoftwareVersion
from .configuration import ServiceId

__all__ = [
    "STREAM_KEY_BYTES",
    "UNNAMED_STREAM",
    "StreamKey",
    "StreamOrigin",
    "StreamOrigins",
    "stream_key",
]

StreamKey = NewType("StreamKey", bytes)
"""Digest of the ID of the request that received a stream's first event."""

STREAM_KEY_BYTES = 16

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


def stream_key(request_id: bytes) -> StreamKey:
    """Returns the key of the stream that a request began.

    It has a fixed length, while callers choose the length of their IDs.
    """
    return StreamKey(xxhash.xxh3_128_digest(request_id))


UNNAMED_STREAM = stream_key(b"")
"""Asked for where a caller names no request; no stream has this key."""


class StreamOrigins:
    """The origins of the streams that began last."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[StreamKey, StreamOrigin] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of streams."""
        return len(self._by_key)

    def add(self, key: StreamKey, origin: StreamOrigin) -> None:
        """Remembers a stream; what is known of it stays."""
        self._by_key.setdefault(key, origin)
        if len(self._by_key) > MAX_STREAMS:
            self._by_key.popitem(last=False)

    def get(self, key: StreamKey) -> StreamOrigin | None:
        """Returns a stream's origin, or None if it is unknown."""
        return self._by_key.get(key)
