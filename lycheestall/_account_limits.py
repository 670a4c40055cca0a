"""Looks up the limits that the programs of a client account share."""

from __future__ import annotations

from .rules import syntax
from .rules.rule_set import AccountLimit, LimitKind, RuleLine

__all__ = ["AccountLimits"]

_MS_PER_S = 1000


class AccountLimits:
    """Concurrency and rate limits of client accounts.

    An account's own limit replaces the limit of the same name that
    applies to all accounts. A limit is named after what it counts and
    its window, so that it keeps its name, and what was used of it, from
    one version of the rules to the next.
    """

    def __init__(self) -> None:
        self._limits_by_account: dict[str, dict[str, AccountLimit]] = {}
        self._resolved_by_account: dict[str, tuple[AccountLimit, ...]] = {}

    def add(
        self, rule: syntax.ConcurrencyRule | syntax.RateRule, line: RuleLine
    ) -> None:
        """Adds a rule, replacing an earlier one of the same name.

        Args:
            rule: The rule that sets the limit.
            line: The rule's line.
        """
        if isinstance(rule, syntax.RateRule):
            limit = _rate_limit(rule, line)
        else:
            limit = AccountLimit(
                "concurrency", LimitKind.CONCURRENCY, rule.calls, 0.0, line
            )
        limit_by_name = self._limits_by_account.setdefault(
            rule.scope.account, {}
        )
        limit_by_name[limit.name] = limit
        self._resolved_by_account.clear()

    def find(self, account: str) -> tuple[AccountLimit, ...]:
        """Returns an account's limits, sorted by name.

        Args:
            account: The client account.
        """
        known = account if account in self._limits_by_account else ""
        found = self._resolved_by_account.get(known)
        if found is None:
            limit_by_name = dict(self._limits_by_account.get("", {}))
            limit_by_name.update(self._limits_by_account.get(known, {}))
            found = tuple(limit for _, limit in sorted(limit_by_name.items()))
            self._resolved_by_account[known] = found
        return found


def _rate_limit(rule: syntax.RateRule, line: RuleLine) -> AccountLimit:
    kind, amount = LimitKind.CALLS, rule.calls
    if rule.tokens is not None:
        kind, amount = LimitKind.TOKENS, rule.tokens
    if rule.money is not None:
        kind, amount = LimitKind.MONEY, rule.money.micros
    assert amount is not None
    name = f"{kind.value}-per-{rule.per_ms}ms"
    return AccountLimit(name, kind, amount, rule.per_ms / _MS_PER_S, line)
