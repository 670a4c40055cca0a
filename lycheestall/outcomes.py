"""The outcomes of a call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

__all__ = [
    "Completed",
    "Failed",
    "Outcome",
    "Reason",
    "Refused",
    "Step",
    "outcome_kind",
]


class Step(Enum):
    """The processing step in which a call was refused or failed."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    FORWARD = "forward"
    ORDER = "order"
    HISTORY = "history"
    ADMIT = "admit"
    RESERVE = "reserve"
    OPEN = "open"
    INTENT = "intent"
    PLACE = "place"
    DISPATCH = "dispatch"
    RELAY = "relay"
    RECORD = "record"
    RESUME = "resume"


class Reason(Enum):
    """Why a call was refused or failed."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    NOT_OWNER = "not_owner"
    NO_AUTHORITY = "no_authority"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    LOG_UNAVAILABLE = "log_unavailable"
    CALL_GAP = "call_gap"
    CALL_SUPERSEDED = "call_superseded"
    HISTORY_MISMATCH = "history_mismatch"
    RECEIPT_REQUIRED = "receipt_required"
    PROGRAM_UNKNOWN = "program_unknown"
    PROGRAM_ENDED = "program_ended"
    KEY_REUSED = "key_reused"
    KEY_MISSING = "key_missing"
    KEY_UNPROVEN = "key_unproven"
    MAY_HAVE_RUN = "may_have_run"
    BUDGET_SPENT = "budget_spent"
    ACCOUNT_LIMIT = "account_limit"
    TURN_LIMIT = "turn_limit"
    TIME_LIMIT = "time_limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    TARGET_ALONE = "target_alone"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    ANSWER_GONE = "answer_gone"
    CANCELLED = "cancelled"
    VM_LOST = "vm_lost"


@dataclass(frozen=True, slots=True)
class Completed:
    """The call ran and its complete answer was delivered.

    Attributes:
        tokens_in: Prompt tokens, as counted by the target.
        tokens_out: Generated tokens, as counted by the target.
        cached_tokens: Prompt tokens found in the engine's prefix cache.
        peer: The target that ran the call.
    """

    tokens_in: int = 0
    tokens_out: int = 0
    cached_tokens: int = 0
    peer: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not run and will not be run.

    Attributes:
        step: The step that refused the call.
        reason: Why it was refused.
        peer: The VM or target concerned; empty if local.
        retry_after_s: Seconds to wait before a retry; 0 means do not.
        rule: The rule line that decided, or empty.
        detail: A human-readable explanation.
        needs: What the caller has to send for a retry to succeed.
    """

    step: Step
    reason: Reason
    peer: str = ""
    retry_after_s: float = 0.0
    rule: str = ""
    detail: str = ""
    needs: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The call was dispatched and failed, or its outcome is unknown.

    Attributes:
        step: The step that failed.
        reason: Why it failed.
        peer: The VM or target concerned.
        retry_after_s: Seconds to wait before a retry; 0 means do not.
        detail: A human-readable explanation.
    """

    step: Step
    reason: Reason
    peer: str = ""
    retry_after_s: float = 0.0
    detail: str = ""


Outcome: TypeAlias = Completed | Refused | Failed


def outcome_kind(outcome: Outcome) -> str:
    """Returns the name of an outcome's kind, as sent to callers.

    Args:
        outcome: Any outcome.

    Returns:
        One of ``completed``, ``refused_not_run`` and
        ``failed_may_have_run``.
    """
    if isinstance(outcome, Completed):
        return "completed"
    if isinstance(outcome, Refused):
        return "refused_not_run"
    return "failed_may_have_run"
