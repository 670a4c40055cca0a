"""Tests of parsing and printing the rules language."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import find, given, settings
from hypothesis import strategies as st
from rule_strategies import rule_files

from lycheestall.rules import printing
from lycheestall.rules.parser import RuleError, parse_rules
from lycheestall.rules.printing import print_rules
from lycheestall.rules.syntax import RuleFile

EXAMPLES = Path(__file__).parent.parent / "examples"
VOCABULARY = (
    "budget of everyone is 20k tokens class account kutch application x "
    "weight priority concurrency rate per 1m leave target group alone from "
    "22:00 to 06:00 Asia/Kolkata on mon , # above 90% load errors operation "
    "POST /orders non-idempotent and costs 12.50 EUR checks fencing numbers "
    "turn time retry limit attempts ../.. 99:99 1.5 Europe/ 0.0000001 kM"
)
WORDS = VOCABULARY.split()

INVALID_LINES = [
    ("budget of everyone is 20k tokns # a", 27, "'tokns'"),
    ("turn limit of everyone is 5 turns", 34, "the end of the line"),
    ("turn limit of everyone is 5 turns #  ", 35, "'#'"),
    ("rate of everyone is 5 calls pre 1m # a", 29, "'pre'"),
    ("leave target x alone from 25:00 to 03:00 UTC # a", 27, "'25:00'"),
    ("leave target x alone from 22:00 to 03:00 # a", 42, "'#'"),
    ("leave target x alone from 22:00 to 03:00 Mars # a", 42, "'Mars'"),
    ("leave group x alone above 101% load # a", 27, "'101%'"),
    ("budget of everyone is 5 EUR, 6 EUR # a", 32, "'EUR'"),
    ("weight of class a is 0 # a", 22, "'0'"),
    ("operation post /x of application a is idempotent # a", 11, "'post'"),
    ("retry limit of everyone is 0 attempts # a", 28, "'0'"),
    ("budget of everyone is 0.0000001 EUR # a", 23, "'0.0000001'"),
    ("budget of everyone is 1.5 calls # a", 23, "'1.5'"),
    ("time limit of everyone is 20 # a", 27, "'20'"),
]


@pytest.mark.parametrize(("line", "column", "found"), INVALID_LINES)
def test_error_has_the_position_of_the_cause(
    line: str, column: int, found: str
) -> None:
    errors = parse_rules(f"\n{line}\n", file="f")
    assert isinstance(errors, tuple)
    positions = [(error.line, error.column, error.found) for error in errors]
    assert positions == [(2, column, found)]
    assert errors[0].expected


def test_all_errors_are_reported_at_once() -> None:
    text = "\n".join(line for line, _, _ in INVALID_LINES)
    errors = parse_rules(text, file="f")
    assert isinstance(errors, tuple)
    assert [error.line for error in errors] == list(
        range(1, len(INVALID_LINES) + 1)
    )


def test_second_currency_is_an_error() -> None:
    text = "budget of everyone is 5 EUR # a\nbudget of class c is 5 USD # a"
    assert parse_rules(text, file="f") == (
        RuleError("f", 2, 24, "'USD'", "EUR, as on line 1"),
    )


def test_incomplete_rule_without_comment_has_both_errors() -> None:
    errors = parse_rules("weight of everyone", file="f")
    assert isinstance(errors, tuple)
    assert len(errors) == 2


@pytest.mark.parametrize("name", ["snowline", "bronze"])
def test_example_file_survives_printing_and_parsing(name: str) -> None:
    text = (EXAMPLES / f"{name}.rules").read_text()
    file = parse_rules(text, file=name)
    assert isinstance(file, RuleFile)
    assert len(file.rules) >= 20
    assert parse_rules(print_rules(file), file=name) == file


@settings(max_examples=300)
@given(file=rule_files())
def test_parsing_printed_rules_returns_an_equal_file(file: RuleFile) -> None:
    assert parse_rules(print_rules(file), file="f") == file


def test_rounding_printer_fails_the_round_trip(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    printing.print_statement.cache_clear()
    monkeypatch.setattr(printing, "_decimal", lambda v: f"{v:.0f}")
    try:
        lossy = find(
            rule_files(),
            lambda file: parse_rules(print_rules(file), file="f") != file,
        )
    finally:
        printing.print_statement.cache_clear()
    assert lossy.rules


@settings(max_examples=300)
@given(
    text=st.text(max_size=80)
    | st.lists(st.sampled_from(WORDS), max_size=14).map(" ".join)
    | st.lists(st.sampled_from([*WORDS, "\n"])).map("".join)
)
def test_parser_raises_nothing(text: str) -> None:
    found = parse_rules(text, file="f")
    if isinstance(found, RuleFile):
        assert parse_rules(print_rules(found), file="f") == found
        return
    assert found
    lines = text.split("\n")
    for error in found:
        assert 1 <= error.line <= len(lines)
        assert 1 <= error.column <= len(lines[error.line - 1]) + 2
        assert error.found and error.expected
