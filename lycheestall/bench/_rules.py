"""Rules of the policy bench: equal accounts, no limits."""

from __future__ import annotations

from ..ids import AccountId, TargetId
from ..rules.rule_set import (
    AccountLimit,
    ActionRule,
    ProgramLimits,
    RetryRule,
    RuleLine,
    RuleSet,
    ShareRule,
    TargetRule,
)

__all__ = ["BenchRules"]

_LINE = RuleLine(0, "default", "")
ATTEMPTS = 3


class BenchRules(RuleSet):
    """Gives every account the same weight and priority."""

    def program_limits(
        self, account: AccountId, program_class: str
    ) -> ProgramLimits:
        """Returns no limits."""
        return ProgramLimits(None, None, None, None, None, {})

    def share(self, account: AccountId, program_class: str) -> ShareRule:
        """Returns equal shares."""
        return ShareRule(1.0, 0, _LINE)

    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        """Returns no limits."""
        return ()

    def action(self, application: TargetId, operation: str) -> ActionRule:
        """Returns a free idempotent operation."""
        return ActionRule(True, 0, _LINE)

    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns no concurrency limit."""
        return TargetRule(None, True, _LINE)

    def exclusion_line(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Leaves no target alone."""
        return None

    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns a few attempts."""
        return RetryRule(ATTEMPTS, _LINE)
