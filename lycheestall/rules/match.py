"""Answers what the rules in force say, with the deciding lines."""

from __future__ import annotations

from .._account_limits import AccountLimits
from .._bounded_cache import BoundedCache
from .._operation_index import OperationIndex
from .._quiet_times import QuietTimes
from .._scope_index import ScopeIndex, TargetIndex
from ..ids import AccountId, Offset, TargetId
from ..records import NO_OFFSET
from . import text
from ._defaults import (
    DEFAULT_ATTEMPTS,
    DEFAULT_PRIORITY,
    DEFAULT_WEIGHT,
    SAFE_METHODS,
    default_line,
)
from .printing import print_statement
from .rule_book import (
    AccountLimit,
    ActionRule,
    ProgramLimits,
    RetryRule,
    RuleBook,
    RuleLine,
    ShareRule,
    TargetRule,
)
from .text import RuleFile, Scope, Statement

__all__ = ["EMPTY_RULES", "MatchedRules"]

_MS_PER_S = 1000
_NO_APPLICATION = TargetId("")

_Found = tuple[RuleLine, int]
_Pair = tuple[str, str]


class MatchedRules(RuleBook):
    """One rule file, indexed for lookups.

    The most specific matching line decides; among equals the last.
    """

    def __init__(self, file: RuleFile, *, version: Offset = NO_OFFSET) -> None:
        self.version = version
        self.file = file
        self._limits: dict[str, ScopeIndex[_Found]] = {}
        self._weights: ScopeIndex[tuple[RuleLine, float]] = ScopeIndex()
        self._priorities: ScopeIndex[_Found] = ScopeIndex()
        self._shared = AccountLimits()
        self._retries: ScopeIndex[_Found] = ScopeIndex()
        self._operations = OperationIndex()
        self._concurrency: TargetIndex[_Found] = TargetIndex()
        self._fencing: TargetIndex[tuple[RuleLine, bool]] = TargetIndex()
        self._quiet = QuietTimes()
        self._names: set[tuple[str, str]] = set()
        for rule in file.rules:
            words = print_statement(rule.statement)
            line = RuleLine(rule.number, words, rule.member)
            self._add(rule.statement, line)
        self._program_cache: BoundedCache[Scope, ProgramLimits] = (
            BoundedCache()
        )
        self._share_cache: BoundedCache[Scope, ShareRule] = BoundedCache()
        self._action_cache: BoundedCache[tuple[str, str], ActionRule] = (
            BoundedCache()
        )
        self._target_cache: BoundedCache[tuple[str, str], TargetRule] = (
            BoundedCache()
        )

    def _add(self, statement: Statement, line: RuleLine) -> None:
        self._quiet.add(statement, line)
        match statement:
            case text.BudgetRule(scope, tokens, calls, money):
                micros = None if money is None else money.micros
                self._limit("tokens", scope, tokens, line)
                self._limit("calls", scope, calls, line)
                self._limit("money_micros", scope, micros, line)
            case text.TurnLimitRule(scope, turns):
                self._limit("turns", scope, turns, line)
            case text.TimeLimitRule(scope, limit_ms):
                self._limit("time_ms", scope, limit_ms, line)
            case text.WeightRule(scope, weight):
                self._note(scope)
                self._weights.add(scope, (line, float(weight)))
            case text.PriorityRule(scope, priority):
                self._note(scope)
                self._priorities.add(scope, (line, priority))
            case text.RetryLimitRule(scope, attempts):
                self._retries.add(scope, (line, attempts))
            case text.ConcurrencyRule() | text.RateRule():
                self._shared.add(statement, line)
            case text.OperationRule():
                self._operation(statement, line)
            case text.TargetConcurrencyRule(targets, calls):
                self._concurrency.add(targets, (line, calls))
            case text.FencingRule(targets, checks):
                self._fencing.add(targets, (line, checks))

    def _note(self, scope: Scope) -> None:
        self._names.add(("account", scope.account))
        self._names.add(("class", scope.program_class))
        self._names.add(("application", scope.application))

    def _limit(
        self, name: str, scope: Scope, value: int | None, line: RuleLine
    ) -> None:
        if value is None:
            return
        self._note(scope)
        index = self._limits.setdefault(name, ScopeIndex())
        index.add(scope, (line, value))

    def _operation(self, rule: text.OperationRule, line: RuleLine) -> None:
        price = 0 if rule.price is None else rule.price.micros
        action = ActionRule(rule.idempotent, price, line)
        self._operations.add(rule.application, rule.method, rule.path, action)

    def _scope(
        self, account: str, program_class: str, application: str = ""
    ) -> Scope:
        """Returns a scope without names that no rule knows.

        Callers choose their classes freely; the caches must not grow
        with them.
        """
        known = self._names
        return Scope(
            account if ("account", account) in known else "",
            program_class if ("class", program_class) in known else "",
            application,
        )

    def program_limits(
        self,
        account: AccountId,
        program_class: str,
        application: TargetId = _NO_APPLICATION,
    ) -> ProgramLimits:
        """Returns the limits of one program.

        Args:
            account: Who pays.
            program_class: The program's class.
            application: When given, the limits of what the program's
                calls of this application may use, from budget lines that
                name it.
        """
        if application and ("application", application) not in self._names:
            return ProgramLimits(None, None, None, None, None, {})
        scope = self._scope(account, program_class, application)
        return self._program_cache.get(
            scope, lambda: self._program_limits(scope)
        )

    def _program_limits(self, scope: Scope) -> ProgramLimits:
        lines: dict[str, RuleLine] = {}
        value_by_name: dict[str, int] = {}
        for name, index in self._limits.items():
            found = index.find(scope)
            if found is None:
                continue
            field = "time_s" if name == "time_ms" else name
            lines[field], value_by_name[name] = found
        time_ms = value_by_name.get("time_ms")
        return ProgramLimits(
            tokens=value_by_name.get("tokens"),
            calls=value_by_name.get("calls"),
            money_micros=value_by_name.get("money_micros"),
            turns=value_by_name.get("turns"),
            time_s=None if time_ms is None else time_ms / _MS_PER_S,
            lines=lines,
        )

    def share(self, account: AccountId, program_class: str) -> ShareRule:
        """Returns weight and priority; the line is the weight's if any."""
        scope = self._scope(account, program_class)
        return self._share_cache.get(scope, lambda: self._share(scope))

    def _share(self, scope: Scope) -> ShareRule:
        weight = self._weights.find(scope)
        priority = self._priorities.find(scope)
        line = default_line(f"weight of everyone is {DEFAULT_WEIGHT:g}")
        if priority is not None:
            line = priority[0]
        if weight is not None:
            line = weight[0]
        return ShareRule(
            weight[1] if weight else DEFAULT_WEIGHT,
            priority[1] if priority else DEFAULT_PRIORITY,
            line,
        )

    def priority_line(
        self, account: AccountId, program_class: str
    ) -> RuleLine:
        """Returns the line that decides a program's priority.

        Args:
            account: Who pays.
            program_class: The program's class.
        """
        found = self._priorities.find(self._scope(account, program_class))
        if found is not None:
            return found[0]
        return default_line(f"priority of everyone is {DEFAULT_PRIORITY}")

    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        """Returns the account's limits, in order of their names."""
        return self._shared.find(account)

    def action(self, application: TargetId, operation: str) -> ActionRule:
        """Returns how an operation is treated."""
        method, _, path = operation.partition(" ")
        key = (application, operation)
        return self._action_cache.get(
            key, lambda: self._action(application, method, path)
        )

    def _action(self, application: str, method: str, path: str) -> ActionRule:
        found = self._operations.find(application, method, path)
        if found is not None:
            return found
        safe = method in SAFE_METHODS
        words = "idempotent" if safe else "non-idempotent"
        line = default_line(
            f"operation {method} /* of every application is {words}"
        )
        return ActionRule(safe, 0, line)

    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns how a target is treated; its line is fencing's if any."""
        return self._target_cache.get(
            (target, group), lambda: self._target(target, group)
        )

    def _target(self, target: TargetId, group: str) -> TargetRule:
        concurrency = self._concurrency.find(target, group)
        fencing = self._fencing.find(target, group)
        line = default_line("every target ignores fencing numbers")
        if concurrency is not None:
            line = concurrency[0]
        if fencing is not None:
            line = fencing[0]
        return TargetRule(
            concurrency[1] if concurrency else None,
            fencing[1] if fencing else False,
            line,
        )

    def concurrency_line(
        self, target: TargetId, group: str
    ) -> RuleLine | None:
        """Returns the line that bounds a target's calls at once, if any.

        Args:
            target: The target.
            group: Its group.
        """
        found = self._concurrency.find(target, group)
        return None if found is None else found[0]

    def left_alone(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Returns the line that keeps work from a target now, if any."""
        return self._quiet.find(
            target, group, at_ms=at_ms, load=load, error_share=error_share
        )

    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns how often a safe call may be tried."""
        found = self._retries.find_for_call(account, application)
        if found is not None:
            return RetryRule(found[1], found[0])
        words = f"retry limit of everyone is {DEFAULT_ATTEMPTS} attempts"
        return RetryRule(DEFAULT_ATTEMPTS, default_line(words))


EMPTY_RULES = MatchedRules(RuleFile())
"""The rules before anything was published: defaults throughout."""
