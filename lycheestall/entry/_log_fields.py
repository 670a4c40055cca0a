"""Fields of log lines about requests."""

from __future__ import annotations

from dataclasses import asdict

from .accounts import Account, AuthenticationEvidence
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    Stopped,
    Unreachable,
    WholeAnswer,
)

__all__ = [
    "account_fields",
    "decode_id",
    "evidence_fields",
    "milliseconds",
    "outcome_fields",
]


def outcome_fields(outcome: AttemptOutcome) -> dict[str, object]:
    """Returns what a log line says of an attempt's outcome."""
    if isinstance(outcome, NotRun):
        return {"reason": outcome.reason.value, "status": outcome.status}
    if isinstance(outcome, Broken):
        return {
            "reason": outcome.reason.value,
            "answered": outcome.response_started,
        }
    if isinstance(outcome, WholeAnswer):
        return {"status": outcome.head.status}
    if isinstance(outcome, NotSent | Stopped | Unreachable):
        return asdict(outcome)
    return {}


def account_fields(account: Account | None) -> dict[str, object]:
    """Returns what a log line says of a request's account."""
    return {} if account is None else {"account": account.account}


def evidence_fields(
    evidence: AuthenticationEvidence | None,
) -> dict[str, object]:
    """Returns what a log line says of how an account was looked for."""
    if evidence is None:
        return {}
    return {
        "route": evidence.route_name,
        "configuration_age_ms": milliseconds(evidence.configuration_age_s),
        "key_mark": evidence.key_mark,
        "peers_asked": evidence.peers_asked,
    }


def milliseconds(seconds: float) -> int | None:
    """Returns whole milliseconds, None for an infinite time."""
    return None if seconds == float("inf") else round(seconds * 1000)


def decode_id(value: bytes | None) -> str | None:
    """Returns the ID of a request as text; None stays None."""
    return None if value is None else value.decode("latin-1")
