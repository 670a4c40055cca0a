"""Typed rules, as the rules language says them.

``rules.parser`` reads them and ``rules.printing`` writes them;
``docs/RULES.md`` describes the language for operators.
"""

from __future__ import annotations

from dataclasses import dataclass
from decimal import Decimal
from typing import TypeAlias

__all__ = [
    "BudgetRule",
    "ConcurrencyRule",
    "ErrorExclusionRule",
    "FencingRule",
    "LoadExclusionRule",
    "Money",
    "OperationRule",
    "PriorityRule",
    "RateRule",
    "CommentLine",
    "RetryLimitRule",
    "Rule",
    "RuleFile",
    "Scope",
    "Statement",
    "TargetConcurrencyRule",
    "TargetScope",
    "TimeLimitRule",
    "TurnLimitRule",
    "WeightRule",
    "ExclusionWindowRule",
]


@dataclass(frozen=True, slots=True)
class Scope:
    """Whose programs or calls a rule is about; empty parts match all.

    Attributes:
        account: An account's name.
        program_class: A program class.
        application: An application group.
    """

    account: str = ""
    program_class: str = ""
    application: str = ""


@dataclass(frozen=True, slots=True)
class TargetScope:
    """Which targets a rule is about; both empty means every target."""

    target: str = ""
    group: str = ""


@dataclass(frozen=True, slots=True)
class Money:
    """An amount of money, in millionths of a currency's unit."""

    micros: int
    currency: str


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """What one program with its sub-agents may use; None: not said."""

    scope: Scope
    tokens: int | None = None
    calls: int | None = None
    money: Money | None = None


@dataclass(frozen=True, slots=True)
class WeightRule:
    """The fair share weight of programs, over 0."""

    scope: Scope
    weight: Decimal


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """The strict priority of programs; lower goes first."""

    scope: Scope
    priority: int


@dataclass(frozen=True, slots=True)
class ConcurrencyRule:
    """The most calls of an account in flight at once."""

    scope: Scope
    calls: int


@dataclass(frozen=True, slots=True)
class RateRule:
    """What an account may use per window; one of the three is set.

    Attributes:
        scope: An account, or each account.
        per_ms: The window's length in milliseconds.
        tokens: Tokens per window.
        calls: Calls per window.
        money: Money per window.
    """

    scope: Scope
    per_ms: int
    tokens: int | None = None
    calls: int | None = None
    money: Money | None = None


@dataclass(frozen=True, slots=True)
class TurnLimitRule:
    """The most turns of a program."""

    scope: Scope
    turns: int


@dataclass(frozen=True, slots=True)
class TimeLimitRule:
    """The longest a program may last, in milliseconds."""

    scope: Scope
    limit_ms: int


@dataclass(frozen=True, slots=True)
class RetryLimitRule:
    """How often a safe call may be tried, the first time included."""

    scope: Scope
    attempts: int


@dataclass(frozen=True, slots=True)
class OperationRule:
    """How an application's operation is treated.

    Attributes:
        application: The application group; empty means every one.
        method: An HTTP method, or ``*``.
        path: A path; a final ``*`` matches any rest.
        idempotent: Whether calls may run more than once.
        price: What one call costs, None when free.
    """

    application: str
    method: str
    path: str
    idempotent: bool
    price: Money | None = None


@dataclass(frozen=True, slots=True)
class TargetConcurrencyRule:
    """The most calls at once on a target, over all VMs."""

    scope: TargetScope
    calls: int


@dataclass(frozen=True, slots=True)
class FencingRule:
    """Whether targets refuse orders with old fencing numbers."""

    scope: TargetScope
    checks: bool


@dataclass(frozen=True, slots=True)
class ExclusionWindowRule:
    """Targets are left alone in a daily window of time.

    Attributes:
        scope: Which targets.
        start: Minute of the local day at which the window begins.
        end: Minute at which it ends; not after ``start`` means the day
            after.
        zone: The time zone's name.
        days: Weekdays on which the window begins, Monday is 0; empty
            means every day.
    """

    scope: TargetScope
    start: int
    end: int
    zone: str
    days: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadExclusionRule:
    """Targets are left alone above a load, in percent."""

    scope: TargetScope
    percent: Decimal


@dataclass(frozen=True, slots=True)
class ErrorExclusionRule:
    """Targets are left alone above a share of errors, in percent."""

    scope: TargetScope
    percent: Decimal


Statement: TypeAlias = (
    BudgetRule
    | WeightRule
    | PriorityRule
    | ConcurrencyRule
    | RateRule
    | TurnLimitRule
    | TimeLimitRule
    | RetryLimitRule
    | OperationRule
    | TargetConcurrencyRule
    | FencingRule
    | ExclusionWindowRule
    | LoadExclusionRule
    | ErrorExclusionRule
)


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule line.

    Attributes:
        number: Its line number, from 1.
        statement: What it says.
        member: Who asked for it, from its comment.
    """

    number: int
    statement: Statement
    member: str


@dataclass(frozen=True, slots=True)
class CommentLine:
    """A line that holds only a comment."""

    number: int
    text: str


@dataclass(frozen=True, slots=True)
class RuleFile:
    """A rule file; lines that are neither rule nor remark are blank."""

    rules: tuple[Rule, ...] = ()
    comment_lines: tuple[CommentLine, ...] = ()
