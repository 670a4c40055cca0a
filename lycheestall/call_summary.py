"""Summaries of ended calls, as shown by ``program show``."""

from __future__ import annotations

from dataclasses import dataclass

from .answers import AnswerKey
from .ids import ProgramId
from .outcomes import Completed, Outcome, outcome_kind

__all__ = [
    "CallSummary",
    "summarize_call",
]


@dataclass(frozen=True, slots=True)
class CallSummary:
    """Where a call ran and how it ended.

    Attributes:
        program: The program's id, including the path of a sub-agent.
        number: The call's number.
        kind: The operation requested.
        peer: The target, or empty.
        outcome: The kind of its outcome.
        reason: Why it did not complete, or empty.
        tokens: Prompt and answer tokens.
    """

    program: ProgramId
    number: int
    kind: str
    peer: str
    outcome: str
    reason: str
    tokens: int


def summarize_call(key: AnswerKey, kind: str, outcome: Outcome) -> CallSummary:
    """Returns the summary of an ended call.

    Args:
        key: Identifies the call.
        kind: The operation requested.
        outcome: Its final outcome.
    """
    tokens, reason = 0, ""
    if isinstance(outcome, Completed):
        tokens = outcome.tokens_in + outcome.tokens_out
    else:
        reason = outcome.reason.value
    return CallSummary(
        program=key.program,
        number=key.number,
        kind=kind,
        peer=outcome.peer,
        outcome=outcome_kind(outcome),
        reason=reason,
        tokens=tokens,
    )
