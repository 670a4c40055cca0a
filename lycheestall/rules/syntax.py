"""The typed syntax tree of the rules language.

``rules.parser`` parses it and ``rules.printing`` prints it;
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
    """Which programs or calls a rule applies to; empty fields match all.

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
    """Which targets a rule applies to; both empty means every target."""

    target: str = ""
    group: str = ""


@dataclass(frozen=True, slots=True)
class Money:
    """An amount of money, in millionths of a currency unit."""

    micros: int
    currency: str


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """What one program with its sub-agents may use; None if not set."""

    scope: Scope
    tokens: int | None = None
    calls: int | None = None
    money: Money | None = None


@dataclass(frozen=True, slots=True)
class WeightRule:
    """The fair share weight of programs, greater than 0."""

    scope: Scope
    weight: Decimal


@dataclass(frozen=True, slots=True)
class PriorityRule:
    """The strict priority of programs; lower is scheduled first."""

    scope: Scope
    priority: int


@dataclass(frozen=True, slots=True)
class ConcurrencyRule:
    """The maximum number of an account's calls in flight."""

    scope: Scope
    calls: int


@dataclass(frozen=True, slots=True)
class RateRule:
    """What an account may use per time window.

    Exactly one of tokens, calls and money is set.

    Attributes:
        scope: An account, or every account.
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
    """The maximum number of turns of a program."""

    scope: Scope
    turns: int


@dataclass(frozen=True, slots=True)
class TimeLimitRule:
    """The maximum duration of a program, in milliseconds."""

    scope: Scope
    limit_ms: int


@dataclass(frozen=True, slots=True)
class RetryLimitRule:
    """The maximum attempts of a safe call, including the first."""

    scope: Scope
    attempts: int


@dataclass(frozen=True, slots=True)
class OperationRule:
    """The idempotence and price of an application's operation.

    Attributes:
        application: The application group; empty means all.
        method: An HTTP method, or ``*``.
        path: A path; a trailing ``*`` matches any suffix.
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
    """The maximum number of concurrent calls to a target, over all VMs."""

    scope: TargetScope
    calls: int


@dataclass(frozen=True, slots=True)
class FencingRule:
    """Whether targets reject orders with stale fencing numbers."""

    scope: TargetScope
    checks: bool


@dataclass(frozen=True, slots=True)
class ExclusionWindowRule:
    """Excludes targets from new work in a daily time window.

    Attributes:
        scope: Which targets.
        start: Minute of the local day at which the window begins.
        end: Minute at which it ends; on the next day unless it is after
            ``start``.
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
    """Excludes targets from new work above a load, in percent."""

    scope: TargetScope
    percent: Decimal


@dataclass(frozen=True, slots=True)
class ErrorExclusionRule:
    """Excludes targets from new work above an error rate, in percent."""

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
        statement: The parsed statement.
        member: Who requested the rule, from its comment.
    """

    number: int
    statement: Statement
    member: str


@dataclass(frozen=True, slots=True)
class CommentLine:
    """A line that contains only a comment."""

    number: int
    text: str


@dataclass(frozen=True, slots=True)
class RuleFile:
    """A rule file; lines that are neither rule nor comment are blank."""

    rules: tuple[Rule, ...] = ()
    comment_lines: tuple[CommentLine, ...] = ()
