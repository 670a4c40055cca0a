"""Messages between entry VMs, as CBOR."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any, TypeAlias

import cbor2

from ..ids import Offset, ProgramId
from .outage_books import OutageGrant
from .store import (
    AppendConflict,
    Appended,
    AppendUnknown,
    HistoryGone,
    KeyedRecord,
    KeyedWrite,
    NewestPage,
    Records,
    StoreFailed,
    Topic,
    WriterFence,
)
from .target_latencies import SlowResponses
from .token_ledger import HolderId

__all__ = [
    "AskGranted",
    "AskTokens",
    "GrantedTokens",
    "Handover",
    "PeerMessage",
    "PeerReply",
    "RelayAppend",
    "RelayNewest",
    "RelayRead",
    "SettleTokens",
    "SlowTargets",
    "StoreReport",
    "Survey",
    "TokenAnswer",
    "Understood",
    "decode",
    "encode",
]


@dataclass(frozen=True, slots=True)
class Survey:
    """Asks how the store looks.

    Attributes:
        holder: Who asks.
        view: Digest of the members that it knows.
    """

    holder: HolderId
    view: str


@dataclass(frozen=True, slots=True)
class StoreReport:
    """How the store looks to a VM.

    Attributes:
        holder: Whose report it is.
        store_up: Whether the store has just answered it directly.
        store_away: Whether its last call failed; neither is set while it
            waits for an answer.
        view: Digest of the members that it knows.
        members: The ledger's records about members that it has read, for
            a peer that knows others.
    """

    holder: HolderId
    store_up: bool
    store_away: bool
    view: str
    members: tuple[KeyedRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class AskTokens:
    """Asks a program's decider for a turn while the store is away.

    Attributes:
        holder: Who asks.
        view: Digest of the members that it knows.
        program: The program.
        turn: The turn, unique with ``holder``.
        most: Most tokens that the turn generates.
        budget: Tokens that the program may generate.
        recorded: Tokens that the ledger holds for the program, as far as
            the asking VM has read it.
    """

    holder: HolderId
    view: str
    program: ProgramId
    turn: int
    most: int
    budget: int
    recorded: int


@dataclass(frozen=True, slots=True)
class TokenAnswer:
    """A decider's answer.

    Attributes:
        granted: Whether the turn may start.
        spent: Whether the budget is spent.
    """

    granted: bool
    spent: bool


@dataclass(frozen=True, slots=True)
class AskGranted:
    """Asks what a program was granted in an outage, and ends the granting.

    Attributes:
        holder: Who asks, to go on by the ledger.
        view: Digest of the members agreed on in the outage.
        program: The program.
    """

    holder: HolderId
    view: str
    program: ProgramId


@dataclass(frozen=True, slots=True)
class GrantedTokens:
    """What a decider has granted of a program.

    Attributes:
        known: Whether it was the program's only decider.
        tokens: All that it has granted, recorded by now or not.
    """

    known: bool
    tokens: int


@dataclass(frozen=True, slots=True)
class SettleTokens:
    """Tells a decider how many tokens a turn generated."""

    holder: HolderId
    program: ProgramId
    turn: int
    handed: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Tells that a VM which stops decides no more.

    Attributes:
        holder: The VM that stops.
        grants: What it has granted as decider.
    """

    holder: HolderId
    grants: tuple[OutageGrant, ...]


@dataclass(frozen=True, slots=True)
class SlowTargets:
    """Tells of targets that answer much later than others.

    Attributes:
        holder: Who has waited for them.
        answers: What it has seen since it last told.
    """

    holder: HolderId
    answers: tuple[SlowResponses, ...]


@dataclass(frozen=True, slots=True)
class Understood:
    """Confirms a message that needs no answer."""


@dataclass(frozen=True, slots=True)
class RelayAppend:
    """Asks a peer to append for a VM that the store turns away."""

    topic: Topic
    writes: tuple[KeyedWrite, ...]
    fence: WriterFence


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Asks a peer to read for a VM that the store turns away."""

    topic: Topic
    start: Offset
    wait_s: float


@dataclass(frozen=True, slots=True)
class RelayNewest:
    """Asks a peer to list for a VM that the store turns away."""

    topic: Topic
    after: str | None


PeerMessage: TypeAlias = (
    Survey
    | AskTokens
    | AskGranted
    | SettleTokens
    | Handover
    | RelayAppend
    | RelayRead
    | RelayNewest
    | SlowTargets
)
PeerReply: TypeAlias = (
    StoreReport
    | TokenAnswer
    | GrantedTokens
    | Understood
    | Appended
    | AppendConflict
    | AppendUnknown
    | StoreFailed
    | Records
    | HistoryGone
    | NewestPage
)

_PLAIN: dict[str, Callable[..., Any]] = {
    kind.__name__: kind
    for kind in (
        Survey,
        AskTokens,
        TokenAnswer,
        AskGranted,
        GrantedTokens,
        SettleTokens,
        Understood,
        Appended,
        AppendConflict,
        AppendUnknown,
        StoreFailed,
        HistoryGone,
    )
}


def encode(message: PeerMessage | PeerReply) -> bytes:
    """Returns a message's bytes."""
    return cbor2.dumps([type(message).__name__, _fields(message)])


def decode(data: bytes) -> PeerMessage | PeerReply:
    """Returns the message.

    Raises:
        ValueError: If the bytes are no message.
    """
    try:
        name, fields = cbor2.loads(data)
        return _message(name, fields)
    except (cbor2.CBORDecodeError, TypeError, KeyError, IndexError) as error:
        raise ValueError(f"not a peer message: {error}") from error


def _fields(message: PeerMessage | PeerReply) -> list[Any]:
    if isinstance(message, Handover):
        grants = [list(astuple(grant)) for grant in message.grants]
        return [message.holder, grants]
    if isinstance(message, SlowTargets):
        answers = [list(astuple(slow)) for slow in message.answers]
        return [message.holder, answers]
    if isinstance(message, RelayAppend):
        writes = [[write.key, write.value] for write in message.writes]
        return [message.topic.value, writes, list(astuple(message.fence))]
    if isinstance(message, RelayRead):
        return [message.topic.value, message.start, message.wait_s]
    if isinstance(message, RelayNewest):
        return [message.topic.value, message.after]
    if isinstance(message, StoreReport):
        return [
            message.holder,
            message.store_up,
            message.store_away,
            message.view,
            _rows(message.members),
        ]
    if isinstance(message, Records):
        return [_rows(message.records), message.end]
    if isinstance(message, NewestPage):
        return [_rows(message.records), message.more_after, message.end]
    return list(astuple(message))


def _message(name: str, fields: list[Any]) -> PeerMessage | PeerReply:
    if name == Handover.__name__:
        grants = tuple(OutageGrant(*grant) for grant in fields[1])
        return Handover(fields[0], grants)
    if name == SlowTargets.__name__:
        answers = tuple(SlowResponses(*slow) for slow in fields[1])
        return SlowTargets(fields[0], answers)
    if name == RelayAppend.__name__:
        writes = tuple(KeyedWrite(key, value) for key, value in fields[1])
        return RelayAppend(Topic(fields[0]), writes, WriterFence(*fields[2]))
    if name == RelayRead.__name__:
        return RelayRead(Topic(fields[0]), fields[1], fields[2])
    if name == RelayNewest.__name__:
        return RelayNewest(Topic(fields[0]), fields[1])
    if name == StoreReport.__name__:
        holder, store_up, store_away, view, members = fields
        return StoreReport(
            holder, store_up, store_away, view, _records(members)
        )
    if name == Records.__name__:
        return Records(_records(fields[0]), fields[1])
    if name == NewestPage.__name__:
        return NewestPage(_records(fields[0]), fields[1], fields[2])
    message: PeerMessage | PeerReply = _PLAIN[name](*fields)
    return message


def _rows(records: tuple[KeyedRecord, ...]) -> list[list[Any]]:
    return [[record.offset, record.key, record.value] for record in records]


def _records(rows: list[list[Any]]) -> tuple[KeyedRecord, ...]:
    return tuple(KeyedRecord(*row) for row in rows)
