"""Parses rule files; reports all errors at once, with positions."""

from __future__ import annotations

import unicodedata
from dataclasses import dataclass
from functools import lru_cache
from importlib import resources

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

from ._statement_builder import RuleValueError, build_statement
from .syntax import CommentLine, Rule, RuleFile, Statement

__all__ = [
    "MAX_LINE_CHARS",
    "MAX_RULE_LINES",
    "RULES_FORMAT",
    "RuleError",
    "parse_rules",
]

RULES_FORMAT = 1
"""The newest format of rule text that this release can parse.

Incremented with every change to the set of valid texts, including an
update of the time zone database.
"""

MAX_LINE_CHARS = 1_000
MAX_RULE_LINES = 50_000
MAX_ERRORS = 1_000
_LINE_CACHE_ENTRIES = 65_536

_EXPECTED_BY_TERMINAL = {
    "$END": "'#'",
    "NAME": "a name",
    "NUMBER": "a number such as 20k",
    "DURATION": "a duration such as 30s",
    "PERCENT": "a percentage such as 90%",
    "CLOCK": "a time such as 22:00",
    "ZONE": "a time zone such as Asia/Kolkata",
    "CURRENCY": "a currency such as EUR",
    "METHOD": "a method such as POST",
    "PATH": "a path such as /orders",
    "DAY": "a day such as mon",
}
_LINE_END = "the end of the line"
_MEMBER_EXPECTED = "a comment that names who asked"


@dataclass(frozen=True, slots=True)
class RuleError:
    """An error in a rule file.

    Attributes:
        file: The file's name, as given.
        line: Line number, from 1.
        column: Column, from 1.
        found: The text at this position.
        expected: What would be valid at this position.
    """

    file: str
    line: int
    column: int
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}:{self.column}: "
            f"found {self.found}, expected {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class _LineError:
    column: int
    found: str
    expected: str


@lru_cache(maxsize=1)
def _grammar() -> Lark:
    grammar = resources.files(__package__).joinpath("rules.lark").read_text()
    return Lark(grammar, parser="lalr", lexer="contextual")


def _quoted(found: str) -> str:
    return f"'{found}'" if found else _LINE_END


def _expected(names: set[str]) -> str:
    alternatives: set[str] = set()
    for name in names:
        terminal = name.lstrip("_").lower().replace("_", "-")
        alternatives.add(_EXPECTED_BY_TERMINAL.get(name, f"'{terminal}'"))
    alternatives.discard("'blank'")
    if "'comma'" in alternatives:
        alternatives.discard("'comma'")
        alternatives.add("','")
    return " or ".join(sorted(alternatives))


def _word_at(line: str, start: int) -> str:
    rest = line[start:].split(None, 1)
    return rest[0] if rest else ""


def _unexpected(line: str, error: UnexpectedInput) -> _LineError:
    start = error.pos_in_stream
    if start is None or start < 0:
        start = len(line)
    token = getattr(error, "token", None)
    if isinstance(token, Token) and token.type == "$END":
        start = len(line.rstrip())
    names = getattr(error, "accepts", None) or getattr(error, "expected", None)
    if isinstance(error, UnexpectedCharacters):
        names = error.allowed
    found = _quoted(_word_at(line, start))
    return _LineError(start + 1, found, _expected(set(names or ())))


@lru_cache(maxsize=_LINE_CACHE_ENTRIES)
def _read_line(line: str) -> Statement | _LineError:
    try:
        return build_statement(_grammar().parse(line))
    except UnexpectedInput as error:
        return _unexpected(line, error)
    except RuleValueError as error:
        start = error.token.start_pos or 0
        found = _quoted(str(error.token))
        return _LineError(start + 1, found, error.expected)


def _find_control_character(line: str) -> _LineError | None:
    if line.isprintable():
        return None
    for index, character in enumerate(line):
        category = unicodedata.category(character)
        if character != "\t" and category in ("Cc", "Cs"):
            found = f"control character U+{ord(character):04X}"
            return _LineError(index + 1, found, "printable text")
    return None


@lru_cache(maxsize=_LINE_CACHE_ENTRIES)
def _has_member(member: str) -> bool:
    return any(character.isalnum() for character in member)


def _error_at_end(code: str, hash_sign: str, expected: str) -> _LineError:
    """Returns an error at the ``#`` after a rule or at the line's end."""
    end = len(code) if hash_sign else len(code.rstrip())
    return _LineError(end + 1, _quoted(hash_sign), expected)


class _FileReader:
    """Parses the lines of one file and collects rules and errors."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.rules: list[Rule] = []
        self.comment_lines: list[CommentLine] = []
        self.errors: list[RuleError] = []
        self._currency = ""
        self._currency_line = 0

    def read(self, text: str) -> None:
        for number, raw in enumerate(text.split("\n"), start=1):
            if number > MAX_RULE_LINES:
                limit = _LineError(
                    1, "another line", f"at most {MAX_RULE_LINES} lines"
                )
                self._report(number, limit)
                return
            if len(self.errors) >= MAX_ERRORS:
                return
            self._read(number, raw.removesuffix("\r"))

    def _report(self, number: int, error: _LineError) -> None:
        self.errors.append(
            RuleError(
                self.file, number, error.column, error.found, error.expected
            )
        )

    def _read(self, number: int, line: str) -> None:
        if len(line) > MAX_LINE_CHARS:
            limit = f"at most {MAX_LINE_CHARS} characters a line"
            found = f"{len(line)} characters"
            self._report(number, _LineError(MAX_LINE_CHARS + 1, found, limit))
            return
        bad = _find_control_character(line)
        if bad is not None:
            self._report(number, bad)
            return
        code, hash_sign, comment = line.partition("#")
        member = comment.strip()
        if code.strip():
            self._read_rule(number, code, hash_sign, member)
        elif hash_sign:
            self.comment_lines.append(CommentLine(number, member))

    def _read_rule(
        self, number: int, code: str, hash_sign: str, member: str
    ) -> None:
        statement = _read_line(code)
        has_member = _has_member(member)
        if isinstance(statement, _LineError):
            if statement.found == _LINE_END:
                end = _error_at_end(code, hash_sign, statement.expected)
                self._report(number, end)
            else:
                self._report(number, statement)
        elif self._check_currency(number, code, statement) and has_member:
            self.rules.append(Rule(number, statement, member))
        if not has_member:
            end = _error_at_end(code, hash_sign, _MEMBER_EXPECTED)
            self._report(number, end)

    def _check_currency(
        self, number: int, code: str, statement: Statement
    ) -> bool:
        money = getattr(statement, "money", None)
        money = money or getattr(statement, "price", None)
        if money is None:
            return True
        if not self._currency:
            self._currency = money.currency
            self._currency_line = number
        if money.currency == self._currency:
            return True
        column = code.rfind(money.currency) + 1
        expected = f"{self._currency}, as on line {self._currency_line}"
        found = _quoted(money.currency)
        self._report(number, _LineError(column, found, expected))
        return False


def parse_rules(text: str, *, file: str) -> RuleFile | tuple[RuleError, ...]:
    """Parses a rule file.

    Args:
        text: The file's text.
        file: The file's name, used in errors.

    Returns:
        The rules, or all errors in line order.
    """
    reader = _FileReader(file)
    reader.read(text)
    if reader.errors:
        return tuple(reader.errors)
    return RuleFile(tuple(reader.rules), tuple(reader.comment_lines))
