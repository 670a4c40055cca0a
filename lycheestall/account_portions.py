"""Admits calls against this VM's portions of the accounts' limits."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from .ids import AccountId
from .portions import NO_WINDOW, SharedLimit
from .records import PortionReturned, PortionTaken
from .rules.rule_set import AccountLimit, LimitKind

__all__ = [
    "AccountPortions",
    "LimitReached",
    "LimitReservation",
    "LimitReserveResult",
    "PortionNeeded",
    "limit_name",
    "window_of",
]

PORTIONS_PER_LIMIT = 16
IDLE_TIMEOUT_S = 5.0
REFUSAL_BACKOFF_S = 1.0


def limit_name(limit: AccountLimit) -> str:
    """Returns a limit's name in the log.

    The name includes the kind and the window length: if either changes,
    the limit starts from zero, since its window numbers stand for
    different times.

    Args:
        limit: The limit.
    """
    return f"{limit.name}/{limit.kind.value}/{limit.window_s:g}"


def window_of(limit: AccountLimit, now_ms: int) -> int:
    """Returns the number of a limit's current window, starting at 1.

    Args:
        limit: The limit.
        now_ms: Wall-clock time, milliseconds since 1970.
    """
    if limit.kind is LimitKind.CONCURRENCY or limit.window_s <= 0:
        return NO_WINDOW
    return int(now_ms // (limit.window_s * 1000)) + 1


@dataclass(frozen=True, slots=True)
class LimitReservation:
    """What a call has reserved of shared limits until it is settled.

    Attributes:
        amount_by_limit: The amount reserved of each limit.
        kind_by_limit: What each limit counts.
    """

    amount_by_limit: Mapping[SharedLimit, int]
    kind_by_limit: Mapping[SharedLimit, LimitKind]


@dataclass(frozen=True, slots=True)
class PortionNeeded:
    """The log has to grant portions before the call is admitted.

    Attributes:
        records: The records that request the portions.
    """

    records: tuple[PortionTaken, ...]


@dataclass(frozen=True, slots=True)
class LimitReached:
    """A limit is used up.

    Attributes:
        limit: The limit.
        retry_after_s: Seconds until the next window; 1 for a limit
            without windows, where it is not known when a call ends.
    """

    limit: AccountLimit
    retry_after_s: float


LimitReserveResult: TypeAlias = LimitReservation | PortionNeeded | LimitReached


@dataclass(slots=True)
class _LocalPortion:
    """This VM's part of one limit.

    Attributes:
        held: The amount that the log has granted.
        used: What calls have reserved or used of it.
        requested: The amount requested from the log and not yet decided.
        refused_at: When the log last refused a request.
        refused_amount: The amount of that request.
        active_at: When a call last needed this limit.
    """

    held: int = 0
    used: int = 0
    requested: int = 0
    refused_at: float = -REFUSAL_BACKOFF_S
    refused_amount: int = 0
    active_at: float = 0.0


@dataclass(slots=True)
class AccountPortions:
    """Reserves calls' amounts from the portions that this VM holds.

    Portions are requested before they are needed and returned when they
    are idle.
    """

    _portion_by_limit: dict[SharedLimit, _LocalPortion] = field(
        default_factory=dict
    )

    def reserve(
        self,
        account: AccountId,
        limits: Sequence[AccountLimit],
        need_by_kind: Mapping[LimitKind, int],
        *,
        now: float,
        now_ms: int,
    ) -> LimitReserveResult:
        """Reserves a call's upper bounds from this VM's portions.

        Args:
            account: The client account.
            limits: The account's limits in force.
            need_by_kind: The most that the call may use, by kind.
            now: Monotonic time in seconds.
            now_ms: Wall-clock time, milliseconds since 1970.

        Returns:
            The reservation, the portions to request first, or the limit
            that is reached.
        """
        amount_by_limit: dict[SharedLimit, int] = {}
        kind_by_limit: dict[SharedLimit, LimitKind] = {}
        requests: list[PortionTaken] = []
        for limit in limits:
            need = need_by_kind.get(limit.kind, 0)
            if need <= 0:
                continue
            window = window_of(limit, now_ms)
            shared = SharedLimit(account, limit_name(limit), window)
            portion = self._portion_by_limit.setdefault(
                shared, _LocalPortion()
            )
            portion.active_at = now
            amount_by_limit[shared] = need
            kind_by_limit[shared] = limit.kind
            shortfall = portion.used + need - min(portion.held, limit.amount)
            if shortfall <= 0:
                continue
            if need > limit.amount or self._recently_refused(
                portion, shortfall, now
            ):
                return LimitReached(
                    limit, _seconds_to_next_window(limit, now_ms)
                )
            requests.append(
                self._request(shared, portion, limit, shortfall, now)
            )
        if requests:
            return PortionNeeded(tuple(requests))
        for shared, need in amount_by_limit.items():
            self._portion_by_limit[shared].used += need
        return LimitReservation(amount_by_limit, kind_by_limit)

    def prefetch(
        self,
        account: AccountId,
        limits: Sequence[AccountLimit],
        *,
        now: float,
        now_ms: int,
    ) -> tuple[PortionTaken, ...]:
        """Returns the portions to request before they are needed."""
        requests: list[PortionTaken] = []
        for limit in limits:
            window = window_of(limit, now_ms)
            shared = SharedLimit(account, limit_name(limit), window)
            portion = self._portion_by_limit.get(shared)
            if portion is None or portion.requested:
                continue
            size = _portion_size(limit)
            free = portion.held - portion.used
            if free * 2 > size or portion.held + size > limit.amount:
                continue
            if self._recently_refused(portion, size, now):
                continue
            requests.append(self._request(shared, portion, limit, size, now))
        return tuple(requests)

    def record_reply(
        self, record: PortionTaken, *, accepted: bool, now: float
    ) -> None:
        """Records the log's verdict on a requested portion.

        Args:
            record: The request.
            accepted: Whether the fold granted it.
            now: Monotonic time in seconds.
        """
        shared = SharedLimit(record.account, record.limit_name, record.window)
        portion = self._portion_by_limit.setdefault(shared, _LocalPortion())
        portion.requested = max(0, portion.requested - record.amount)
        if accepted:
            portion.held += record.amount
            return
        portion.refused_at = now
        portion.refused_amount = record.amount

    def cancel_request(self, record: PortionTaken) -> None:
        """Withdraws a request that was not written to the log."""
        shared = SharedLimit(record.account, record.limit_name, record.window)
        portion = self._portion_by_limit.get(shared)
        if portion is not None:
            portion.requested = max(0, portion.requested - record.amount)

    def settle(
        self,
        reservation: LimitReservation,
        actual_by_kind: Mapping[LimitKind, int],
    ) -> None:
        """Releases what a call reserved but did not use.

        Args:
            reservation: What the call reserved.
            actual_by_kind: What it used, by kind. A missing kind counts
                in full, except for concurrency, which is released.
        """
        for shared, amount in reservation.amount_by_limit.items():
            portion = self._portion_by_limit.get(shared)
            if portion is None:
                continue
            kind = reservation.kind_by_limit[shared]
            default = 0 if kind is LimitKind.CONCURRENCY else amount
            actual = actual_by_kind.get(kind, default)
            portion.used += actual - amount

    def return_idle(self, now: float) -> tuple[PortionReturned, ...]:
        """Gives up idle portions.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The records that return the portions to the log.
        """
        returned: list[PortionReturned] = []
        for shared, portion in list(self._portion_by_limit.items()):
            if now - portion.active_at < IDLE_TIMEOUT_S or portion.requested:
                continue
            free = portion.held - portion.used
            if free > 0:
                portion.held -= free
                returned.append(
                    PortionReturned(
                        shared.account, shared.name, shared.window, free
                    )
                )
            if portion.held == 0 and portion.used == 0:
                del self._portion_by_limit[shared]
        return tuple(returned)

    def _recently_refused(
        self, portion: _LocalPortion, amount: int, now: float
    ) -> bool:
        recent = now - portion.refused_at < REFUSAL_BACKOFF_S
        return recent and amount >= portion.refused_amount

    def _request(
        self,
        shared: SharedLimit,
        portion: _LocalPortion,
        limit: AccountLimit,
        minimum: int,
        now: float,
    ) -> PortionTaken:
        amount = max(minimum, _portion_size(limit))
        if self._recently_refused(portion, amount, now):
            amount = minimum
        portion.requested += amount
        return PortionTaken(
            account=shared.account,
            limit_name=shared.name,
            window=shared.window,
            amount=amount,
            limit=limit.amount,
        )


def _portion_size(limit: AccountLimit) -> int:
    return max(1, limit.amount // PORTIONS_PER_LIMIT)


def _seconds_to_next_window(limit: AccountLimit, now_ms: int) -> float:
    if window_of(limit, now_ms) == NO_WINDOW:
        return 1.0
    elapsed_s = now_ms / 1000 % limit.window_s
    return min(limit.window_s - elapsed_s, limit.window_s)
