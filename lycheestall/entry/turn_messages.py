"""Messages between entry VMs about turns of conversations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..conversations import (
    ConversationTurn,
    ConversationTurnId,
    UnreadableTurn,
    decode_turn,
    encode_turn,
)

__all__ = [
    "FindTurns",
    "FoundTurns",
    "HeldTurn",
    "HoldTurns",
    "TurnMessage",
    "decode_turn_fields",
    "encode_turn_fields",
]


@dataclass(frozen=True, slots=True)
class HeldTurn:
    """A turn of a conversation, as one VM tells another.

    Attributes:
        turn: The turn.
        record_expires_at: Unix time at which its record in the store
            expires.
    """

    turn: ConversationTurn
    record_expires_at: int


@dataclass(frozen=True, slots=True)
class HoldTurns:
    """Asks a peer to hold copies of turns."""

    turns: tuple[HeldTurn, ...]


@dataclass(frozen=True, slots=True)
class FindTurns:
    """Asks a peer for turns, and for what they continue from."""

    turn_ids: tuple[ConversationTurnId, ...]


@dataclass(frozen=True, slots=True)
class FoundTurns:
    """The turns that a peer holds, of those asked for and their ancestors."""

    turns: tuple[HeldTurn, ...]


TurnMessage = HoldTurns | FindTurns | FoundTurns


def encode_turn_fields(message: TurnMessage) -> list[Any]:
    """Returns the fields of a message in a form that CBOR has."""
    if isinstance(message, HoldTurns | FoundTurns):
        return [_encode_turns(message.turns)]
    return [list(message.turn_ids)]


def decode_turn_fields(name: str, fields: list[Any]) -> TurnMessage | None:
    """Returns a message, or None if the name is of another kind.

    Raises:
        ValueError: If a turn in it can't be read.
    """
    if name == HoldTurns.__name__:
        return HoldTurns(_decode_turns(fields[0]))
    if name == FoundTurns.__name__:
        return FoundTurns(_decode_turns(fields[0]))
    if name == FindTurns.__name__:
        return FindTurns(tuple(fields[0]))
    return None


def _encode_turns(turns: tuple[HeldTurn, ...]) -> list[list[Any]]:
    return [[encode_turn(held.turn), held.record_expires_at] for held in turns]


def _decode_turns(rows: list[list[Any]]) -> tuple[HeldTurn, ...]:
    turns: list[HeldTurn] = []
    for data, record_expires_at in rows:
        turn = decode_turn(data)
        if isinstance(turn, UnreadableTurn):
            raise ValueError(f"unreadable turn: {turn.reason}")
        turns.append(HeldTurn(turn, record_expires_at))
    return tuple(turns)
