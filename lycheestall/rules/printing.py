"""Formats rules in the rules language.

Parsing the printed text of a file returns an equal file.
"""

from __future__ import annotations

from decimal import Decimal
from functools import lru_cache

from . import syntax
from .syntax import Money, RuleFile, Scope, Statement, TargetScope

__all__ = ["DAY_NAMES", "MS_BY_UNIT", "print_rules", "print_statement"]

DAY_NAMES = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MS_BY_UNIT = {
    "d": 86_400_000,
    "h": 3_600_000,
    "m": 60_000,
    "s": 1_000,
    "ms": 1,
}
_CACHE_ENTRIES = 65_536
_MICROS = 1_000_000
_MINUTES_PER_HOUR = 60


def _count(value: int) -> str:
    if value and value % 1_000_000 == 0:
        return f"{value // 1_000_000}M"
    if value and value % 1_000 == 0:
        return f"{value // 1_000}k"
    return str(value)


def _quantity(value: int, noun: str) -> str:
    return f"{_count(value)} {noun}" + ("" if value == 1 else "s")


def _duration(value_ms: int) -> str:
    for unit, size in MS_BY_UNIT.items():
        if value_ms % size == 0:
            return f"{value_ms // size}{unit}"
    return f"{value_ms}ms"


def _money(money: Money) -> str:
    whole, part = divmod(money.micros, _MICROS)
    decimals = f"{part:06d}".rstrip("0").ljust(2, "0")
    return f"{whole}.{decimals} {money.currency}"


def _decimal(value: Decimal) -> str:
    return f"{value.normalize():f}"


def _clock(minute: int) -> str:
    hour, rest = divmod(minute, _MINUTES_PER_HOUR)
    return f"{hour:02d}:{rest:02d}"


def _scope(scope: Scope) -> str:
    parts: list[str] = []
    if scope.account:
        parts.append(f"account {scope.account}")
    if scope.program_class:
        parts.append(f"class {scope.program_class}")
    if scope.application:
        parts.append(f"application {scope.application}")
    return " ".join(parts) or "everyone"


def _targets(scope: TargetScope) -> str:
    if scope.target:
        return f"target {scope.target}"
    if scope.group:
        return f"group {scope.group}"
    return "every target"


def _amounts(rule: syntax.BudgetRule | syntax.RateRule) -> str:
    parts: list[str] = []
    if rule.tokens is not None:
        parts.append(_quantity(rule.tokens, "token"))
    if rule.calls is not None:
        parts.append(_quantity(rule.calls, "call"))
    if rule.money is not None:
        parts.append(_money(rule.money))
    return ", ".join(parts)


def _operation(rule: syntax.OperationRule) -> str:
    application = "every application"
    if rule.application:
        application = f"application {rule.application}"
    safety = "idempotent" if rule.idempotent else "non-idempotent"
    price = f" and costs {_money(rule.price)}" if rule.price else ""
    return (
        f"operation {rule.method} {rule.path} of {application} "
        f"is {safety}{price}"
    )


def _window(rule: syntax.ExclusionWindowRule) -> str:
    days = ", ".join(DAY_NAMES[day] for day in rule.days)
    return (
        f"leave {_targets(rule.scope)} alone from {_clock(rule.start)} "
        f"to {_clock(rule.end)} {rule.zone}{' on ' + days if days else ''}"
    )


@lru_cache(maxsize=_CACHE_ENTRIES)
def print_statement(rule: Statement) -> str:
    """Returns a statement in the rules language, without its comment.

    Args:
        rule: The statement.
    """
    match rule:
        case syntax.BudgetRule(scope):
            return f"budget of {_scope(scope)} is {_amounts(rule)}"
        case syntax.WeightRule(scope, weight):
            return f"weight of {_scope(scope)} is {_decimal(weight)}"
        case syntax.PriorityRule(scope, priority):
            return f"priority of {_scope(scope)} is {_count(priority)}"
        case syntax.ConcurrencyRule(scope, calls):
            limit = _quantity(calls, "call")
            return f"concurrency of {_scope(scope)} is {limit}"
        case syntax.RateRule(scope, per_ms):
            per = _duration(per_ms)
            return f"rate of {_scope(scope)} is {_amounts(rule)} per {per}"
        case syntax.TurnLimitRule(scope, turns):
            limit = _quantity(turns, "turn")
            return f"turn limit of {_scope(scope)} is {limit}"
        case syntax.TimeLimitRule(scope, limit_ms):
            return f"time limit of {_scope(scope)} is {_duration(limit_ms)}"
        case syntax.RetryLimitRule(scope, attempts):
            limit = _quantity(attempts, "attempt")
            return f"retry limit of {_scope(scope)} is {limit}"
        case syntax.OperationRule():
            return _operation(rule)
        case syntax.ExclusionWindowRule():
            return _window(rule)
        case _:
            return _print_target_rule(rule)


def _print_target_rule(
    rule: syntax.TargetConcurrencyRule
    | syntax.FencingRule
    | syntax.LoadExclusionRule
    | syntax.ErrorExclusionRule,
) -> str:
    targets = _targets(rule.scope)
    match rule:
        case syntax.TargetConcurrencyRule(calls=calls):
            return f"concurrency of {targets} is {_quantity(calls, 'call')}"
        case syntax.FencingRule(checks=checks):
            verb = "checks" if checks else "ignores"
            return f"{targets} {verb} fencing numbers"
        case syntax.LoadExclusionRule(percent=percent):
            return f"leave {targets} alone above {_decimal(percent)}% load"
        case syntax.ErrorExclusionRule(percent=percent):
            return f"leave {targets} alone above {_decimal(percent)}% errors"


def print_rules(file: RuleFile) -> str:
    """Returns a rule file's text, with each rule at its line number.

    Args:
        file: Rules and comment lines with distinct line numbers.
    """
    text_by_number: dict[int, str] = {}
    for rule in file.rules:
        statement = print_statement(rule.statement)
        text_by_number[rule.number] = f"{statement} # {rule.member}"
    for comment_line in file.comment_lines:
        text_by_number[comment_line.number] = f"# {comment_line.text}".rstrip()
    last = max(text_by_number, default=0)
    lines = [text_by_number.get(number, "") for number in range(1, last + 1)]
    return "".join(f"{line}\n" for line in lines)
