"""Messages between entry VMs, encoded as CBOR."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any, TypeAlias

import cbor2

from .attempt_messages import (
    AskLinks,
    AttemptMessage,
    AttemptResult,
    LinkReport,
    SendAttempt,
    decode_attempt_fields,
    encode_attempt_fields,
)
from .ledger_messages import (
    AskLedger,
    AskPosition,
    LedgerPosition,
    LedgerTail,
    ReadLedger,
    decode_position,
    encode_position,
)
from .origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from .permit_messages import (
    AskPermit,
    ChangedLimits,
    LimitNews,
    PermitAnswer,
)
from .placement.figure_messages import (
    ShareFigures,
    decode_figures,
    encode_figures,
)
from .placement.target_latencies import SlowResponses
from .quotas.quota_messages import (
    AskQuota,
    HoldQuota,
    QuotaAnswer,
    QuotaHeld,
    QuotaMessage,
    ReturnQuota,
    decode_quota_fields,
    encode_quota_fields,
)
from .relay_messages import (
    AskConfiguration,
    RelayAppend,
    RelayedConfiguration,
    RelayNewest,
    RelayRead,
)
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
from .token_ledger import HolderId
from .token_messages import (
    AskGranted,
    AskSettled,
    AskTokens,
    AskUnrecorded,
    GrantedTokens,
    GrantMessage,
    Handover,
    HandoverGrants,
    HoldGrant,
    OutageGrant,
    SettledReport,
    SettleTokens,
    TokenAnswer,
    UnrecordedReport,
    decode_grant_fields,
    decode_grants,
    encode_grant_fields,
    encode_grants,
)
from .turn_messages import (
    FindTurns,
    FoundTurns,
    HoldTurns,
    TurnMessage,
    decode_turn_fields,
    encode_turn_fields,
)

__all__ = [
    "AskGranted",
    "AskPermit",
    "AskSettled",
    "AskTokens",
    "AskUnrecorded",
    "AskLedger",
    "AskPosition",
    "ChangedLimits",
    "GrantedTokens",
    "Handover",
    "HandoverGrants",
    "HoldGrant",
    "LedgerPosition",
    "LedgerTail",
    "PeerMessage",
    "PeerReply",
    "PermitAnswer",
    "SettledReport",
    "SettleTokens",
    "SlowTargets",
    "StoreReport",
    "Survey",
    "TokenAnswer",
    "Understood",
    "UnrecordedReport",
    "decode",
    "encode",
]


@dataclass(frozen=True, slots=True)
class Survey:
    """Asks a peer whether it reaches the store.

    Attributes:
        holder: The VM that asks.
        view: Digest of the members that it knows.
    """

    holder: HolderId
    view: str


@dataclass(frozen=True, slots=True)
class StoreReport:
    """Reports whether a VM reaches the store.

    Attributes:
        holder: The VM that reports.
        store_up: Whether a direct call to the store has just succeeded.
        store_unavailable: Whether its last call to the store failed; while a
            call is pending, both flags are false.
        view: Digest of the members that it knows.
        members: The member records that it has read from the ledger, for a
            peer that knows others.
    """

    holder: HolderId
    store_up: bool
    store_unavailable: bool
    view: str
    members: tuple[KeyedRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class SlowTargets:
    """Reports targets that respond much later than others.

    Attributes:
        holder: The VM that reports.
        slow_responses: What it has observed since its last report.
    """

    holder: HolderId
    slow_responses: tuple[SlowResponses, ...]


@dataclass(frozen=True, slots=True)
class Understood:
    """Confirms a message that needs no other reply."""


PeerMessage: TypeAlias = (
    Survey
    | AskTokens
    | AskGranted
    | AskUnrecorded
    | AskSettled
    | AskLedger
    | AskPosition
    | ReadLedger
    | SettleTokens
    | HoldGrant
    | Handover
    | HandoverGrants
    | RelayAppend
    | RelayRead
    | RelayNewest
    | SlowTargets
    | ShareFigures
    | ChangedLimits
    | AskPermit
    | HoldTurns
    | FindTurns
    | AskConfiguration
    | HoldStreamOrigin
    | FindStreamOrigin
    | SendAttempt
    | AskLinks
    | AskQuota
    | ReturnQuota
    | HoldQuota
)
PeerReply: TypeAlias = (
    StoreReport
    | TokenAnswer
    | GrantedTokens
    | UnrecordedReport
    | SettledReport
    | LedgerTail
    | LedgerPosition
    | Understood
    | Appended
    | AppendConflict
    | AppendUnknown
    | StoreFailed
    | Records
    | HistoryGone
    | NewestPage
    | FoundTurns
    | RelayedConfiguration
    | PermitAnswer
    | FoundStreamOrigin
    | AttemptResult
    | LinkReport
    | ShareFigures
    | QuotaAnswer
    | QuotaHeld
)

_POSITIONAL_TYPES: dict[str, Callable[..., Any]] = {
    message_type.__name__: message_type
    for message_type in (
        Survey,
        AskTokens,
        TokenAnswer,
        AskGranted,
        GrantedTokens,
        AskUnrecorded,
        AskSettled,
        SettledReport,
        AskLedger,
        AskPosition,
        ReadLedger,
        SettleTokens,
        Understood,
        Appended,
        AppendConflict,
        AppendUnknown,
        StoreFailed,
        HistoryGone,
        AskConfiguration,
        RelayedConfiguration,
        HoldStreamOrigin,
        FindStreamOrigin,
    )
}


def encode(message: PeerMessage | PeerReply) -> bytes:
    """Returns the message as bytes."""
    return cbor2.dumps([type(message).__name__, _encode_fields(message)])


def decode(data: bytes) -> PeerMessage | PeerReply:
    """Decodes a message.

    Raises:
        ValueError: If the bytes are not a valid message.
    """
    try:
        name, fields = cbor2.loads(data)
        return _decode_fields(name, fields)
    except (cbor2.CBORDecodeError, TypeError, KeyError, IndexError) as error:
        raise ValueError(f"malformed peer message: {error}") from error


def _encode_fields(message: PeerMessage | PeerReply) -> list[Any]:
    if isinstance(message, Handover):
        grants = [list(astuple(grant)) for grant in message.grants]
        return [message.holder, grants]
    if isinstance(message, SlowTargets):
        slow_responses = [
            list(astuple(slow)) for slow in message.slow_responses
        ]
        return [message.holder, slow_responses]
    if isinstance(message, ShareFigures):
        return encode_figures(message)
    if isinstance(message, ChangedLimits):
        return [message.holder, [_news_row(news) for news in message.news]]
    if isinstance(message, AskPermit):
        return [message.holder, message.max_wait_s, _news_row(message.news)]
    if isinstance(message, PermitAnswer):
        return [message.granted, message.wait_s, _news_row(message.news)]
    if isinstance(message, RelayAppend):
        writes = [[write.key, write.value] for write in message.writes]
        fence = None if message.fence is None else list(astuple(message.fence))
        return [message.topic.value, writes, fence, message.shard]
    if isinstance(message, RelayRead):
        return [message.topic.value, message.start, message.wait_s]
    if isinstance(message, RelayNewest):
        return [message.topic.value, message.after, message.shard]
    if isinstance(message, GrantMessage):
        return encode_grant_fields(message)
    if isinstance(message, TurnMessage):
        return encode_turn_fields(message)
    if isinstance(message, AttemptMessage):
        return encode_attempt_fields(message)
    if isinstance(message, QuotaMessage):
        return encode_quota_fields(message)
    if isinstance(message, StoreReport):
        return [
            message.holder,
            message.store_up,
            message.store_unavailable,
            message.view,
            _encode_records(message.members),
        ]
    if isinstance(message, LedgerTail):
        return [
            message.holder,
            message.complete,
            message.group_complete,
            _encode_records(message.records),
            encode_grants(message.grants),
        ]
    if isinstance(message, LedgerPosition):
        return encode_position(message)
    if isinstance(message, Records):
        return [_encode_records(message.records), message.end]
    if isinstance(message, NewestPage):
        return [
            _encode_records(message.records),
            message.more_after,
            message.end,
        ]
    return list(astuple(message))


def _decode_fields(name: str, fields: list[Any]) -> PeerMessage | PeerReply:
    if name == Handover.__name__:
        grants = tuple(OutageGrant(*grant) for grant in fields[1])
        return Handover(fields[0], grants)
    if name == SlowTargets.__name__:
        slow_responses = tuple(SlowResponses(*slow) for slow in fields[1])
        return SlowTargets(fields[0], slow_responses)
    if name == ShareFigures.__name__:
        return decode_figures(fields)
    if name == ChangedLimits.__name__:
        return ChangedLimits(
            fields[0], tuple(LimitNews(*row) for row in fields[1])
        )
    if name == AskPermit.__name__:
        return AskPermit(fields[0], fields[1], LimitNews(*fields[2]))
    if name == PermitAnswer.__name__:
        return PermitAnswer(fields[0], fields[1], LimitNews(*fields[2]))
    if name == FoundStreamOrigin.__name__:
        service, version, recent_versions, complete = fields
        return FoundStreamOrigin(
            service, version, tuple(recent_versions), complete
        )
    if name == RelayAppend.__name__:
        writes = tuple(KeyedWrite(key, value) for key, value in fields[1])
        fence = None if fields[2] is None else WriterFence(*fields[2])
        return RelayAppend(Topic(fields[0]), writes, fence, fields[3])
    if name == RelayRead.__name__:
        return RelayRead(Topic(fields[0]), fields[1], fields[2])
    if name == RelayNewest.__name__:
        return RelayNewest(Topic(fields[0]), fields[1], fields[2])
    if name == StoreReport.__name__:
        holder, store_up, store_unavailable, view, members = fields
        return StoreReport(
            holder, store_up, store_unavailable, view, _decode_records(members)
        )
    if name == LedgerTail.__name__:
        holder, complete, group_complete, rows, grants = fields
        return LedgerTail(
            holder,
            complete,
            group_complete,
            _decode_records(rows),
            decode_grants(grants),
        )
    if name == LedgerPosition.__name__:
        return decode_position(fields)
    if name == Records.__name__:
        return Records(_decode_records(fields[0]), fields[1])
    if name == NewestPage.__name__:
        return NewestPage(_decode_records(fields[0]), fields[1], fields[2])
    grant_message = decode_grant_fields(name, fields)
    if grant_message is not None:
        return grant_message
    turn_message = decode_turn_fields(name, fields)
    if turn_message is not None:
        return turn_message
    attempt_message = decode_attempt_fields(name, fields)
    if attempt_message is not None:
        return attempt_message
    quota_message = decode_quota_fields(name, fields)
    if quota_message is not None:
        return quota_message
    message: PeerMessage | PeerReply = _POSITIONAL_TYPES[name](*fields)
    return message


def _news_row(news: LimitNews) -> list[Any]:
    return list(astuple(news))


def _encode_records(records: tuple[KeyedRecord, ...]) -> list[list[Any]]:
    return [[record.offset, record.key, record.value] for record in records]


def _decode_records(rows: list[list[Any]]) -> tuple[KeyedRecord, ...]:
    return tuple(KeyedRecord(*row) for row in rows)
