"""Where calls ran and how they ended, as shown to their program's owner."""

from __future__ import annotations

from dataclasses import dataclass

from .answers import AnswerKey
from .ids import ProgramId
from .outcomes import Completed, Outcome, describe

__all__ = ["CallFact", "call_fact"]


@dataclass(frozen=True, slots=True)
class CallFact:
    """Where a call ran and how it ended, for ``program show``.

    Attributes:
        program: The program, with its parents' path.
        number: The call's number.
        kind: What it asked for.
        peer: The target, or empty.
        outcome: The typed word of its outcome.
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


def call_fact(key: AnswerKey, kind: str, outcome: Outcome) -> CallFact:
    """Returns the fact that remains of an ended call.

    Args:
        key: Names the call.
        kind: What it asked for.
        outcome: Its final outcome.
    """
    tokens, reason = 0, ""
    if isinstance(outcome, Completed):
        tokens = outcome.tokens_in + outcome.tokens_out
    else:
        reason = outcome.reason.value
    return CallFact(
        program=key.program,
        number=key.number,
        kind=kind,
        peer=outcome.peer,
        outcome=describe(outcome),
        reason=reason,
        tokens=tokens,
    )
