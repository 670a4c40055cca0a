"""Converts the parse tree of one rule line into a typed statement."""

from __future__ import annotations

from collections.abc import Callable
from decimal import Decimal
from typing import TypeAlias

from lark import Token, Tree

from .._time_zones import load_time_zone
from . import syntax
from .printing import DAY_NAMES, MS_BY_UNIT
from .syntax import Money, Scope, Statement, TargetScope

__all__ = ["MAX_AMOUNT", "RuleValueError", "build_statement"]

MAX_AMOUNT = 10**15
_MAX_DECIMALS = 6
_MICROS = 1_000_000
_SIZE_BY_SUFFIX = {"k": 1_000, "M": 1_000_000}
_MINUTES_PER_HOUR = 60
_HOURS_PER_DAY = 24

Node: TypeAlias = "Tree[Token]"


class RuleValueError(Exception):
    """A token that is well formed but has an invalid value.

    Attributes:
        token: The token.
        expected: Description of the valid values.
    """

    def __init__(self, token: Token, expected: str) -> None:
        super().__init__(expected)
        self.token = token
        self.expected = expected


def _subtrees(node: Node, name: str) -> list[Node]:
    return list(node.find_data(name))


def _child_tokens(node: Node, name: str) -> list[Token]:
    found: list[Token] = []
    for child in node.children:
        if isinstance(child, Token) and child.type == name:
            found.append(child)
    return found


def _child_token(node: Node, name: str) -> Token:
    return _child_tokens(node, name)[0]


def _name(node: Node, part: str) -> str:
    trees = _subtrees(node, part)
    return str(_child_token(trees[0], "NAME")) if trees else ""


def _scope(node: Node) -> Scope:
    return Scope(
        account=_name(node, "account"),
        program_class=_name(node, "program_class"),
        application=_name(node, "application"),
    )


def _targets(node: Node) -> TargetScope:
    return TargetScope(_name(node, "target"), _name(node, "group"))


def _integer(token: Token, *, unit: int = 1, minimum: int = 0) -> int:
    size = _SIZE_BY_SUFFIX.get(token[-1], 1)
    value = _decimal(token, token.rstrip("kM")) * size * unit
    if value != int(value):
        raise RuleValueError(token, "a number without that many decimals")
    if not minimum <= value <= MAX_AMOUNT:
        raise RuleValueError(token, f"a number from {minimum} to {MAX_AMOUNT}")
    return int(value)


def _duration(token: Token) -> int:
    digits = token.rstrip("msdh")
    unit = token[len(digits) :]
    value = _decimal(token, digits) * MS_BY_UNIT[unit]
    if value != int(value) or not 1 <= value <= MAX_AMOUNT:
        raise RuleValueError(token, "a duration of whole milliseconds")
    return int(value)


def _decimal(token: Token, digits: str) -> Decimal:
    if len(digits.partition(".")[2]) > _MAX_DECIMALS:
        expected = f"a number with at most {_MAX_DECIMALS} decimals"
        raise RuleValueError(token, expected)
    return Decimal(digits)


def _percent(token: Token) -> Decimal:
    value = _decimal(token, token.rstrip("%"))
    if not 0 <= value <= 100:
        raise RuleValueError(token, "0% to 100%")
    return value


def _clock(token: Token) -> int:
    hour, minute = int(token[:2]), int(token[3:])
    if hour >= _HOURS_PER_DAY or minute >= _MINUTES_PER_HOUR:
        raise RuleValueError(token, "a time from 00:00 to 23:59")
    return hour * _MINUTES_PER_HOUR + minute


def _money(number: Token, currency: Token) -> Money:
    return Money(_integer(number, unit=_MICROS), str(currency))


class _Amounts:
    """The amounts of a budget or rate; each unit may occur only once."""

    def __init__(self, node: Node) -> None:
        self.tokens: int | None = None
        self.calls: int | None = None
        self.money: Money | None = None
        seen: set[str] = set()
        for amount in _subtrees(node, "amount"):
            number = _child_token(amount, "NUMBER")
            unit = _subtrees(amount, "unit")[0].children[0]
            assert isinstance(unit, Token)
            if unit.type in seen:
                raise RuleValueError(unit, "each unit once")
            seen.add(unit.type)
            if unit.type == "TOKENS":
                self.tokens = _integer(number)
            elif unit.type == "CALLS":
                self.calls = _integer(number)
            else:
                self.money = _money(number, unit)


def _budget(node: Node) -> Statement:
    amounts = _Amounts(node)
    return syntax.BudgetRule(
        _scope(node), amounts.tokens, amounts.calls, amounts.money
    )


def _rate(node: Node) -> Statement:
    amounts = _Amounts(node)
    per_ms = _duration(_child_token(node, "DURATION"))
    return syntax.RateRule(
        _scope(node), per_ms, amounts.tokens, amounts.calls, amounts.money
    )


def _weight(node: Node) -> Statement:
    token = _child_token(node, "NUMBER")
    value = _decimal(token, token.rstrip("kM"))
    value *= _SIZE_BY_SUFFIX.get(token[-1], 1)
    if not 0 < value <= MAX_AMOUNT:
        raise RuleValueError(token, f"a number over 0, at most {MAX_AMOUNT}")
    return syntax.WeightRule(_scope(node), value)


def _priority(node: Node) -> Statement:
    return syntax.PriorityRule(
        _scope(node), _integer(_child_token(node, "NUMBER"))
    )


def _concurrency(node: Node) -> Statement:
    return syntax.ConcurrencyRule(
        _scope(node), _integer(_child_token(node, "NUMBER"))
    )


def _turn_limit(node: Node) -> Statement:
    return syntax.TurnLimitRule(
        _scope(node), _integer(_child_token(node, "NUMBER"))
    )


def _time_limit(node: Node) -> Statement:
    return syntax.TimeLimitRule(
        _scope(node), _duration(_child_token(node, "DURATION"))
    )


def _retry_limit(node: Node) -> Statement:
    attempts = _integer(_child_token(node, "NUMBER"), minimum=1)
    return syntax.RetryLimitRule(_scope(node), attempts)


def _operation(node: Node) -> Statement:
    price: Money | None = None
    for tree in _subtrees(node, "price"):
        price = _money(
            _child_token(tree, "NUMBER"), _child_token(tree, "CURRENCY")
        )
    safety = _subtrees(node, "safety")[0]
    return syntax.OperationRule(
        _name(node, "application"),
        str(_child_token(node, "METHOD")),
        str(_child_token(node, "PATH")),
        bool(_child_tokens(safety, "IDEMPOTENT")),
        price,
    )


def _target_concurrency(node: Node) -> Statement:
    calls = _integer(_child_token(node, "NUMBER"))
    return syntax.TargetConcurrencyRule(_targets(node), calls)


def _fencing(node: Node) -> Statement:
    check = _subtrees(node, "fencing_check")[0]
    return syntax.FencingRule(
        _targets(node), bool(_child_tokens(check, "CHECKS"))
    )


def _exclusion_window(node: Node) -> Statement:
    start, end = _child_tokens(node, "CLOCK")
    zone = _child_token(node, "ZONE")
    if load_time_zone(str(zone)) is None:
        raise RuleValueError(zone, "a time zone such as Asia/Kolkata")
    days: list[int] = []
    for tree in _subtrees(node, "days"):
        for day in _child_tokens(tree, "DAY"):
            if DAY_NAMES.index(day) in days:
                raise RuleValueError(day, "each day once")
            days.append(DAY_NAMES.index(day))
    return syntax.ExclusionWindowRule(
        _targets(node), _clock(start), _clock(end), str(zone), tuple(days)
    )


def _load_exclusion(node: Node) -> Statement:
    percent = _percent(_child_token(node, "PERCENT"))
    return syntax.LoadExclusionRule(_targets(node), percent)


def _error_exclusion(node: Node) -> Statement:
    percent = _percent(_child_token(node, "PERCENT"))
    return syntax.ErrorExclusionRule(_targets(node), percent)


_builder_by_rule: dict[str, Callable[[Node], Statement]] = {
    "budget": _budget,
    "weight": _weight,
    "priority": _priority,
    "concurrency": _concurrency,
    "rate": _rate,
    "turn_limit": _turn_limit,
    "time_limit": _time_limit,
    "retry_limit": _retry_limit,
    "operation": _operation,
    "target_concurrency": _target_concurrency,
    "fencing": _fencing,
    "quiet_window": _exclusion_window,
    "quiet_load": _load_exclusion,
    "quiet_errors": _error_exclusion,
}


def build_statement(tree: Node) -> Statement:
    """Returns the statement for the parse tree of a rule line.

    Args:
        tree: The parse tree rooted at the grammar's start symbol.

    Raises:
        RuleValueError: A value is out of range or unknown.
    """
    child = tree.children[0]
    assert isinstance(child, Tree)
    return _builder_by_rule[child.data](child)
