"""Messages between entry VMs about tokens while the store is unavailable."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeAlias

from ..ids import ProgramId
from .token_ledger import HolderId, TurnRef
from .unrecorded_grants import TurnGrant

__all__ = [
    "AskGranted",
    "AskSettled",
    "AskTokens",
    "AskUnrecorded",
    "GrantedTokens",
    "Handover",
    "HandoverGrants",
    "HoldGrant",
    "OutageGrant",
    "SettleTokens",
    "SettledReport",
    "TokenAnswer",
    "UNNAMED_TURN",
    "UnrecordedReport",
    "decode_grant_fields",
    "decode_grants",
    "encode_grant_fields",
    "encode_grants",
]

UNNAMED_TURN = 0
"""Stands for the turns of a grant that does not name them; no turn has this
number."""


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

    Only VMs of an earlier build ask this; others send ``AskUnrecorded``.

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
        tokens: All tokens granted that may be unrecorded.
    """

    known: bool
    tokens: int


@dataclass(frozen=True, slots=True)
class HoldGrant:
    """Asks a peer to remember a grant until the ledger names it.

    Attributes:
        grant: The grant.
    """

    grant: TurnGrant


@dataclass(frozen=True, slots=True)
class AskUnrecorded:
    """Asks for a program's unrecorded grants.

    If the peer decides on the program, it stops granting its turns.

    Attributes:
        holder: The VM that asks; it continues by the ledger.
        view: Digest of the members agreed on in the outage.
        program: The program.
    """

    holder: HolderId
    view: str
    program: ProgramId


@dataclass(frozen=True, slots=True)
class UnrecordedReport:
    """The unrecorded grants that a VM knows of.

    Attributes:
        holder: The VM that reports.
        was_decider: Whether it was the program's only decider and has known
            all grants of earlier outages.
        deciding: Whether it still grants turns without the ledger.
        clean: Whether it knows of no unrecorded grant of any program.
        grants: The program's grants.
    """

    holder: HolderId
    was_decider: bool
    deciding: bool
    clean: bool
    grants: tuple[TurnGrant, ...]


@dataclass(frozen=True, slots=True)
class AskSettled:
    """Asks whether all grants of a group of VMs are recorded.

    Attributes:
        holder: The VM that asks.
        group: Number of the group.
        groups: Number of groups that the asking VM knows.
    """

    holder: HolderId
    group: int
    groups: int


@dataclass(frozen=True, slots=True)
class SettledReport:
    """Tells whether all grants of a group of VMs are recorded.

    Attributes:
        holder: The VM that reports.
        settled: Whether it knows that no grant is unrecorded.
    """

    holder: HolderId
    settled: bool


@dataclass(frozen=True, slots=True)
class SettleTokens:
    """Tells a decider how many tokens a turn has used."""

    holder: HolderId
    program: ProgramId
    turn: int
    used: int


@dataclass(frozen=True, slots=True)
class OutageGrant:
    """Tokens of one program that were granted to one VM."""

    program: ProgramId
    holder: HolderId
    tokens: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Announces that a VM is shutting down and no longer decides.

    Attributes:
        holder: The VM that shuts down.
        grants: Its grants as a decider, for VMs of an earlier build; others
            have had them with ``HandoverGrants``.
    """

    holder: HolderId
    grants: tuple[OutageGrant, ...]


@dataclass(frozen=True, slots=True)
class HandoverGrants:
    """Hands over the unrecorded grants of a VM that shuts down.

    Attributes:
        holder: The VM that shuts down.
        grants: All unrecorded grants that it knows of.
    """

    holder: HolderId
    grants: tuple[TurnGrant, ...]


GrantMessage: TypeAlias = HoldGrant | UnrecordedReport | HandoverGrants
"""Messages that contain grants of single turns."""


def encode_grant_fields(message: GrantMessage) -> list[Any]:
    """Returns the fields of a message that contains grants."""
    if isinstance(message, HoldGrant):
        return _encode_grant(message.grant)
    rows = encode_grants(message.grants)
    if isinstance(message, HandoverGrants):
        return [message.holder, rows]
    return [
        message.holder,
        message.was_decider,
        message.deciding,
        message.clean,
        rows,
    ]


def decode_grant_fields(name: str, fields: list[Any]) -> GrantMessage | None:
    """Decodes a message that contains grants; None for other messages."""
    if name == HoldGrant.__name__:
        return HoldGrant(_decode_grant(fields))
    if name == HandoverGrants.__name__:
        return HandoverGrants(fields[0], decode_grants(fields[1]))
    if name == UnrecordedReport.__name__:
        holder, was_decider, deciding, clean, rows = fields
        grants = decode_grants(rows)
        return UnrecordedReport(holder, was_decider, deciding, clean, grants)
    return None


def _encode_grant(grant: TurnGrant) -> list[Any]:
    turn = grant.turn
    return [grant.program, turn.holder, turn.turn, grant.tokens]


def _decode_grant(row: list[Any]) -> TurnGrant:
    program, holder, turn, tokens = row
    return TurnGrant(program, TurnRef(holder, turn), tokens)


def encode_grants(grants: Iterable[TurnGrant]) -> list[list[Any]]:
    """Returns grants as a field of a message."""
    return [_encode_grant(grant) for grant in grants]


def decode_grants(rows: Iterable[list[Any]]) -> tuple[TurnGrant, ...]:
    """Decodes a field of a message that contains grants."""
    return tuple(_decode_grant(row) for row in rows)
