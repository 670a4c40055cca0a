"""Limits that an account's programs share, by account."""

from __future__ import annotations

from .rules import text
from .rules.rule_book import AccountLimit, LimitKind, RuleLine

__all__ = ["AccountLimits"]

_MS_PER_S = 1000


class AccountLimits:
    """Concurrency and rate limits; an account's own replace everyone's.

    A limit is named after what it counts and over which window, so that
    it keeps its name, and its use so far, from one version to the next.
    """

    def __init__(self) -> None:
        self._limits_by_account: dict[str, dict[str, AccountLimit]] = {}
        self._found_by_account: dict[str, tuple[AccountLimit, ...]] = {}

    def add(
        self, rule: text.ConcurrencyRule | text.RateRule, line: RuleLine
    ) -> None:
        """Takes a rule; the last of an account and name counts.

        Args:
            rule: The limit.
            line: Where it stands.
        """
        if isinstance(rule, text.RateRule):
            limit = _rate_limit(rule, line)
        else:
            limit = AccountLimit(
                "concurrency", LimitKind.CONCURRENCY, rule.calls, 0.0, line
            )
        limit_by_name = self._limits_by_account.setdefault(
            rule.scope.account, {}
        )
        limit_by_name[limit.name] = limit
        self._found_by_account.clear()

    def find(self, account: str) -> tuple[AccountLimit, ...]:
        """Returns an account's limits in order of their names.

        Args:
            account: The account.
        """
        known = account if account in self._limits_by_account else ""
        found = self._found_by_account.get(known)
        if found is None:
            limit_by_name = dict(self._limits_by_account.get("", {}))
            limit_by_name.update(self._limits_by_account.get(known, {}))
            found = tuple(limit for _, limit in sorted(limit_by_name.items()))
            self._found_by_account[known] = found
        return found


def _rate_limit(rule: text.RateRule, line: RuleLine) -> AccountLimit:
    kind, amount = LimitKind.CALLS, rule.calls
    if rule.tokens is not None:
        kind, amount = LimitKind.TOKENS, rule.tokens
    if rule.money is not None:
        kind, amount = LimitKind.MONEY, rule.money.micros
    assert amount is not None
    name = f"{kind.value}-per-{rule.per_ms}ms"
    return AccountLimit(name, kind, amount, rule.per_ms / _MS_PER_S, line)
