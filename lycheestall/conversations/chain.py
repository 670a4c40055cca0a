"""Puts a conversation together from its turns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .turn import ConversationTurn, ConversationTurnId

__all__ = ["Chain", "MissingTurns", "find_chain", "prompt_body"]


@dataclass(frozen=True, slots=True)
class Chain:
    """A conversation up to one turn, the oldest turn first."""

    turns: tuple[ConversationTurn, ...]

    @property
    def ids_newest_first(self) -> tuple[ConversationTurnId, ...]:
        """The turns' IDs, as the ancestors of a turn that follows."""
        return tuple(turn.turn_id for turn in reversed(self.turns))

    @property
    def size(self) -> int:
        """Bytes of all inputs and outputs."""
        return sum(len(turn.input) + len(turn.output) for turn in self.turns)


@dataclass(frozen=True, slots=True)
class MissingTurns:
    """Turns that a conversation needs and that were not found.

    Attributes:
        turn_ids: The missing turns, the nearest ancestor first.
    """

    turn_ids: tuple[ConversationTurnId, ...]


def find_chain(
    turn_id: ConversationTurnId,
    get: Callable[[ConversationTurnId], ConversationTurn | None],
) -> Chain | MissingTurns:
    """Returns the conversation up to a turn, or the turns that lack.

    Args:
        turn_id: The newest turn.
        get: Returns a turn, or None if it is not known.
    """
    newest = get(turn_id)
    if newest is None:
        return MissingTurns((turn_id,))
    turns = [newest]
    missing: list[ConversationTurnId] = []
    for ancestor in newest.ancestors:
        turn = get(ancestor)
        if turn is None:
            missing.append(ancestor)
            continue
        turns.append(turn)
    if missing:
        return MissingTurns(tuple(missing))
    return Chain(tuple(reversed(turns)))


def prompt_body(chain: Chain | None, new_input: bytes) -> bytes:
    """Returns the complete prompt of a turn.

    Args:
        chain: The conversation so far; None for the first turn.
        new_input: Body of the caller's request.
    """
    if chain is None:
        return new_input
    parts: list[bytes] = []
    for turn in chain.turns:
        parts.append(turn.input)
        parts.append(turn.output)
    parts.append(new_input)
    return b"".join(parts)
