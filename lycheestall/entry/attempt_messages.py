"""Messages between entry VMs about attempts that one sends for another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..ids import TargetId
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotRunReason,
    NotSent,
    PermitExpired,
    Stopped,
    Unreachable,
    WholeAnswer,
)
from .http_client_connection import BreakReason
from .http_messages import Header, ResponseHead
from .token_ledger import HolderId

__all__ = [
    "AskLinks",
    "AttemptMessage",
    "AttemptResult",
    "LinkReport",
    "SendAttempt",
    "decode_attempt_fields",
    "encode_attempt_fields",
]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Asks a peer to send one attempt to a target over its own link.

    The VM that asks has admitted the attempt and accounts for it; the peer
    only carries it. Times are spans, since VMs share no clock.

    Attributes:
        holder: The VM that asks.
        request_id: ID of the request, which the response must echo.
        target: The target, and no other.
        started_ms: Unix time of the start of the target's process.
        method: The request's method.
        url: Its path and query.
        headers: Its headers; the deadline in them is replaced.
        body: Its body.
        fingerprint: Identifies the request in crash reports.
        is_stream: Whether a successful response is forwarded as it arrives.
        may_repeat: Whether the peer ends the attempt if it loses its own
            link; otherwise the response is waited for.
        remaining_s: Seconds until the request's deadline.
        send_within_s: Seconds within which it may be sent.
    """

    holder: HolderId
    request_id: bytes
    target: TargetId
    started_ms: int
    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    body: bytes
    fingerprint: str
    is_stream: bool
    may_repeat: bool
    remaining_s: float
    send_within_s: float


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The reply to ``SendAttempt``, unless a stream is forwarded."""

    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class AskLinks:
    """Asks a peer which targets it reaches."""

    holder: HolderId


@dataclass(frozen=True, slots=True)
class LinkReport:
    """The reply to ``AskLinks``.

    Attributes:
        holder: The VM that reports.
        accepts: Whether it sends attempts for others at all.
        lost: Targets that it does not reach.
        relaying: Attempts that it is sending for others.
    """

    holder: HolderId
    accepts: bool
    lost: tuple[TargetId, ...]
    relaying: int


AttemptMessage = SendAttempt | AttemptResult | AskLinks | LinkReport


def encode_attempt_fields(message: AttemptMessage) -> list[Any]:
    """Returns the fields of a message in a form that CBOR has."""
    if isinstance(message, AttemptResult):
        outcome = message.outcome
        return [type(outcome).__name__, _encode_outcome(outcome)]
    if isinstance(message, AskLinks):
        return [message.holder]
    if isinstance(message, LinkReport):
        return [
            message.holder,
            message.accepts,
            list(message.lost),
            message.relaying,
        ]
    return [
        message.holder,
        message.request_id,
        message.target,
        message.started_ms,
        message.method,
        message.url,
        _encode_headers(message.headers),
        message.body,
        message.fingerprint,
        message.is_stream,
        message.may_repeat,
        message.remaining_s,
        message.send_within_s,
    ]


def decode_attempt_fields(
    name: str, fields: list[Any]
) -> AttemptMessage | None:
    """Returns a message, or None if the name is of another kind.

    Raises:
        ValueError: If the outcome in it is unknown.
    """
    if name == AttemptResult.__name__:
        return AttemptResult(_decode_outcome(*fields))
    if name == AskLinks.__name__:
        return AskLinks(*fields)
    if name == LinkReport.__name__:
        holder, accepts, lost, relaying = fields
        return LinkReport(holder, accepts, tuple(lost), relaying)
    if name == SendAttempt.__name__:
        row = [*fields[:6], _decode_headers(fields[6]), *fields[7:]]
        return SendAttempt(*row)
    return None


def _encode_outcome(outcome: AttemptOutcome) -> list[Any]:
    if isinstance(outcome, NotRun):
        head = _encode_head(outcome.head)
        return [outcome.reason.value, outcome.status, head, outcome.body]
    if isinstance(outcome, WholeAnswer):
        return [_encode_head(outcome.head), outcome.body]
    if isinstance(outcome, Broken):
        return [outcome.reason.value, outcome.response_started]
    if isinstance(outcome, NotSent):
        return [outcome.error, outcome.timed_out]
    if isinstance(outcome, Unreachable):
        return [outcome.reason, outcome.target_lost]
    if isinstance(outcome, Stopped):
        return [outcome.sent]
    return []


def _decode_outcome(name: str, fields: list[Any]) -> AttemptOutcome:
    if name == NotRun.__name__:
        reason, status, head, body = fields
        return NotRun(NotRunReason(reason), status, _decode_head(head), body)
    if name == WholeAnswer.__name__:
        return WholeAnswer(_decode_head(fields[0]), fields[1])
    if name == Broken.__name__:
        return Broken(BreakReason(fields[0]), response_started=fields[1])
    if name == NotSent.__name__:
        return NotSent(*fields)
    if name == Unreachable.__name__:
        return Unreachable(*fields)
    if name == Stopped.__name__:
        return Stopped(*fields)
    if name == PermitExpired.__name__:
        return PermitExpired()
    raise ValueError(f"unknown outcome {name}")


def _encode_head(head: ResponseHead) -> list[Any]:
    headers = _encode_headers(head.headers)
    return [head.status, headers, head.framed, head.keep_alive]


def _decode_head(row: list[Any]) -> ResponseHead:
    status, headers, framed, keep_alive = row
    return ResponseHead(status, _decode_headers(headers), framed, keep_alive)


def _encode_headers(headers: tuple[Header, ...]) -> list[list[bytes]]:
    return [[name, value] for name, value in headers]


def _decode_headers(rows: list[list[bytes]]) -> tuple[Header, ...]:
    return tuple((name, value) for name, value in rows)
