"""The ledger's state of one program."""

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
    "LedgerProgram",
    "RecordedAnswer",
    "Spend",
    "dump_program",
    "load_program",
]


@dataclass(frozen=True, slots=True)
class Spend:
    """Amounts that a program's budget limits.

    Attributes:
        tokens: Prompt and answer tokens.
        calls: Calls of any kind.
        money_micros: Money in millionths of the currency unit.
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
        """Returns the difference, which may be negative."""
        return Spend(
            self.tokens - other.tokens,
            self.calls - other.calls,
            self.money_micros - other.money_micros,
        )

    def max_with(self, other: Spend) -> Spend:
        """Returns the maximum of each field."""
        return Spend(
            max(self.tokens, other.tokens),
            max(self.calls, other.calls),
            max(self.money_micros, other.money_micros),
        )

    def within(self, other: Spend) -> bool:
        """Returns whether no field exceeds the other's."""
        return self.max_with(other) == other


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of a non-idempotent call, as recorded in the log."""

    status: int
    content_type: str
    body: bytes
    whole: bool


@dataclass(slots=True)
class Intent:
    """A non-idempotent call, recorded before it is dispatched.

    Attributes:
        session: The session that recorded it.
        body_digest: Digest of the call's body.
        target: The target that it is dispatched to.
        number: The call's position in its program.
        answer: The recorded outcome; None while the call may have run.
        closed: Whether the target confirmed that it will never run it.
    """

    session: SessionId
    body_digest: bytes
    target: TargetId
    number: int
    answer: RecordedAnswer | None = None
    closed: bool = False


@dataclass(slots=True)
class LedgerProgram:
    """A top-level program, as recorded in the log.

    Attributes:
        account: The program's client account.
        program_class: Its class, for rules.
        partition: The partition that it belongs to.
        opened_ms: When it was opened or its id issued, whichever is
            later; milliseconds since 1970.
        drawn: What its owners may have spent.
        ended: Why it ended; empty while it is open.
        intent_by_key: Its non-idempotent calls by idempotency key.
    """

    account: AccountId
    program_class: str
    partition: PartitionId
    opened_ms: int
    drawn: Spend = Spend()
    ended: str = ""
    intent_by_key: dict[IdempotencyKey, Intent] = field(default_factory=dict)


def dump_program(name: ProgramId, program: LedgerProgram) -> list[object]:
    """Returns a program as serializable values."""
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
    recorded = answer and [
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
        recorded,
        intent.closed,
    ]


def load_program(item: Any) -> tuple[ProgramId, LedgerProgram]:
    """Returns a program's ledger id and the program from its dump."""
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
    key, session, digest, target, number, recorded, closed = item
    answer = None if recorded is None else RecordedAnswer(*recorded)
    return key, Intent(session, digest, target, number, answer, closed)
