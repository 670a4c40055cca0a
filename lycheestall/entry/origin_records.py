"""Records in the store about which software versions began streams."""

from __future__ import annotations

from collections.abc import Mapping

import cbor2

from ..ids import SoftwareVersion
from .configuration import ServiceId
from .record_decoder import UnreadableRecord
from .store import KeyedRecord, KeyedWrite
from .stream_origins import STREAM_KEY_BYTES, StreamKey, StreamOrigin

__all__ = ["decode_origins", "encode_origins"]

FORMAT = 1
"""Format of the records; those of other formats are not understood."""

_KEY = b""
"""The topic is not compacted by key; its records expire."""


def encode_origins(
    origin_by_stream: Mapping[StreamKey, StreamOrigin],
) -> KeyedWrite:
    """Returns the record of some streams' origins.

    It is a list of the format and of the origins, each a list of service,
    version and the keys of its streams, one after the other.
    """
    streams_by_origin: dict[StreamOrigin, list[StreamKey]] = {}
    for stream, origin in origin_by_stream.items():
        streams_by_origin.setdefault(origin, []).append(stream)
    rows = [
        [origin.service, origin.software_version, b"".join(streams)]
        for origin, streams in streams_by_origin.items()
    ]
    return KeyedWrite(_KEY, cbor2.dumps([FORMAT, rows]))


def decode_origins(
    record: KeyedRecord,
) -> dict[StreamKey, StreamOrigin] | UnreadableRecord:
    """Decodes a record of streams' origins."""
    try:
        fields = cbor2.loads(record.value or b"")
    except cbor2.CBORDecodeError as error:
        return UnreadableRecord(str(error))
    if not isinstance(fields, list) or fields[:1] != [FORMAT]:
        return UnreadableRecord("unknown format")
    origin_by_stream: dict[StreamKey, StreamOrigin] = {}
    try:
        for service, version, keys in fields[1]:
            if not isinstance(service, str) or not isinstance(version, str):
                return UnreadableRecord("not a service and a version")
            origin = StreamOrigin(ServiceId(service), SoftwareVersion(version))
            for start in range(0, len(keys), STREAM_KEY_BYTES):
                stream = StreamKey(keys[start : start + STREAM_KEY_BYTES])
                origin_by_stream[stream] = origin
    except (TypeError, ValueError, IndexError) as error:
        return UnreadableRecord(f"{type(error).__name__}: {error}")
    return origin_by_stream
