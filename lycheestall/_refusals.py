"""Builds the refusals that the program owner returns."""

from __future__ import annotations

from .account_portions import LimitReached
from .calls import Call, CallKind
from .history import Mismatch
from .outcomes import Reason, Refused, Step
from .rules.rule_set import ProgramLimits, RuleLine
from .sequencer import NumberConflict, OfferResult, Superseded

__all__ = [
    "account_limit_reached",
    "budget_spent",
    "history_mismatch",
    "log_unavailable",
    "order_refusal",
    "program_ended",
    "program_limit_reached",
    "program_too_old",
    "program_unproven",
    "receipt_required",
    "rule_text",
]

LOG_RETRY_S = 2.0


def rule_text(line: RuleLine | None) -> str:
    """Returns the text that names a rule line in a refusal.

    Args:
        line: The deciding line; None if no rule applied.
    """
    if line is None:
        return ""
    if line.number == 0:
        return "built-in default"
    return f"line {line.number} asked by {line.member}"


def log_unavailable(step: Step, detail: str) -> Refused:
    """Returns the refusal of a step that needs the log while it is down.

    Args:
        step: The step that needs the log.
        detail: What it needs the log for.
    """
    return Refused(
        step,
        Reason.LOG_UNAVAILABLE,
        retry_after_s=LOG_RETRY_S,
        detail=detail,
    )


def program_ended(reason: str) -> Refused:
    """Returns the refusal of calls of an ended program.

    Args:
        reason: Why it ended.
    """
    return Refused(
        Step.OPEN,
        Reason.PROGRAM_ENDED,
        detail=f"the program has ended: {reason}",
    )


def program_too_old() -> Refused:
    """Returns the refusal that ends a program past the retention time."""
    return Refused(
        Step.ADMIT,
        Reason.TIME_LIMIT,
        detail="the program is older than programs are kept; it has ended",
        needs="a program opened anew",
    )


def program_unproven(call: Call) -> Refused:
    """Returns the refusal of a program older than the retained state."""
    action = call.kind is CallKind.ACTION
    return Refused(
        Step.OPEN,
        Reason.KEY_UNPROVEN if action else Reason.PROGRAM_UNKNOWN,
        detail="the program is older than what is kept of programs",
        needs="a program opened anew",
    )


def program_limit_reached(
    reason: Reason, limits: ProgramLimits, name: str
) -> Refused:
    """Returns the refusal that ends a program at one of its limits.

    Args:
        reason: ``TURN_LIMIT`` or ``TIME_LIMIT``.
        limits: The limits in force.
        name: The limit's field name.
    """
    return Refused(
        Step.ADMIT,
        reason,
        rule=rule_text(limits.lines.get(name)),
        detail=f"the program's limit {name} is reached; it has ended",
    )


def budget_spent(name: str, line: RuleLine | None) -> Refused:
    """Returns the refusal of a call that may exceed the budget.

    Args:
        name: The limit's field name.
        line: The deciding line.
    """
    return Refused(
        Step.RESERVE,
        Reason.BUDGET_SPENT,
        rule=rule_text(line),
        detail=f"the program's budget of {name} does not hold the most "
        "this call may cost",
    )


def account_limit_reached(reached: LimitReached) -> Refused:
    """Returns the refusal of a call that exceeds an account's limit."""
    limit = reached.limit
    return Refused(
        Step.ADMIT,
        Reason.ACCOUNT_LIMIT,
        retry_after_s=reached.retry_after_s,
        rule=rule_text(limit.line),
        detail=f"the account's limit on {limit.kind.value} is used up",
    )


def order_refusal(offer: OfferResult) -> Refused | None:
    """Returns the refusal of a call that the sequencer rejected, if any.

    Args:
        offer: The sequencer's decision.
    """
    if not isinstance(offer, NumberConflict | Superseded):
        return None
    cause = "a later call has gone on"
    if isinstance(offer, NumberConflict):
        cause = "its number has another body"
    return Refused(
        Step.ORDER,
        Reason.CALL_SUPERSEDED,
        detail=f"call {offer.number} is not run: {cause}",
        needs="a number above all that were sent",
    )


def history_mismatch(mismatch: Mismatch) -> Refused:
    """Returns the refusal of messages that do not extend a history."""
    return Refused(
        Step.HISTORY,
        Reason.HISTORY_MISMATCH,
        detail="the messages do not extend the program's history of "
        f"{mismatch.messages} messages: {mismatch.kind.value}",
        needs=f"the first {mismatch.messages} messages unchanged, or the "
        "header lycheestall-history: branch",
    )


def receipt_required(detail: str) -> Refused:
    """Returns the refusal of a call that needs a valid receipt.

    Args:
        detail: Why a receipt is needed, or what is wrong with it.
    """
    return Refused(
        Step.HISTORY, Reason.RECEIPT_REQUIRED, detail=detail, needs="receipt"
    )
