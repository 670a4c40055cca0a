"""What the decision code asks of the rules in force."""

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
    """The line of the published file that decided something.

    Attributes:
        number: Line number, from 1; 0 for a built-in default.
        text: The rule without its comment.
        member: Who asked for it, from the comment.
    """

    number: int
    text: str
    member: str


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """What one top-level program, with its sub-agents, may use.

    None means no limit. ``lines`` holds the deciding line of each limit
    by field name.
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
        weight: Fair share weight, over 0.
        priority: Strict class; lower goes first.
        line: The deciding line.
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
        name: Names the limit in the log; stable over rule versions.
        kind: What it counts.
        amount: Calls, tokens or micros of money in one window, or calls
            in flight.
        window_s: Window length in seconds; 0 for concurrency.
        line: The deciding line.
    """

    name: str
    kind: LimitKind
    amount: int
    window_s: float
    line: RuleLine


@dataclass(frozen=True, slots=True)
class ActionRule:
    """How calls of one operation of an application are treated.

    Attributes:
        idempotent: Whether the call may run more than once.
        price_micros: Money one call costs, in millionths.
        line: The deciding line.
    """

    idempotent: bool
    price_micros: int
    line: RuleLine


@dataclass(frozen=True, slots=True)
class TargetRule:
    """How a target is treated.

    Attributes:
        concurrency: Most calls at once over all VMs, None to find it.
        checks_fence: Whether it refuses orders with old fencing numbers.
        line: The deciding line.
    """

    concurrency: int | None
    checks_fence: bool
    line: RuleLine


@dataclass(frozen=True, slots=True)
class RetryRule:
    """How often a safe call may be tried.

    Attributes:
        attempts: Tries in all, the first included.
        line: The deciding line.
    """

    attempts: int
    line: RuleLine


class RuleSet(ABC):
    """One version of the rules; immutable.

    Where several lines match, the most specific wins and, among equals,
    the last; ``explain`` of the rules command shows the deciding line.
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
        """Returns how an operation is treated.

        Args:
            application: The application group.
            operation: Method and path without query.
        """

    @abstractmethod
    def target(self, target: TargetId, group: str) -> TargetRule:
        """Returns how a target is treated."""

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
        """Returns the line that keeps work from a target now, if any.

        Args:
            target: The target.
            group: Its model or application group.
            at_ms: Wall-clock time, milliseconds since 1970.
            load: Its load, 0 to 1.
            error_share: Share of its recent calls that failed, 0 to 1.
        """

    @abstractmethod
    def retries(self, account: AccountId, application: str) -> RetryRule:
        """Returns how often a safe call may be tried."""
