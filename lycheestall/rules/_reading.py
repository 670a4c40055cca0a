"""Turns the parse tree of one rule line into a typed rule."""

from __future__ import annotations

from collections.abc import Callable
from decimal import Decimal
from typing import TypeAlias

from lark import Token, Tree

from .._time_zones import load_time_zone
from . import text
from .printing import DAY_NAMES, MS_BY_UNIT
from .text import Money, Scope, Statement, TargetScope

__all__ = ["MAX_AMOUNT", "RuleValueError", "read_statement"]

MAX_AMOUNT = 10**15
_MAX_DECIMALS = 6
_MICROS = 1_000_000
_SIZE_BY_SUFFIX = {"k": 1_000, "M": 1_000_000}
_MINUTES_PER_HOUR = 60
_HOURS_PER_DAY = 24

Node: TypeAlias = "Tree[Token]"


class RuleValueError(Exception):
    """A word that is well formed but whose value cannot be used.

    Attributes:
        token: The word.
        expected: What would be right.
    """

    def __init__(self, token: Token, expected: str) -> None:
        super().__init__(expected)
        self.token = token
        self.expected = expected


def _trees(node: Node, name: str) -> list[Node]:
    return list(node.find_data(name))


def _tokens(node: Node, name: str) -> list[Token]:
    found: list[Token] = []
    for child in node.children:
        if isinstance(child, Token) and child.type == name:
            found.append(child)
    return found


def _only(node: Node, name: str) -> Token:
    return _tokens(node, name)[0]


def _name(node: Node, part: str) -> str:
    trees = _trees(node, part)
    return str(_only(trees[0], "NAME")) if trees else ""


def _scope(node: Node) -> Scope:
    return Scope(
        account=_name(node, "account"),
        program_class=_name(node, "program_class"),
        application=_name(node, "application"),
    )


def _targets(node: Node) -> TargetScope:
    return TargetScope(_name(node, "target"), _name(node, "group"))


def _scaled(token: Token, *, unit: int = 1, least: int = 0) -> int:
    size = _SIZE_BY_SUFFIX.get(token[-1], 1)
    value = _decimal(token, token.rstrip("kM")) * size * unit
    if value != int(value):
        raise RuleValueError(token, "a number without that many decimals")
    if not least <= value <= MAX_AMOUNT:
        raise RuleValueError(token, f"a number from {least} to {MAX_AMOUNT}")
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
    return Money(_scaled(number, unit=_MICROS), str(currency))


class _Amounts:
    """The amounts of a budget or rate, each unit at most once."""

    def __init__(self, node: Node) -> None:
        self.tokens: int | None = None
        self.calls: int | None = None
        self.money: Money | None = None
        seen: set[str] = set()
        for amount in _trees(node, "amount"):
            number = _only(amount, "NUMBER")
            unit = _trees(amount, "unit")[0].children[0]
            assert isinstance(unit, Token)
            if unit.type in seen:
                raise RuleValueError(unit, "each unit once")
            seen.add(unit.type)
            if unit.type == "TOKENS":
                self.tokens = _scaled(number)
            elif unit.type == "CALLS":
                self.calls = _scaled(number)
            else:
                self.money = _money(number, unit)


def _budget(node: Node) -> Statement:
    amounts = _Amounts(node)
    return text.BudgetRule(
        _scope(node), amounts.tokens, amounts.calls, amounts.money
    )


def _rate(node: Node) -> Statement:
    amounts = _Amounts(node)
    per_ms = _duration(_only(node, "DURATION"))
    return text.RateRule(
        _scope(node), per_ms, amounts.tokens, amounts.calls, amounts.money
    )


def _weight(node: Node) -> Statement:
    token = _only(node, "NUMBER")
    value = _decimal(token, token.rstrip("kM"))
    value *= _SIZE_BY_SUFFIX.get(token[-1], 1)
    if not 0 < value <= MAX_AMOUNT:
        raise RuleValueError(token, f"a number over 0, at most {MAX_AMOUNT}")
    return text.WeightRule(_scope(node), value)


def _priority(node: Node) -> Statement:
    return text.PriorityRule(_scope(node), _scaled(_only(node, "NUMBER")))


def _concurrency(node: Node) -> Statement:
    return text.ConcurrencyRule(_scope(node), _scaled(_only(node, "NUMBER")))


def _turn_limit(node: Node) -> Statement:
    return text.TurnLimitRule(_scope(node), _scaled(_only(node, "NUMBER")))


def _time_limit(node: Node) -> Statement:
    return text.TimeLimitRule(_scope(node), _duration(_only(node, "DURATION")))


def _retry_limit(node: Node) -> Statement:
    attempts = _scaled(_only(node, "NUMBER"), least=1)
    return text.RetryLimitRule(_scope(node), attempts)


def _operation(node: Node) -> Statement:
    price: Money | None = None
    for tree in _trees(node, "price"):
        price = _money(_only(tree, "NUMBER"), _only(tree, "CURRENCY"))
    safety = _trees(node, "safety")[0]
    return text.OperationRule(
        _name(node, "application"),
        str(_only(node, "METHOD")),
        str(_only(node, "PATH")),
        bool(_tokens(safety, "IDEMPOTENT")),
        price,
    )


def _target_concurrency(node: Node) -> Statement:
    calls = _scaled(_only(node, "NUMBER"))
    return text.TargetConcurrencyRule(_targets(node), calls)


def _fencing(node: Node) -> Statement:
    check = _trees(node, "fencing_check")[0]
    return text.FencingRule(_targets(node), bool(_tokens(check, "CHECKS")))


def _quiet_window(node: Node) -> Statement:
    start, end = _tokens(node, "CLOCK")
    zone = _only(node, "ZONE")
    if load_time_zone(str(zone)) is None:
        raise RuleValueError(zone, "a time zone such as Asia/Kolkata")
    days: list[int] = []
    for tree in _trees(node, "days"):
        for day in _tokens(tree, "DAY"):
            if DAY_NAMES.index(day) in days:
                raise RuleValueError(day, "each day once")
            days.append(DAY_NAMES.index(day))
    return text.WindowRule(
        _targets(node), _clock(start), _clock(end), str(zone), tuple(days)
    )


def _quiet_load(node: Node) -> Statement:
    percent = _percent(_only(node, "PERCENT"))
    return text.LoadLimitRule(_targets(node), percent)


def _quiet_errors(node: Node) -> Statement:
    percent = _percent(_only(node, "PERCENT"))
    return text.ErrorLimitRule(_targets(node), percent)


_reader_by_rule: dict[str, Callable[[Node], Statement]] = {
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
    "quiet_window": _quiet_window,
    "quiet_load": _quiet_load,
    "quiet_errors": _quiet_errors,
}


def read_statement(tree: Node) -> Statement:
    """Returns the rule of a line's parse tree.

    Args:
        tree: The tree of the grammar's start symbol.

    Raises:
        RuleValueError: A value is out of range or unknown.
    """
    child = tree.children[0]
    assert isinstance(child, Tree)
    return _reader_by_rule[child.data](child)
