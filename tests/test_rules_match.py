"""Tests of rule lookup and precedence."""

from __future__ import annotations

from datetime import datetime
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rule_strategies import rule_files

from lycheestall.ids import AccountId, Offset, TargetId
from lycheestall.rules.match import EMPTY_RULES, IndexedRuleSet
from lycheestall.rules.parser import parse_rules
from lycheestall.rules.rule_set import LimitKind
from lycheestall.rules.syntax import RuleFile

A = AccountId("a")
B = AccountId("b")
NOON_MS = 1_750_000_000_000


def rules(*lines: str) -> IndexedRuleSet:
    text = "".join(f"{line} # crew\n" for line in lines)
    file = parse_rules(text, file="f")
    assert isinstance(file, RuleFile), [str(error) for error in file]
    return IndexedRuleSet(file, version=Offset(7))


def test_defaults_apply_where_no_rule_matches() -> None:
    limits = EMPTY_RULES.program_limits(A, "x")
    assert limits.tokens is None and limits.lines == {}
    assert EMPTY_RULES.share(A, "x").weight == 1.0
    assert EMPTY_RULES.account_limits(A) == ()
    assert not EMPTY_RULES.action(TargetId("x"), "POST /x").idempotent
    assert not EMPTY_RULES.action(TargetId("x"), "DELETE /x").idempotent
    assert EMPTY_RULES.action(TargetId("x"), "GET /x").idempotent
    assert EMPTY_RULES.action(TargetId("x"), "HEAD /x").idempotent
    assert not EMPTY_RULES.target(TargetId("t"), "g").checks_fence
    assert EMPTY_RULES.retries(A, "x").line.number == 0


def test_most_specific_budget_wins_field_by_field() -> None:
    matched = rules(
        "budget of account a class x is 1 token",
        "budget of account a is 2 tokens, 20 calls",
        "budget of class x is 3 tokens, 30 calls, 0.3 EUR",
        "budget of everyone is 4 tokens, 40 calls, 0.4 EUR",
    )
    limits = matched.program_limits(A, "x")
    assert (limits.tokens, limits.calls) == (1, 20)
    assert limits.money_micros == 300_000
    numbers = {name: line.number for name, line in limits.lines.items()}
    assert numbers == {"tokens": 1, "calls": 2, "money_micros": 3}
    assert matched.program_limits(B, "x").tokens == 3
    assert matched.program_limits(B, "y").tokens == 4


def test_last_of_equally_specific_rules_wins() -> None:
    matched = rules("weight of class x is 2", "weight of class x is 5")
    share = matched.share(A, "x")
    assert (share.weight, share.line.number) == (5.0, 2)


def test_budget_of_an_application_is_separate_from_the_program_budget() -> (
    None
):
    matched = rules(
        "budget of everyone is 100 calls",
        "budget of application poles is 6 calls",
        "budget of account a application poles is 9 calls",
    )
    assert matched.program_limits(A, "x").calls == 100
    assert matched.program_limits(A, "x", TargetId("poles")).calls == 9
    assert matched.program_limits(B, "x", TargetId("poles")).calls == 6
    assert matched.program_limits(B, "x", TargetId("rail")).calls is None


def test_turn_and_time_limits() -> None:
    matched = rules(
        "turn limit of everyone is 57 turns",
        "time limit of class x is 1.5s",
    )
    limits = matched.program_limits(A, "x")
    assert (limits.turns, limits.time_s) == (57, 1.5)
    assert matched.program_limits(A, "y").time_s is None


def test_priority_line_is_not_the_weight_line() -> None:
    matched = rules("weight of everyone is 2", "priority of class x is 10")
    assert matched.share(A, "x").priority == 10
    assert matched.priority_line(A, "x").number == 2
    assert matched.priority_line(A, "y").number == 0


def test_account_limits_replace_those_of_everyone_by_name() -> None:
    matched = rules(
        "rate of everyone is 600 calls per 1m",
        "rate of account a is 5 calls per 60s",
        "rate of everyone is 2k tokens per 1h",
        "concurrency of everyone is 40 calls",
        "rate of everyone is 1.25 EUR per 1d",
    )
    amounts = {limit.name: limit for limit in matched.account_limits(A)}
    assert amounts["calls-per-60000ms"].amount == 5
    assert amounts["calls-per-60000ms"].line.number == 2
    assert amounts["tokens-per-3600000ms"].amount == 2000
    assert amounts["tokens-per-3600000ms"].window_s == 3600
    assert amounts["concurrency"].kind is LimitKind.CONCURRENCY
    assert amounts["money-per-86400000ms"].amount == 1_250_000
    assert matched.account_limits(B)[0].amount == 600


def test_most_specific_operation_wins() -> None:
    matched = rules(
        "operation * /* of every application is idempotent",
        "operation POST /orders* of application poles is non-idempotent",
        "operation POST /orders/draft of application poles is idempotent "
        "and costs 0.50 EUR",
        "operation * /orders of application poles is non-idempotent "
        "and costs 40 EUR",
    )
    poles = TargetId("poles")
    draft = matched.action(poles, "POST /orders/draft")
    assert (draft.idempotent, draft.price_micros) == (True, 500_000)
    assert matched.action(poles, "POST /orders/7").line.number == 2
    assert matched.action(poles, "POST /orders").price_micros == 40_000_000
    assert matched.action(TargetId("rail"), "POST /orders").line.number == 1


def test_target_rules_fall_back_to_group_and_every_target() -> None:
    matched = rules(
        "every target ignores fencing numbers",
        "group g checks fencing numbers",
        "target t ignores fencing numbers",
        "concurrency of group g is 8 calls",
    )
    assert matched.target(TargetId("u"), "g").checks_fence
    assert matched.target(TargetId("u"), "g").concurrency == 8
    assert not matched.target(TargetId("t"), "g").checks_fence
    assert not matched.target(TargetId("u"), "h").checks_fence


@pytest.mark.parametrize(
    ("day", "hour", "minute", "excluded"),
    [
        (6, 21, 59, False),
        (6, 22, 0, True),
        (7, 5, 59, True),
        (7, 6, 0, False),
        (7, 22, 0, False),
        (8, 1, 0, False),
    ],
)
def test_window_past_midnight_belongs_to_its_first_day(
    day: int, hour: int, minute: int, excluded: bool
) -> None:
    window = "leave group g alone from 22:00 to 06:00 Asia/Kolkata on sat"
    matched = rules(window)
    zone = ZoneInfo("Asia/Kolkata")
    at = datetime(2026, 6, day, hour, minute, tzinfo=zone)
    line = matched.exclusion_line(
        TargetId("t"),
        "g",
        at_ms=int(at.timestamp() * 1000),
        load=0.0,
        error_share=0.0,
    )
    assert (line is not None) == excluded


def test_most_specific_load_limit_wins() -> None:
    matched = rules(
        "leave group g alone above 80% load",
        "leave target t alone above 95% load",
        "leave every target alone above 50% errors",
    )

    def exclusion_line_number(
        target: str, load: float, error_share: float
    ) -> int:
        line = matched.exclusion_line(
            TargetId(target),
            "g",
            at_ms=NOON_MS,
            load=load,
            error_share=error_share,
        )
        return line.number if line else 0

    assert exclusion_line_number("t", 0.9, 0.0) == 0
    assert exclusion_line_number("t", 0.96, 0.0) == 2
    assert exclusion_line_number("u", 0.9, 0.0) == 1
    assert exclusion_line_number("u", 0.8, 0.51) == 3


def test_retry_limits() -> None:
    matched = rules(
        "retry limit of everyone is 2 attempts",
        "retry limit of application weather is 4 attempts",
        "retry limit of account a is 3 attempts",
        "retry limit of account a application poles is 1 attempt",
    )
    assert matched.retries(A, "poles").attempts == 1
    assert matched.retries(A, "weather").attempts == 3
    assert matched.retries(B, "weather").attempts == 4
    assert matched.retries(B, "").attempts == 2


def test_caches_do_not_grow_with_names_that_no_rule_mentions() -> None:
    matched = rules("budget of class x is 5 tokens")
    first = matched.program_limits(A, "one")
    assert matched.program_limits(B, "two") is first
    assert matched.share(A, "one") is matched.share(B, "two")


@given(file=rule_files(), load=st.floats(0, 1), errors=st.floats(0, 1))
def test_every_lookup_returns_a_line_of_the_file_or_a_default(
    file: RuleFile, load: float, errors: float
) -> None:
    matched = IndexedRuleSet(file)
    member_by_number = {rule.number: rule.member for rule in file.rules}
    lines = [*matched.program_limits(A, "x").lines.values()]
    lines.append(matched.share(A, "x").line)
    lines.append(matched.action(TargetId("x"), "POST /x").line)
    lines.append(matched.target(TargetId("t"), "g").line)
    lines.append(matched.retries(A, "x").line)
    lines.extend(limit.line for limit in matched.account_limits(A))
    exclusion = matched.exclusion_line(
        TargetId("t"), "g", at_ms=NOON_MS, load=load, error_share=errors
    )
    if exclusion is not None:
        lines.append(exclusion)
    for line in lines:
        assert member_by_number.get(line.number, "built in") == line.member
