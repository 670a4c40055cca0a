"""Parses and builds the platform's HTTP headers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from ..entry.accounts import (
    AccountId,
    ApiKey,
    BearerKey,
    Credentials,
    NoCredentials,
    UnusableCredentials,
    check_key,
)
from ..entry.header_codec import HeaderCodec, InvalidRequest
from ..entry.http_messages import Header, Request, ResponseHead
from ..entry.message_metadata import (
    PromptPart,
    RequestLimit,
    RequestMetadata,
    ResponseMetadata,
    UnreadableLimit,
)
from ..entry.record_numbers import decode_number
from ..ids import ProgramId, TargetId

__all__ = ["PlatformHeaders"]

_REQUEST_ID = b"x-request-id"
_DEADLINE_MS = b"x-deadline-ms"
_PROMPT_PREFIX = b"x-prompt-prefix"
_LAST_EVENT_ID = b"last-event-id"
# ID of the attempt that received the first event of a resumed stream.
_RESUMES = b"resumes"
_RESPONSE_SEAL = b"x-response-seal"
_EXPECT_INSTANCE = b"x-expect-instance"
_NOT_EXECUTED = b"x-not-executed"
# Despite its name, the header holds the number of prompt tokens and the
# maximum number of output tokens, not the tokens used.
_TOKEN_LIMITS = b"x-token-usage"
_URGENCY = b"x-request-urgency"
_PROGRAM_ID = b"x-program-id"
_SESSION_ID = b"x-session-id"
_FINISH_MS = b"x-finish-ms"
_TOKEN_BUDGET = b"x-token-budget"
_PREVIOUS_TURN = b"x-previous-turn"
# Cookie with the same value in all requests about one object.
_OBJECT_COOKIE = b"X-Affinity-Key"
_AUTHORIZATION = b"authorization"
_BEARER = b"bearer"
# Name of the account that a request belongs to.
_ACCOUNT = b"x-tenant"
_SERVER_LEAVING = b"server-leaving"
# Requests per second that the target takes from all VMs together.
_SERVER_LIMIT = b"server-limit"

MAX_TURN_ID_BYTES = 200
"""Longest accepted ID of a turn."""

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

# Headers to targets that only the entry VM may set; callers' are dropped.
_SYSTEM_HEADERS = frozenset(
    (
        _DEADLINE_MS,
        _EXPECT_INSTANCE,
        _LAST_EVENT_ID,
        _URGENCY,
        b"kv-fetch",
        b"kv-from",
        b"x-expect-version",
        b"x-hold",
        b"x-kv-backup",
        b"x-pin-ms",
    )
)


class PlatformHeaders(HeaderCodec):
    """Header codec of the platform's HTTP protocol."""

    def parse_request_headers(
        self, request: Request
    ) -> RequestMetadata | InvalidRequest:
        """Parses the headers of a caller's request.

        Args:
            request: The request.

        Returns:
            The parsed headers, or the reason why the request is invalid.
        """
        by_name: dict[bytes, bytes] = {}
        for name, value in request.headers:
            lower = name.lower()
            if lower in by_name and lower in (b"host", _REQUEST_ID):
                return InvalidRequest(f"repeated {lower.decode('latin-1')}")
            by_name[lower] = value
        host = by_name.get(b"host")
        if host is None:
            return InvalidRequest("no host")
        attempt = by_name.get(_REQUEST_ID)
        if not attempt:
            return InvalidRequest("no request id")
        previous = by_name.get(_PREVIOUS_TURN)
        if previous is not None and not 0 < len(previous) <= MAX_TURN_ID_BYTES:
            return InvalidRequest("invalid ID of the previous turn")
        program = by_name.get(_PROGRAM_ID)
        limits = _integers(by_name.get(_TOKEN_LIMITS, b""))
        credentials: Credentials = NoCredentials()
        if _AUTHORIZATION in by_name:
            credentials = _credentials(request.headers)
        object_key: str | None = None
        if b"cookie" in by_name:
            object_key = _object_key(request.headers)
        return RequestMetadata(
            request_id=attempt,
            host=host.decode("latin-1"),
            deadline_s=_seconds_from_ms(by_name.get(_DEADLINE_MS)),
            program=ProgramId(program.decode("latin-1")) if program else None,
            session_id=by_name.get(_SESSION_ID, b"").decode("latin-1"),
            program_deadline_s=_seconds_from_ms(by_name.get(_FINISH_MS)),
            token_budget=_integer(by_name.get(_TOKEN_BUDGET)),
            max_output_tokens=limits[1] if len(limits) == 2 else 0,
            prompt_parts=_prompt_parts(by_name.get(_PROMPT_PREFIX, b"")),
            resume_after=_integer(by_name.get(_LAST_EVENT_ID)),
            resumed_request=by_name.get(_RESUMES) or None,
            previous_turn=previous.decode("latin-1") if previous else None,
            credentials=credentials,
            object_key=object_key,
        )

    def target_headers(
        self,
        headers: Sequence[Header],
        *,
        target: TargetId,
        remaining_s: float,
        urgency: int | None,
        resume_after: int | None,
        authenticated: bool = False,
        account: AccountId | None = None,
    ) -> list[Header]:
        """Returns the headers of a request to a target.

        Args:
            headers: Headers from the caller.
            target: Target that must run the request; any other rejects it.
            remaining_s: Seconds until the request's deadline.
            urgency: From 0 (most urgent) to 9; None for the target's
                default.
            resume_after: Id of the last event that was received, if the
                stream is resumed.
            authenticated: Whether the configuration has accounts, so that
                the caller's credentials and what it says of its account are
                dropped.
            account: The account that the caller has proven, if any.
        """
        dropped = _connection_options(headers)
        kept = [
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP_HEADERS
            and lower not in _SYSTEM_HEADERS
            and lower not in dropped
            and not (authenticated and _names_account(lower))
        ]
        kept.append(_deadline(remaining_s))
        kept.append((b"X-Expect-Instance", target.encode("latin-1")))
        if urgency is not None:
            kept.append((b"X-Request-Urgency", b"%d" % urgency))
        if resume_after is not None:
            kept.append((b"Last-Event-Id", b"%d" % resume_after))
        if account is not None:
            kept.append((b"X-Tenant", account.encode()))
        return kept

    def replace_deadline(
        self, headers: Sequence[Header], *, remaining_s: float
    ) -> list[Header]:
        """Returns a request's headers to a target with another deadline.

        Args:
            headers: The headers from ``target_headers``.
            remaining_s: Seconds left until the deadline.
        """
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() != _DEADLINE_MS
        ]
        return [*kept, _deadline(remaining_s)]

    def parse_response_headers(self, head: ResponseHead) -> ResponseMetadata:
        """Parses the headers of a target's response."""
        by_name = {name.lower(): value for name, value in head.headers}
        return ResponseMetadata(
            request_id=by_name.get(_REQUEST_ID),
            sealed=_RESPONSE_SEAL in by_name,
            not_run=_NOT_EXECUTED in by_name,
            encoded=b"content-encoding" in by_name,
            idle_timeout_s=_keep_alive_s(by_name.get(b"keep-alive", b"")),
            target_leaving=by_name.get(_SERVER_LEAVING) == b"1",
            limit=_request_limit(by_name.get(_SERVER_LIMIT)),
        )

    def caller_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Returns a response's headers without hop-by-hop headers."""
        dropped = _connection_options(headers)
        return [
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP_HEADERS
            and lower not in dropped
        ]


def _connection_options(headers: Iterable[Header]) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() != b"connection":
            continue
        names.update(part.strip().lower() for part in value.split(b","))
    names.discard(b"close")
    names.discard(b"host")
    names.discard(_REQUEST_ID)
    return frozenset(names)


def _credentials(headers: Iterable[Header]) -> Credentials:
    values = [v for name, v in headers if name.lower() == _AUTHORIZATION]
    if len(values) > 1:
        return UnusableCredentials("repeated header")
    scheme, _, key = values[0].strip().partition(b" ")
    if not scheme:
        return UnusableCredentials("empty header")
    if scheme.lower() != _BEARER:
        return UnusableCredentials("another scheme than Bearer")
    key = key.strip()
    problem = check_key(key)
    if problem is not None:
        return UnusableCredentials(problem)
    return BearerKey(ApiKey(key.decode("ascii")))


def _object_key(headers: Iterable[Header]) -> str | None:
    for name, value in headers:
        if name.lower() != b"cookie":
            continue
        for entry in value.split(b";"):
            cookie, _, key = entry.strip().partition(b"=")
            if cookie == _OBJECT_COOKIE and key:
                return key.decode("latin-1")
    return None


def _names_account(lower: bytes) -> bool:
    # Some targets read "_" in names of headers as "-".
    return lower.replace(b"_", b"-") in (_AUTHORIZATION, _ACCOUNT)


def _deadline(remaining_s: float) -> Header:
    return b"X-Deadline-Ms", b"%d" % max(1, int(remaining_s * 1000))


def _integer(value: bytes | None) -> int | None:
    return None if value is None else decode_number(value.strip())


def _integers(value: bytes) -> list[int]:
    parts = [_integer(part) for part in value.split(b",")]
    return [part for part in parts if part is not None]


def _seconds_from_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value) / 1000.0
    except ValueError:
        return None


def _request_limit(
    value: bytes | None,
) -> RequestLimit | UnreadableLimit | None:
    if value is None:
        return None
    text = value.decode("latin-1")
    try:
        rate_per_s = float(text)
    except ValueError:
        return UnreadableLimit(text)
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        return UnreadableLimit(text)
    return RequestLimit(rate_per_s)


def _prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in value.split(b","):
        name, _, digits = entry.strip().partition(b":")
        tokens = decode_number(digits)
        if tokens is None:
            continue
        parts.append(PromptPart(name.decode("latin-1"), tokens))
    return tuple(parts)


def _keep_alive_s(value: bytes) -> float | None:
    for entry in value.split(b","):
        name, _, number = entry.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
