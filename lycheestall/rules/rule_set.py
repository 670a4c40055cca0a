"""The interface for looking up the rules in force."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from ..ids import AccountId, Offset, TargetId
from ..records import NO_OFFSET

__all__ = [
    "AccountLimit",
    "ActionRule",
    "LimitKind",
    "ProgramLimits",
    "RetryRule",
    "RuleSet",
    "RuleLine",
    "ShareRule",
    "TargetRule",
]


@dataclass(frozen=True, slots=True)
class RuleLine:
    """The line of the published file that determines a value.

    Attributes:
        number: Line number, from 1; 0 for a built-in default.
        text: The rule without its comment.
        member: Who requested the rule, from its comment.
    """

    number: int
    text: str
    member: str


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """What one top-level program, including its sub-agents, may use.

    None means no limit. ``lines`` maps each field name to the line that
    sets the limit.
    """

    tokens: int | None
    calls: int | None
    money_micros: int | None
    turns: int | None
    time_s: float | None
    lines: dict[str, RuleLine]


@dataclass(frozen=True, slots=True)
class ShareRule:
    """How an account's programs compete with others.

    Attributes:
        weight: Fair share weight, greater than 0.
        priority: Strict priority class; lower is scheduled first.
        line: The line that sets these values.
    """

    weight: float
    priority: int
    line: RuleLine


class LimitKind(Enum):
    """What an account's shared limit counts."""

    CONCURRENCY = "concurrency"
    CALLS = "calls"
    TOKENS = "tokens"
    MONEY = "money"


@dataclass(frozen=True, slots=True)
class AccountLimit:
    """A limit shared by all programs of an account.

    Attributes:
        name: Identifies the limit in the log; the same in all rule
            versions.
        kind: What it counts.
        amount: Calls, tokens or millionths of a currency unit per
            window, or calls in flight.
        window_s: Window length in seconds; 0 for concurrency.
        line: The line that sets the value.
    """

    name: str
    kind: LimitKind
    amount: int
    window_s: float
    line: RuleLine


@dataclass(frozen=True, slots=True)
class ActionRule:
    """The idempotence and price of one operation of an application.

    Attributes:
        idempotent: Whether the call may run more than once.
        price_micros: Price of one call, in millionths of a currency unit.
        line: The line that sets the value.
    """

    idempotent: bool
    price_micros: int
    line: RuleLine


@dataclass(frozen=True, slots=True)
class TargetRule:
    """The settings of a target.

    Attributes:
        concurrency: Maximum concurrent calls over all VMs; None if it is
            to be determined from load.
        checks_fence: Whether the target rejects orders with stale
            fencing numbers.
        line: The line that sets the value.
    """

    concurrency: int | None
    checks_fence: bool
    line: RuleLine


@dataclass(frozen=True, slots=True)
class RetryRule:
    """How many times a safe call may be attempted.

    Attributes:
        attempts: Maximum number of attempts, including the first.
        line: The line that sets the value.
    """

    attempts: int
    line: RuleLine


class RuleSet(ABC):
    """One version of the rules; immutable.

    Where several lines match, the most specific one takes precedence
    and, among equally specific lines, the last. The ``rules explain``
    command shows which line that is.
    """

    version: Offset = NO_OFFSET

    @abstractmethod
    def program_limits(
        self, account: AccountId, program_class: str
    ) -> ProgramLimits:
        """Returns the limits of one program."""

    @abstractmethod
    def share(self, account: AccountId, program_class: str) -> ShareRule:
        """Returns weight and priority."""

    @abstractmethod
    def account_limits(self, account: AccountId) -> tuple[AccountLimit, ...]:
        """Returns the limits shared by the account's programs."""

    @abstractmethod
    def action(self, application: TargetId, operation: str) -> ActionRule:
        """Returns the idempotence and price of an operation.

        Args:
            application: The application group.
            operation: Method and path, without the query string.
        """

    @abstractmethod
    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns the settings of a target."""

    @abstractmethod
    def exclusion_line(
        self,
        target: TargetId,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Returns the line that excludes a target from new work, if any.

        Args:
            target: The target.
            group: Its model or application group.
            at_ms: Wall-clock time, milliseconds since 1970.
            load: Its load, 0 to 1.
            error_share: Fraction of its recent calls that failed, 0 to 1.
        """

    @abstractmethod
    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns how many times a safe call may be attempted."""
