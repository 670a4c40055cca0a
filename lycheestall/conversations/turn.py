"""One turn of a conversation: what was asked and what was answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

__all__ = ["ConversationTurn", "ConversationTurnId", "own_turn_id"]

ConversationTurnId = NewType("ConversationTurnId", str)
"""ID of the request that ran the turn; later turns refer to it. Where requests
belong to accounts, it includes the account (see ``own_turn_id``)."""

_OWNER_SEPARATOR = "\n"
"""Occurs neither in names of accounts nor in IDs that callers send."""

TURN_OVERHEAD_BYTES = 600
"""Memory of a turn in addition to its input and output."""


@dataclass(frozen=True, slots=True)
class ConversationTurn:
    """A turn that was answered completely.

    Attributes:
        turn_id: ID of the turn.
        ancestors: IDs of the turns that it continues from, the nearest
            first; empty for the first turn of a conversation.
        input: Body of the caller's request.
        output: Data of each event of the answer, each followed by a line
            feed.
        retention_s: Seconds for which the turn and its ancestors are kept.
    """

    turn_id: ConversationTurnId
    ancestors: tuple[ConversationTurnId, ...]
    input: bytes
    output: bytes
    retention_s: float

    @property
    def previous(self) -> ConversationTurnId | None:
        """The turn that this one continues from, if any."""
        return self.ancestors[0] if self.ancestors else None

    @property
    def size(self) -> int:
        """Memory that the turn takes, in bytes."""
        return len(self.input) + len(self.output) + TURN_OVERHEAD_BYTES


def own_turn_id(request_id: str, owner: str | None) -> ConversationTurnId:
    """Returns the ID of a turn that nobody but its owner can name.

    The owner is part of the ID, so that equal request IDs of two owners are
    two turns everywhere: in memory, in copies and in the store. VMs that know
    no accounts handle such IDs like others.

    Args:
        request_id: ID of the request that ran the turn.
        owner: Name of the account, empty for a request without one; None
            where there are no accounts.
    """
    if owner is None:
        return ConversationTurnId(request_id)
    return ConversationTurnId(f"{owner}{_OWNER_SEPARATOR}{request_id}")
