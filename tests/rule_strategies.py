"""Hypothesis strategies for rules."""

from __future__ import annotations

from decimal import Decimal

from hypothesis import strategies as st

from lycheestall.rules import syntax

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)
optional_names = st.just("") | names
counts = st.integers(0, 10**12) | st.sampled_from([0, 1, 1000, 2_000_000])
positive_integers = st.integers(1, 10**9)
amounts_of_money = st.integers(0, 10**14).map(lambda m: syntax.Money(m, "EUR"))
percents = st.integers(0, 10**8).map(lambda n: Decimal(n) / 10**6)
weights = st.integers(1, 10**12).map(lambda n: Decimal(n) / 10**6)
members = st.text(
    st.characters(exclude_categories=["Cc", "Cs"]), min_size=1, max_size=12
).map(lambda comment: f"m{comment}".strip())

scopes = st.builds(
    syntax.Scope, optional_names, optional_names, optional_names
)
program_scopes = st.builds(syntax.Scope, optional_names, optional_names)
account_scopes = st.builds(syntax.Scope, optional_names)
call_scopes = st.builds(
    syntax.Scope, optional_names, st.just(""), application=optional_names
)
target_scopes = st.one_of(
    st.just(syntax.TargetScope()),
    names.map(lambda name: syntax.TargetScope(target=name)),
    names.map(lambda name: syntax.TargetScope(group=name)),
)
budgets = st.builds(
    syntax.BudgetRule,
    scopes,
    st.none() | counts,
    st.none() | counts,
    st.none() | amounts_of_money,
).filter(lambda rule: rule.tokens or rule.calls or rule.money)
rates = st.one_of(
    st.builds(
        syntax.RateRule, account_scopes, positive_integers, tokens=counts
    ),
    st.builds(
        syntax.RateRule, account_scopes, positive_integers, calls=counts
    ),
    st.builds(
        syntax.RateRule,
        account_scopes,
        positive_integers,
        money=amounts_of_money,
    ),
)
paths = st.from_regex(r"/[a-z0-9/_.-]{0,10}\*?", fullmatch=True)
methods = st.sampled_from(["GET", "POST", "PUT", "DELETE", "*"])
minutes = st.integers(0, 1439)
zones = st.sampled_from(["UTC", "Asia/Kolkata", "Asia/Almaty", "Etc/GMT+5"])
days = st.lists(st.integers(0, 6), unique=True).map(tuple)

statements = st.one_of(
    budgets,
    rates,
    st.builds(syntax.WeightRule, program_scopes, weights),
    st.builds(syntax.PriorityRule, program_scopes, counts),
    st.builds(syntax.ConcurrencyRule, account_scopes, counts),
    st.builds(syntax.TurnLimitRule, program_scopes, counts),
    st.builds(syntax.TimeLimitRule, program_scopes, positive_integers),
    st.builds(syntax.RetryLimitRule, call_scopes, positive_integers),
    st.builds(
        syntax.OperationRule,
        optional_names,
        methods,
        paths,
        st.booleans(),
        st.none() | amounts_of_money,
    ),
    st.builds(syntax.TargetConcurrencyRule, target_scopes, counts),
    st.builds(syntax.FencingRule, target_scopes, st.booleans()),
    st.builds(
        syntax.ExclusionWindowRule,
        target_scopes,
        minutes,
        minutes,
        zones,
        days,
    ),
    st.builds(syntax.LoadExclusionRule, target_scopes, percents),
    st.builds(syntax.ErrorExclusionRule, target_scopes, percents),
)


@st.composite
def rule_files(draw: st.DrawFn) -> syntax.RuleFile:
    """Draws a file of rules, comment lines and blank lines."""
    rules: list[syntax.Rule] = []
    comment_lines: list[syntax.CommentLine] = []
    for number in range(1, draw(st.integers(0, 6)) + 1):
        kind = draw(st.sampled_from(["rule", "rule", "comment", "blank"]))
        if kind == "rule":
            rule = syntax.Rule(number, draw(statements), draw(members))
            rules.append(rule)
        if kind == "comment":
            comment_lines.append(syntax.CommentLine(number, draw(members)))
    return syntax.RuleFile(tuple(rules), tuple(comment_lines))
