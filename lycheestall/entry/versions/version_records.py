"""Records in the store about the software versions of services."""

from __future__ import annotations

from dataclasses import dataclass

import cbor2
import xxhash

from ...ids import SoftwareVersion
from ..configuration import ServiceId
from ..record_decoder import UnreadableRecord
from ..store import KeyedRecord, KeyedWrite

__all__ = [
    "RecordedVersion",
    "decode_version",
    "delete_version",
    "encode_version",
]

FORMAT = 1
"""Format of the records; those of other formats are not understood."""


@dataclass(frozen=True, slots=True)
class RecordedVersion:
    """A software version that a service has run lately.

    Attributes:
        service: The service.
        version: The version.
    """

    service: ServiceId
    version: SoftwareVersion


def encode_version(recorded: RecordedVersion) -> KeyedWrite:
    """Returns the record of a version: a list of format, service, version."""
    fields = [FORMAT, recorded.service, recorded.version]
    return KeyedWrite(_key(recorded), cbor2.dumps(fields))


def delete_version(recorded: RecordedVersion) -> KeyedWrite:
    """Returns the record that deletes that of a version."""
    return KeyedWrite(_key(recorded), None)


def decode_version(record: KeyedRecord) -> RecordedVersion | UnreadableRecord:
    """Decodes the record of a version."""
    try:
        fields = cbor2.loads(record.value or b"")
    except cbor2.CBORDecodeError as error:
        return UnreadableRecord(str(error))
    if not isinstance(fields, list) or fields[:1] != [FORMAT]:
        return UnreadableRecord("unknown format")
    texts = fields[1:]
    if len(texts) != 2 or not all(isinstance(text, str) for text in texts):
        return UnreadableRecord("not a service and a version")
    return RecordedVersion(ServiceId(texts[0]), SoftwareVersion(texts[1]))


def _key(recorded: RecordedVersion) -> bytes:
    # A digest, since keys in the store are at most 255 bytes long.
    text = f"{recorded.service}\x1f{recorded.version}".encode()
    return xxhash.xxh3_128_hexdigest(text).encode()
