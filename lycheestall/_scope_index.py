"""Indexes that find the most specific rule for a scope or target."""

from __future__ import annotations

from typing import Generic, TypeVar

from .rules.syntax import Scope, TargetScope

__all__ = ["ScopeIndex", "TargetIndex"]

RuleT = TypeVar("RuleT")

_CACHE_ENTRIES = 65_536


def _candidates(scope: Scope) -> list[Scope]:
    """Returns the scopes that contain a scope, the most specific first.

    A scope with more fields set is more specific; among equals, an
    account outranks a class. If the scope names an application, only
    scopes that name it are returned.
    """
    account, program_class = scope.account, scope.program_class
    application = scope.application
    pairs = [(account, program_class), (account, ""), ("", program_class)]
    pairs.append(("", ""))
    found: list[Scope] = []
    for pair in pairs:
        candidate = Scope(*pair, application)
        if candidate not in found:
            found.append(candidate)
    return found


class ScopeIndex(Generic[RuleT]):
    """The last rule of each scope, looked up by specificity.

    Lookups cost at most four dictionary reads, however many rules and
    accounts there are.
    """

    def __init__(self) -> None:
        self._rule_by_scope: dict[Scope, RuleT] = {}

    def add(self, scope: Scope, rule: RuleT) -> None:
        """Adds a rule; it replaces an earlier one of the same scope.

        Args:
            scope: What it applies to.
            rule: The rule.
        """
        self._rule_by_scope[scope] = rule

    def find(self, scope: Scope) -> RuleT | None:
        """Returns the most specific rule, None when no rule matches.

        Args:
            scope: The scope to look up; matches only rules that name the
                same application, or none if it has none.
        """
        for candidate in _candidates(scope):
            rule = self._rule_by_scope.get(candidate)
            if rule is not None:
                return rule
        return None

    def find_for_call(self, account: str, application: str) -> RuleT | None:
        """Returns the most specific rule for an account's call.

        Precedence: account and application, account, application,
        everyone.

        Args:
            account: The account.
            application: The application group, or empty.
        """
        scopes = (
            Scope(account, application=application),
            Scope(account),
            Scope(application=application),
            Scope(),
        )
        for scope in scopes:
            rule = self._rule_by_scope.get(scope)
            if rule is not None:
                return rule
        return None


class TargetIndex(Generic[RuleT]):
    """Rules by target, by group and for every target.

    Results are cached, because schedulers look up every target for every
    call.
    """

    def __init__(self) -> None:
        self._rules_by_scope: dict[TargetScope, list[RuleT]] = {}
        self._found_by_target: dict[tuple[str, str], tuple[RuleT, ...]] = {}

    def add(self, scope: TargetScope, rule: RuleT) -> None:
        """Adds a rule.

        Args:
            scope: Which targets it applies to.
            rule: The rule.
        """
        self._rules_by_scope.setdefault(scope, []).append(rule)
        self._found_by_target.clear()

    def find(self, target: str, group: str) -> RuleT | None:
        """Returns the last rule of the most specific scope, or None.

        Args:
            target: The target.
            group: Its group.
        """
        found = self.find_all(target, group)
        return found[0] if found else None

    def find_all(self, target: str, group: str) -> tuple[RuleT, ...]:
        """Returns all rules for a target, the most specific first.

        Args:
            target: The target.
            group: Its group.
        """
        if not self._rules_by_scope:
            return ()
        key = (target, group)
        found = self._found_by_target.get(key)
        if found is None:
            if len(self._found_by_target) >= _CACHE_ENTRIES:
                self._found_by_target.clear()
            found = self._found_by_target[key] = self._search(target, group)
        return found

    def _search(self, target: str, group: str) -> tuple[RuleT, ...]:
        scopes = [TargetScope(target=target), TargetScope(group=group)]
        scopes.append(TargetScope())
        found: list[RuleT] = []
        for scope in dict.fromkeys(scopes):
            found.extend(reversed(self._rules_by_scope.get(scope, [])))
        return tuple(found)
