"""Conversations kept for callers: turns, chains, retention and copies.

No module here reads a clock, opens a socket or depends on Twisted.
"""

from .chain import Chain, MissingTurns, find_chain, prompt_body
from .copy_holders import CopyCandidate, choose_copy_holders
from .expired_records import ExpiredRecords
from .turn import ConversationTurn, ConversationTurnId, own_turn_id
from .turn_cache import TurnCache
from .turn_records import (
    RECORD_LIFETIMES,
    TurnRecord,
    UnreadableTurn,
    decode_turn,
    encode_turn,
    record_expiry,
    record_key_prefix,
    shard_of,
)

__all__ = [
    "RECORD_LIFETIMES",
    "Chain",
    "ConversationTurn",
    "ConversationTurnId",
    "CopyCandidate",
    "ExpiredRecords",
    "MissingTurns",
    "TurnCache",
    "TurnRecord",
    "UnreadableTurn",
    "choose_copy_holders",
    "decode_turn",
    "encode_turn",
    "find_chain",
    "own_turn_id",
    "prompt_body",
    "record_expiry",
    "record_key_prefix",
    "shard_of",
]
