"""Looks up rules and the lines that determine each value."""

from __future__ import annotations

from .._account_limits import AccountLimits
from .._bounded_cache import BoundedCache
from .._operation_index import OperationIndex
from .._scope_index import ScopeIndex, TargetIndex
from .._target_exclusions import TargetExclusions
from ..ids import AccountId, Offset, TargetId
from ..records import NO_OFFSET
from . import syntax
from ._defaults import (
    DEFAULT_ATTEMPTS,
    DEFAULT_PRIORITY,
    DEFAULT_WEIGHT,
    SAFE_METHODS,
    default_line,
)
from .printing import print_statement
from .rule_set import (
    AccountLimit,
    ActionRule,
    ProgramLimits,
    RetryRule,
    RuleLine,
    RuleSet,
    ShareRule,
    TargetRule,
)
from .syntax import RuleFile, Scope, Statement

__all__ = ["EMPTY_RULES", "IndexedRuleSet"]

_MS_PER_S = 1000
_NO_APPLICATION = TargetId("")

_IntegerRule = tuple[RuleLine, int]


class IndexedRuleSet(RuleSet):
    """The rules of one file, indexed for lookup.

    The most specific matching line takes precedence; among equally
    specific lines, the last one.
    """

    def __init__(self, file: RuleFile, *, version: Offset = NO_OFFSET) -> None:
        self.version = version
        self.file = file
        self._limits: dict[str, ScopeIndex[_IntegerRule]] = {}
        self._weights: ScopeIndex[tuple[RuleLine, float]] = ScopeIndex()
        self._priorities: ScopeIndex[_IntegerRule] = ScopeIndex()
        self._account_limits = AccountLimits()
        self._retries: ScopeIndex[_IntegerRule] = ScopeIndex()
        self._operations = OperationIndex()
        self._concurrency: TargetIndex[_IntegerRule] = TargetIndex()
        self._fencing: TargetIndex[tuple[RuleLine, bool]] = TargetIndex()
        self._exclusions = TargetExclusions()
        self._names_in_rules: set[tuple[str, str]] = set()
        for rule in file.rules:
            rule_text = print_statement(rule.statement)
            line = RuleLine(rule.number, rule_text, rule.member)
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
        self._exclusions.add(statement, line)
        match statement:
            case syntax.BudgetRule(scope, tokens, calls, money):
                micros = None if money is None else money.micros
                self._add_limit("tokens", scope, tokens, line)
                self._add_limit("calls", scope, calls, line)
                self._add_limit("money_micros", scope, micros, line)
            case syntax.TurnLimitRule(scope, turns):
                self._add_limit("turns", scope, turns, line)
            case syntax.TimeLimitRule(scope, limit_ms):
                self._add_limit("time_ms", scope, limit_ms, line)
            case syntax.WeightRule(scope, weight):
                self._add_scope_names(scope)
                self._weights.add(scope, (line, float(weight)))
            case syntax.PriorityRule(scope, priority):
                self._add_scope_names(scope)
                self._priorities.add(scope, (line, priority))
            case syntax.RetryLimitRule(scope, attempts):
                self._retries.add(scope, (line, attempts))
            case syntax.ConcurrencyRule() | syntax.RateRule():
                self._account_limits.add(statement, line)
            case syntax.OperationRule():
                self._add_operation(statement, line)
            case syntax.TargetConcurrencyRule(targets, calls):
                self._concurrency.add(targets, (line, calls))
            case syntax.FencingRule(targets, checks):
                self._fencing.add(targets, (line, checks))

    def _add_scope_names(self, scope: Scope) -> None:
        self._names_in_rules.add(("account", scope.account))
        self._names_in_rules.add(("class", scope.program_class))
        self._names_in_rules.add(("application", scope.application))

    def _add_limit(
        self, name: str, scope: Scope, value: int | None, line: RuleLine
    ) -> None:
        if value is None:
            return
        self._add_scope_names(scope)
        index = self._limits.setdefault(name, ScopeIndex())
        index.add(scope, (line, value))

    def _add_operation(
        self, rule: syntax.OperationRule, line: RuleLine
    ) -> None:
        price = 0 if rule.price is None else rule.price.micros
        action = ActionRule(rule.idempotent, price, line)
        self._operations.add(rule.application, rule.method, rule.path, action)

    def _scope(
        self, account: str, program_class: str, application: str = ""
    ) -> Scope:
        """Returns a scope with names that no rule mentions replaced by "".

        Clients choose program classes freely, so keeping unknown names
        would let them grow the caches without bound.
        """
        known = self._names_in_rules
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
            account: The account that is charged.
            program_class: The program's class.
            application: If given, returns the limits on the program's
                calls to this application, from budget lines that name
                it.
        """
        if (
            application
            and ("application", application) not in self._names_in_rules
        ):
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
        """Returns weight and priority.

        The line is that of the weight rule, else of the priority rule.
        """
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
        """Returns the line that determines a program's priority.

        Args:
            account: The account that is charged.
            program_class: The program's class.
        """
        found = self._priorities.find(self._scope(account, program_class))
        if found is not None:
            return found[0]
        return default_line(f"priority of everyone is {DEFAULT_PRIORITY}")

    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        """Returns the account's limits, sorted by name."""
        return self._account_limits.find(account)

    def action(self, application: TargetId, operation: str) -> ActionRule:
        """Returns the idempotence and price of an operation."""
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
        rule_text = "idempotent" if safe else "non-idempotent"
        line = default_line(
            f"operation {method} /* of every application is {rule_text}"
        )
        return ActionRule(safe, 0, line)

    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns the settings of a target.

        The line is that of the fencing rule, else of the concurrency
        rule.
        """
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
        """Returns the line that limits a target's concurrency, if any.

        Args:
            target: The target.
            group: Its group.
        """
        found = self._concurrency.find(target, group)
        return None if found is None else found[0]

    def exclusion_line(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Returns the line that excludes a target from new work, if any."""
        return self._exclusions.find(
            target, group, at_ms=at_ms, load=load, error_share=error_share
        )

    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns how many times a safe call may be attempted."""
        found = self._retries.find_for_call(account, application)
        if found is not None:
            return RetryRule(found[1], found[0])
        rule_text = f"retry limit of everyone is {DEFAULT_ATTEMPTS} attempts"
        return RetryRule(DEFAULT_ATTEMPTS, default_line(rule_text))


EMPTY_RULES = IndexedRuleSet(RuleFile())
"""The rules before the first publication: defaults only."""
