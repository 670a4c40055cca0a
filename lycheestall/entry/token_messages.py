"""Messages between entry VMs about tokens while the store is unavailable."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import ProgramId
from .outage_allocator import OutageGrant
from .token_ledger import HolderId

__all__ = [
    "AskGranted",
    "AskTokens",
    "GrantedTokens",
    "Handover",
    "SettleTokens",
    "TokenAnswer",
]


@dataclass(frozen=True, slots=True)
class AskTokens:
    """Asks a program's decider for a turn while the store is unavailable.

    Attributes:
        holder: The VM that asks.
        view: Digest of the members that it knows.
        program: The program.
        turn: The turn, unique together with ``holder``.
        max_tokens: Maximum tokens that the turn generates.
        budget: The program's token budget.
        recorded_limit: Tokens allocated to the program in the ledger, as far
            as the asking VM has read it.
    """

    holder: HolderId
    view: str
    program: ProgramId
    turn: int
    max_tokens: int
    budget: int
    recorded_limit: int


@dataclass(frozen=True, slots=True)
class TokenAnswer:
    """A decider's reply to ``AskTokens``.

    Attributes:
        granted: Whether the turn may start.
        spent: Whether the budget is used up.
    """

    granted: bool
    spent: bool


@dataclass(frozen=True, slots=True)
class AskGranted:
    """Asks for a program's grants in an outage, and ends the granting.

    Attributes:
        holder: The VM that asks; it continues by the ledger.
        view: Digest of the members agreed on in the outage.
        program: The program.
    """

    holder: HolderId
    view: str
    program: ProgramId


@dataclass(frozen=True, slots=True)
class GrantedTokens:
    """The tokens that a decider has granted to a program.

    Attributes:
        known: Whether it was the program's only decider.
        tokens: All tokens granted, including those recorded by now.
    """

    known: bool
    tokens: int


@dataclass(frozen=True, slots=True)
class SettleTokens:
    """Tells a decider how many tokens a turn has used."""

    holder: HolderId
    program: ProgramId
    turn: int
    used: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Announces that a VM is shutting down and no longer decides.

    Attributes:
        holder: The VM that shuts down.
        grants: Its grants as a decider.
    """

    holder: HolderId
    grants: tuple[OutageGrant, ...]
