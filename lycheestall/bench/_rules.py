"""The rule set of the policy bench: equal shares, no limits."""

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

_DEFAULT_LINE = RuleLine(0, "default", "")
MAX_ATTEMPTS = 3


class BenchRules(RuleSet):
    """Gives every account the same weight and priority, and no limits."""

    def program_limits(
        self, account: AccountId, program_class: str
    ) -> ProgramLimits:
        """Returns no limits."""
        return ProgramLimits(None, None, None, None, None, {})

    def share(self, account: AccountId, program_class: str) -> ShareRule:
        """Returns the same weight and priority for every account."""
        return ShareRule(1.0, 0, _DEFAULT_LINE)

    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        """Returns no limits."""
        return ()

    def action(self, application: TargetId, operation: str) -> ActionRule:
        """Returns a rule for an idempotent operation without cost."""
        return ActionRule(True, 0, _DEFAULT_LINE)

    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns no concurrency limit."""
        return TargetRule(None, True, _DEFAULT_LINE)

    def exclusion_line(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Returns None: no target is excluded."""
        return None

    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns the same number of attempts for every account."""
        return RetryRule(MAX_ATTEMPTS, _DEFAULT_LINE)
