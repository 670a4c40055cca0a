"""This VM's portions of the limits that an account's programs share."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from .ids import AccountId
from .portions import LASTING_WINDOW, SharedLimit
from .records import PortionReturned, PortionTaken
from .rules.rule_book import AccountLimit, LimitKind

__all__ = [
    "AccountPortions",
    "LimitReached",
    "PortionNeeded",
    "Use",
    "UseResult",
    "limit_name",
    "window_of",
]

PORTIONS_PER_LIMIT = 16
IDLE_RETURN_S = 5.0
REFUSAL_MEMORY_S = 1.0


def limit_name(limit: AccountLimit) -> str:
    """Returns a limit's name in the log.

    A limit whose kind or window is changed counts anew, since its
    windows' numbers mean other times.

    Args:
        limit: The limit.
    """
    return f"{limit.name}/{limit.kind.value}/{limit.window_s:g}"


def window_of(limit: AccountLimit, now_ms: int) -> int:
    """Returns the number of a limit's present window, from 1.

    Args:
        limit: The limit.
        now_ms: Wall-clock time, milliseconds since 1970.
    """
    if limit.kind is LimitKind.CONCURRENCY or limit.window_s <= 0:
        return LASTING_WINDOW
    return int(now_ms // (limit.window_s * 1000)) + 1


@dataclass(frozen=True, slots=True)
class Use:
    """A call's use of shared limits, to be settled at its end.

    Attributes:
        amount_by_limit: What was taken of each limit.
        kind_by_limit: What each limit counts.
    """

    amount_by_limit: Mapping[SharedLimit, int]
    kind_by_limit: Mapping[SharedLimit, LimitKind]


@dataclass(frozen=True, slots=True)
class PortionNeeded:
    """The log has to grant portions before the call goes on."""

    records: tuple[PortionTaken, ...]


@dataclass(frozen=True, slots=True)
class LimitReached:
    """A limit is used up.

    Attributes:
        limit: Which.
        retry_after_s: When the next window begins, or a guess.
    """

    limit: AccountLimit
    retry_after_s: float


UseResult: TypeAlias = Use | PortionNeeded | LimitReached


@dataclass(slots=True)
class _Share:
    held: int = 0
    used: int = 0
    asked: int = 0
    refused_at: float = -REFUSAL_MEMORY_S
    refused_amount: int = 0
    active_at: float = 0.0


@dataclass(slots=True)
class AccountPortions:
    """Takes portions before they are needed, returns them when idle."""

    _share_by_limit: dict[SharedLimit, _Share] = field(default_factory=dict)

    def use(
        self,
        account: AccountId,
        limits: Sequence[AccountLimit],
        need_by_kind: Mapping[LimitKind, int],
        *,
        now: float,
        now_ms: int,
    ) -> UseResult:
        """Takes a call's upper bounds from this VM's portions.

        Args:
            account: Who pays.
            limits: The account's limits in force.
            need_by_kind: The most the call may use, by kind.
            now: The time, in seconds.
            now_ms: Wall-clock time, milliseconds since 1970.

        Returns:
            The use, or the portions to ask for, or the limit reached.
        """
        amounts: dict[SharedLimit, int] = {}
        kinds: dict[SharedLimit, LimitKind] = {}
        wanted: list[PortionTaken] = []
        for limit in limits:
            need = need_by_kind.get(limit.kind, 0)
            if need <= 0:
                continue
            window = window_of(limit, now_ms)
            shared = SharedLimit(account, limit_name(limit), window)
            share = self._share_by_limit.setdefault(shared, _Share())
            share.active_at = now
            amounts[shared] = need
            kinds[shared] = limit.kind
            short = share.used + need - min(share.held, limit.amount)
            if short <= 0:
                continue
            if need > limit.amount or self._refused(share, short, now):
                return LimitReached(limit, _until_next(limit, now_ms))
            wanted.append(self._ask(shared, share, limit, short, now))
        if wanted:
            return PortionNeeded(tuple(wanted))
        for shared, need in amounts.items():
            self._share_by_limit[shared].used += need
        return Use(amounts, kinds)

    def ahead(
        self,
        account: AccountId,
        limits: Sequence[AccountLimit],
        *,
        now: float,
        now_ms: int,
    ) -> tuple[PortionTaken, ...]:
        """Returns portions to ask for before they are needed."""
        wanted: list[PortionTaken] = []
        for limit in limits:
            window = window_of(limit, now_ms)
            shared = SharedLimit(account, limit_name(limit), window)
            share = self._share_by_limit.get(shared)
            if share is None or share.asked:
                continue
            portion = _portion(limit)
            free = share.held - share.used
            if free * 2 > portion or share.held + portion > limit.amount:
                continue
            if self._refused(share, portion, now):
                continue
            wanted.append(self._ask(shared, share, limit, portion, now))
        return tuple(wanted)

    def asked_for(
        self, record: PortionTaken, *, accepted: bool, now: float
    ) -> None:
        """Takes the log's word on a portion.

        Args:
            record: What was asked for.
            accepted: Whether the fold granted it.
            now: The time, in seconds.
        """
        shared = SharedLimit(record.account, record.limit_name, record.window)
        share = self._share_by_limit.setdefault(shared, _Share())
        share.asked = max(0, share.asked - record.amount)
        if accepted:
            share.held += record.amount
            return
        share.refused_at = now
        share.refused_amount = record.amount

    def unasked(self, record: PortionTaken) -> None:
        """Takes note that a portion was not asked for after all."""
        shared = SharedLimit(record.account, record.limit_name, record.window)
        share = self._share_by_limit.get(shared)
        if share is not None:
            share.asked = max(0, share.asked - record.amount)

    def settle(
        self, use: Use, actual_by_kind: Mapping[LimitKind, int]
    ) -> None:
        """Gives back what a call did not use.

        Args:
            use: The call's use.
            actual_by_kind: What it used, by kind; a kind that is left
                out counts whole, but for concurrency, which ends.
        """
        for shared, amount in use.amount_by_limit.items():
            share = self._share_by_limit.get(shared)
            if share is None:
                continue
            kind = use.kind_by_limit[shared]
            default = 0 if kind is LimitKind.CONCURRENCY else amount
            actual = actual_by_kind.get(kind, default)
            share.used += actual - amount

    def idle(self, now: float) -> tuple[PortionReturned, ...]:
        """Returns the portions to give back, and counts them as gone.

        Args:
            now: The time, in seconds.
        """
        returned: list[PortionReturned] = []
        for shared, share in list(self._share_by_limit.items()):
            if now - share.active_at < IDLE_RETURN_S or share.asked:
                continue
            free = share.held - share.used
            if free > 0:
                share.held -= free
                returned.append(
                    PortionReturned(
                        shared.account, shared.name, shared.window, free
                    )
                )
            if share.held == 0 and share.used == 0:
                del self._share_by_limit[shared]
        return tuple(returned)

    def _refused(self, share: _Share, amount: int, now: float) -> bool:
        recent = now - share.refused_at < REFUSAL_MEMORY_S
        return recent and amount >= share.refused_amount

    def _ask(
        self,
        shared: SharedLimit,
        share: _Share,
        limit: AccountLimit,
        least: int,
        now: float,
    ) -> PortionTaken:
        amount = max(least, _portion(limit))
        if self._refused(share, amount, now):
            amount = least
        share.asked += amount
        return PortionTaken(
            account=shared.account,
            limit_name=shared.name,
            window=shared.window,
            amount=amount,
            limit=limit.amount,
        )


def _portion(limit: AccountLimit) -> int:
    return max(1, limit.amount // PORTIONS_PER_LIMIT)


def _until_next(limit: AccountLimit, now_ms: int) -> float:
    if window_of(limit, now_ms) == LASTING_WINDOW:
        return 1.0
    into_s = now_ms / 1000 % limit.window_s
    return min(limit.window_s - into_s, limit.window_s)
