"""Records of turns in the store, and the shards that they are spread over.

Records are spread by turn, not by conversation: whoever continues from a
turn knows nothing but its ID.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NewType

import cbor2
import xxhash

from .turn import ConversationTurn, ConversationTurnId

__all__ = [
    "RECORD_LIFETIMES",
    "ShardNumber",
    "TurnRecord",
    "UnreadableTurn",
    "decode_turn",
    "encode_turn",
    "record_expiry",
    "record_key_prefix",
    "shard_of",
]

ShardNumber = NewType("ShardNumber", int)
"""One part of the records of all turns, from 0."""

RECORD_LIFETIMES = 3
"""Lifetime of a record in retention times, so that the earlier turns of a
conversation seldom have to be recorded again for the sake of later ones."""

MAX_RETENTION_S = 1e9
"""Longest retention time of a turn, about 30 years."""

_FORMAT = 1
_KEY_DIGEST_BYTES = 16
_EXPIRY_SEPARATOR = "."


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """A turn as the store holds it.

    Attributes:
        turn: The turn.
        expires_at: Unix time in seconds from which the record may be
            deleted.
    """

    turn: ConversationTurn
    expires_at: int

    @property
    def key(self) -> bytes:
        """Key of the record.

        It includes the expiry, so that whoever deletes an expired record
        can't delete a later copy of the same turn.
        """
        prefix = record_key_prefix(self.turn.turn_id)
        return f"{prefix}{self.expires_at}".encode()


@dataclass(frozen=True, slots=True)
class UnreadableTurn:
    """A record that can't be decoded; ``reason`` describes the error."""

    reason: str


def record_key_prefix(turn_id: ConversationTurnId) -> str:
    """Returns what the keys of all records of a turn begin with.

    Args:
        turn_id: The turn. Callers choose the IDs, so the digest has to
            resist collisions.
    """
    digest = hashlib.blake2b(
        turn_id.encode(), digest_size=_KEY_DIGEST_BYTES
    ).hexdigest()
    return digest + _EXPIRY_SEPARATOR


def record_expiry(key: bytes) -> int | None:
    """Returns the Unix time at which a record expires, None if unknown."""
    _, separator, expiry = key.decode("ascii", "replace").partition(
        _EXPIRY_SEPARATOR
    )
    return int(expiry) if separator and expiry.isdecimal() else None


def shard_of(turn_id: ConversationTurnId, shards: int) -> ShardNumber:
    """Returns the shard that holds the records of a turn.

    Args:
        turn_id: The turn.
        shards: Number of shards.
    """
    return ShardNumber(xxhash.xxh3_64_intdigest(turn_id.encode()) % shards)


def encode_turn(turn: ConversationTurn) -> bytes:
    """Returns a turn as bytes."""
    fields = [
        _FORMAT,
        turn.turn_id,
        list(turn.ancestors),
        turn.input,
        turn.output,
        turn.retention_s,
    ]
    return cbor2.dumps(fields)


def decode_turn(data: bytes) -> ConversationTurn | UnreadableTurn:
    """Decodes a turn; any process might have written the bytes."""
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        return UnreadableTurn(f"{type(error).__name__}: {error}")
    if not isinstance(fields, list) or len(fields) != 6:
        return UnreadableTurn("not a list of six fields")
    version, turn_id, ancestors, turn_input, output, retention_s = fields
    if version != _FORMAT:
        return UnreadableTurn(f"unknown format {version!r}")
    if not isinstance(turn_id, str) or not isinstance(ancestors, list):
        return UnreadableTurn("an ID has another type")
    if not all(isinstance(ancestor, str) for ancestor in ancestors):
        return UnreadableTurn("an ancestor's ID has another type")
    if not isinstance(turn_input, bytes) or not isinstance(output, bytes):
        return UnreadableTurn("input or output has another type")
    if not isinstance(retention_s, int | float):
        return UnreadableTurn("the retention time has another type")
    if not 0 <= retention_s <= MAX_RETENTION_S:
        return UnreadableTurn("the retention time is out of range")
    return ConversationTurn(
        turn_id=ConversationTurnId(turn_id),
        ancestors=tuple(ConversationTurnId(name) for name in ancestors),
        input=turn_input,
        output=output,
        retention_s=float(retention_s),
    )
