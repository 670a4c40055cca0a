"""Finds the most specific of many rules about a scope."""

from __future__ import annotations

from typing import Generic, TypeVar

from .rules.syntax import Scope, TargetScope

__all__ = ["ScopeIndex", "TargetIndex"]

RuleT = TypeVar("RuleT")

_CACHE_ENTRIES = 65_536


def _candidates(scope: Scope) -> list[Scope]:
    """Lists the scopes that cover one, the most specific first.

    A scope with more parts is more specific; among equals an account
    counts more than a class. With an application asked for, only scopes
    that name it are listed.
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
        """Takes a rule; the last of a scope counts.

        Args:
            scope: What it is about.
            rule: The rule.
        """
        self._rule_by_scope[scope] = rule

    def find(self, scope: Scope) -> RuleT | None:
        """Returns the deciding rule, None when no rule matches.

        Args:
            scope: What is asked for; its application has to be named.
        """
        for candidate in _candidates(scope):
            rule = self._rule_by_scope.get(candidate)
            if rule is not None:
                return rule
        return None

    def find_for_call(self, account: str, application: str) -> RuleT | None:
        """Returns the deciding rule of an account's call.

        Rules about account and application come before those about the
        account, those about the application and those about everyone.

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
    """Rules by target, by group and about every target.

    What is found for a target is kept, since schedulers ask about every
    target for every call.
    """

    def __init__(self) -> None:
        self._rules_by_scope: dict[TargetScope, list[RuleT]] = {}
        self._found_by_target: dict[tuple[str, str], tuple[RuleT, ...]] = {}

    def add(self, scope: TargetScope, rule: RuleT) -> None:
        """Takes a rule.

        Args:
            scope: Which targets it is about.
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
        """Returns all rules about a target, the most specific first.

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
