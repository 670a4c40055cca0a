"""What the ledger keeps of one program."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .ids import (
    AccountId,
    IdempotencyKey,
    PartitionId,
    ProgramId,
    SessionId,
    TargetId,
)

__all__ = [
    "Intent",
    "KeptAnswer",
    "LedgerProgram",
    "Spend",
    "dump_program",
    "load_program",
]


@dataclass(frozen=True, slots=True)
class Spend:
    """Amounts of a program's budget.

    Attributes:
        tokens: Prompt and answer tokens.
        calls: Calls of any kind.
        money_micros: Money in millionths.
    """

    tokens: int = 0
    calls: int = 0
    money_micros: int = 0

    def plus(self, other: Spend) -> Spend:
        """Returns the sum."""
        return Spend(
            self.tokens + other.tokens,
            self.calls + other.calls,
            self.money_micros + other.money_micros,
        )

    def minus(self, other: Spend) -> Spend:
        """Returns the difference, which may be below zero."""
        return Spend(
            self.tokens - other.tokens,
            self.calls - other.calls,
            self.money_micros - other.money_micros,
        )

    def at_least(self, other: Spend) -> Spend:
        """Returns the greater of both, field by field."""
        return Spend(
            max(self.tokens, other.tokens),
            max(self.calls, other.calls),
            max(self.money_micros, other.money_micros),
        )

    def within(self, other: Spend) -> bool:
        """Returns whether no field is over the other's."""
        return self.at_least(other) == other


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A non-idempotent call's answer, as the log has it."""

    status: int
    content_type: str
    body: bytes
    whole: bool


@dataclass(slots=True)
class Intent:
    """A non-idempotent call that was, or was about to be, dispatched.

    Attributes:
        session: Who recorded it.
        body_digest: Digest of the call's body.
        target: Where it was to go.
        number: The call's position in its program.
        answer: The recorded outcome, None while it may have run.
        closed: Whether the target vouched that it never runs.
    """

    session: SessionId
    body_digest: bytes
    target: TargetId
    number: int
    answer: KeptAnswer | None = None
    closed: bool = False


@dataclass(slots=True)
class LedgerProgram:
    """A top-level program, as the log has it.

    Attributes:
        account: Who pays.
        program_class: Its class, for rules.
        partition: Where it belongs.
        opened_ms: When it was opened or its id issued, whichever is
            later; milliseconds since 1970.
        drawn: What its owners may have spent.
        ended: Why it ended, empty while open.
        intent_by_key: Its non-idempotent calls.
    """

    account: AccountId
    program_class: str
    partition: PartitionId
    opened_ms: int
    drawn: Spend = Spend()
    ended: str = ""
    intent_by_key: dict[IdempotencyKey, Intent] = field(default_factory=dict)


def dump_program(name: ProgramId, program: LedgerProgram) -> list[object]:
    """Returns a program as lists, strings, numbers and bytes."""
    intents = [
        _dump_intent(key, intent)
        for key, intent in program.intent_by_key.items()
    ]
    drawn = program.drawn
    return [
        name,
        program.account,
        program.program_class,
        program.partition,
        program.opened_ms,
        [drawn.tokens, drawn.calls, drawn.money_micros],
        program.ended,
        intents,
    ]


def _dump_intent(key: IdempotencyKey, intent: Intent) -> list[object]:
    answer = intent.answer
    kept = answer and [
        answer.status,
        answer.content_type,
        answer.body,
        answer.whole,
    ]
    return [
        key,
        intent.session,
        intent.body_digest,
        intent.target,
        intent.number,
        kept,
        intent.closed,
    ]


def load_program(item: Any) -> tuple[ProgramId, LedgerProgram]:
    """Returns a program's name and the program from its dump."""
    name, account, program_class, partition, opened_ms, *rest = item
    drawn, ended, intents = rest
    program = LedgerProgram(
        account=account,
        program_class=program_class,
        partition=partition,
        opened_ms=opened_ms,
        drawn=Spend(*drawn),
        ended=ended,
        intent_by_key=dict(_load_intent(intent) for intent in intents),
    )
    return name, program


def _load_intent(item: Any) -> tuple[IdempotencyKey, Intent]:
    key, session, digest, target, number, kept, closed = item
    answer = None if kept is None else KeptAnswer(*kept)
    return key, Intent(session, digest, target, number, answer, closed)
