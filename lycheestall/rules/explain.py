"""Explains which rule line determines each value."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from ..ids import AccountId, TargetId
from .match import IndexedRuleSet
from .rule_set import RuleLine

__all__ = ["ExplainAnswer", "ExplainQuestion", "explain"]

_MICROS = 1_000_000
_NO_LINE = RuleLine(0, "no limit", "built in")


@dataclass(frozen=True, slots=True)
class ExplainQuestion:
    """What to explain; empty fields are ignored.

    Attributes:
        account: The account that is charged.
        program_class: The program's class.
        application: An application group.
        operation: Method and path.
        target: A target.
        group: The target's group.
        at_ms: Wall-clock time, milliseconds since 1970.
        load: The target's load, 0 to 1.
        errors: The target's error rate, 0 to 1.
    """

    account: str = ""
    program_class: str = ""
    application: str = ""
    operation: str = ""
    target: str = ""
    group: str = ""
    at_ms: int = 0
    load: float = 0.0
    errors: float = 0.0

    @classmethod
    def from_options(cls, *, at: str, **options: object) -> ExplainQuestion:
        """Creates a question from the options of the command.

        Args:
            at: An ISO 8601 time with a UTC offset; empty means now.
            options: The other attributes.

        Raises:
            ValueError: The time is malformed or has no UTC offset.
        """
        moment = datetime.now(UTC)
        if at:
            moment = datetime.fromisoformat(at)
        if moment.tzinfo is None:
            raise ValueError("the time has no UTC offset, such as Z or +05:30")
        at_ms = int(moment.timestamp() * 1000)
        return cls(at_ms=at_ms, **options)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class ExplainAnswer:
    """One value and the rule line that determines it.

    Attributes:
        subject: What the value applies to.
        value: The value.
        line: The rule line that determines the value.
    """

    subject: str
    value: str
    line: RuleLine


def explain(
    rules: IndexedRuleSet, question: ExplainQuestion
) -> tuple[ExplainAnswer, ...]:
    """Returns every value that applies to a question.

    Args:
        rules: The rules.
        question: What to explain.
    """
    answers = [
        *_program(rules, question),
        *_account(rules, question),
        *_call(rules, question),
    ]
    if question.target or question.group:
        answers.extend(_target(rules, question))
    return tuple(answers)


def _program(
    rules: IndexedRuleSet, question: ExplainQuestion
) -> Iterator[ExplainAnswer]:
    account = AccountId(question.account)
    lookups = [("program", TargetId(""))]
    if question.application:
        name = f"program's calls of {question.application}"
        lookups.append((name, TargetId(question.application)))
    for subject, application in lookups:
        limits = rules.program_limits(
            account, question.program_class, application
        )
        values = {
            "tokens": limits.tokens,
            "calls": limits.calls,
            "money": _money(limits.money_micros),
            "turns": limits.turns,
            "time_s": limits.time_s,
        }
        for name, value in values.items():
            field = "money_micros" if name == "money" else name
            line = limits.lines.get(field, _NO_LINE)
            shown = "no limit" if value is None else str(value)
            yield ExplainAnswer(f"{subject}: {name}", shown, line)
    share = rules.share(account, question.program_class)
    line = rules.priority_line(account, question.program_class)
    yield ExplainAnswer("weight", f"{share.weight:g}", share.line)
    yield ExplainAnswer("priority", str(share.priority), line)


def _account(
    rules: IndexedRuleSet, question: ExplainQuestion
) -> Iterator[ExplainAnswer]:
    for limit in rules.account_limits(AccountId(question.account)):
        value = f"{limit.amount} {limit.kind.value}"
        if limit.window_s:
            value += f" per {limit.window_s:g} s"
        yield ExplainAnswer(f"account: {limit.name}", value, limit.line)


def _call(
    rules: IndexedRuleSet, question: ExplainQuestion
) -> Iterator[ExplainAnswer]:
    account = AccountId(question.account)
    retries = rules.retries(account, question.application)
    yield ExplainAnswer("attempts", str(retries.attempts), retries.line)
    if not question.operation:
        return
    application = TargetId(question.application)
    action = rules.action(application, question.operation)
    value = "idempotent" if action.idempotent else "non-idempotent"
    value += f", costs {_money(action.price_micros)}"
    yield ExplainAnswer(question.operation, value, action.line)


def _target(
    rules: IndexedRuleSet, question: ExplainQuestion
) -> Iterator[ExplainAnswer]:
    target = TargetId(question.target)
    rule = rules.target(target, question.group)
    value = "checks" if rule.checks_fence else "ignores"
    yield ExplainAnswer("fencing numbers", value, rule.line)
    concurrency = rules.concurrency_line(target, question.group)
    shown = "found by load" if rule.concurrency is None else rule.concurrency
    yield ExplainAnswer("calls at once", str(shown), concurrency or _NO_LINE)
    line = rules.exclusion_line(
        target,
        question.group,
        at_ms=question.at_ms,
        load=question.load,
        error_share=question.errors,
    )
    excluded = "no" if line is None else "yes"
    yield ExplainAnswer("left alone", excluded, line or _NO_LINE)


def _money(micros: int | None) -> str | None:
    return None if micros is None else f"{micros / _MICROS:.6f}".rstrip("0")
