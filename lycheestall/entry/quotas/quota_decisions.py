"""What this VM grants of the accounts' quotas: as decider or in its stead."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from ..accounts import AccountId
from ..membership import Member
from ..token_ledger import HolderId
from ..vm_settings import QuotaSettings
from .account_decider import AccountDecider, QuotaDecision, QuotaRefusal
from .account_ranking import DECIDERS, AccountRanking
from .account_terms import AccountTerms
from .quota_leases import Lease, QuotaLeases
from .quota_messages import (
    AskQuota,
    HandedQuota,
    HoldQuota,
    QuotaAnswer,
    QuotaHeld,
    ReturnedPermits,
)
from .quota_shares import (
    half_terms,
    initial_level,
    own_share_terms,
    stand_in_level,
    stand_in_terms,
    unconfirmed_terms,
)
from .quota_terms import QuotaTerms

__all__ = ["QuotaDecisions"]

MISSED_S = 1.0
"""Time between two calls of ``advance`` from which the VM counts as suspended;
a VM that is only busy calls more often."""

FIRST_START_S = 10.0
"""Seconds after the first start of the whole system in which a new decider
has a full bucket, since no other one can have granted anything."""

RETIRED_S = 5.0
"""Seconds for which the next deciding VM may ask for an account's state; it
learns of the members at about the same time."""

PREPARED = 10
"""Accounts in one call of ``prepare``; ranking the members for one takes
milliseconds in a large system."""

UNREACHABLE_RETRY_S = 0.5
"""Retry delay for callers when no deciding VM is reached; the caller should
try another VM."""


class QuotaDecisions:
    """Holds the buckets of this VM; all calls are given the time.

    Args:
        holder: This VM's ID in the ledger.
        settings: How exactly the quotas are kept.
        terms: The accounts' quotas.
        ranking: Which VMs decide on an account.
        first_start: Returns whether the whole system starts for the first
            time.
        now: Current time.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        settings: QuotaSettings,
        terms: AccountTerms,
        ranking: AccountRanking,
        first_start: Callable[[], bool],
        now: float,
    ) -> None:
        self._holder = holder
        self._settings = settings
        self._terms = terms
        self._ranking = ranking
        self._first_start = first_start
        self._full_until = now + FIRST_START_S
        self._decider_by_account: dict[AccountId, AccountDecider] = {}
        self._stand_in_by_account: dict[AccountId, AccountDecider] = {}
        self._own_share_by_account: dict[AccountId, AccountDecider] = {}
        # Kept for the next deciding VM, which asks for them.
        self._retired_by_account: dict[AccountId, AccountDecider] = {}
        self._leases = QuotaLeases()
        self._next_prepared = -1
        self._seen_at = now
        self._pruned_for: tuple[int, str] = (0, "")

    @property
    def accounts(self) -> int:
        """Number of accounts that this VM decides on."""
        return len(self._decider_by_account)

    def advance(self, now: float) -> None:
        """Notes the time; must be called more often than ``MISSED_S``.

        Nothing is granted for the time that the VM has missed: another one
        has decided meanwhile.
        """
        for account, retired in list(self._retired_by_account.items()):
            if now - retired.retired_at > RETIRED_S:
                del self._retired_by_account[account]
        missed = now - self._seen_at > MISSED_S
        self._seen_at = max(now, self._seen_at)
        if missed:
            for by_account in self._all():
                for decider in by_account.values():
                    decider.bucket.skip(now)
        self._prune()

    def decide(self, message: AskQuota, now: float) -> QuotaAnswer:
        """Decides as the first VM of the ranking."""
        return self._decide(
            self._decider_by_account,
            message,
            now,
            limit=lambda terms: self._first_terms(message.account, terms, now),
            level=lambda terms, now: initial_level(self._settings),
        )

    def stand_in(self, message: AskQuota, now: float) -> QuotaAnswer:
        """Decides as the second VM, which can't reach the first one."""
        return self._decide(
            self._stand_in_by_account,
            message,
            now,
            limit=lambda terms: self._stand_in_terms(
                message.account, terms, now
            ),
            level=lambda terms, now: min(
                terms.capacity, stand_in_level(self._settings)
            ),
        )

    def use_own_share(self, message: AskQuota, now: float) -> QuotaAnswer:
        """Decides on a request of this VM, which reaches no decider."""
        # Only the members ranked after the deciding ones have a share of their
        # own; the ranking lists no others.
        rank = self._ranking.rank_of(message.account, self._holder)
        entitled = rank is not None and rank >= DECIDERS

        def limit(terms: QuotaTerms) -> QuotaTerms | None:
            if not entitled:
                return None
            return own_share_terms(self._settings, terms)

        return self._decide(
            self._own_share_by_account,
            message,
            now,
            limit=limit,
            level=lambda terms, now: terms.capacity,
        )

    def is_first(self, account: AccountId, now: float) -> bool:
        """Returns whether this VM decides on an account."""
        if self._ranking.rank_of(account, self._holder) != 0:
            return False
        # A VM that this one doesn't know yet may have taken over.
        return not self._leases.is_held(account, now)

    def prepare(self, now: float) -> None:
        """Begins to decide on accounts before the first request of each.

        A few accounts a call, since ranking the members of a large system
        for one takes milliseconds.
        """
        accounts = self._terms.limited()
        for _ in range(min(PREPARED, len(accounts))):
            self._next_prepared = (self._next_prepared + 1) % len(accounts)
            account, terms = accounts[self._next_prepared]
            known = account in self._decider_by_account
            if not known and self.is_first(account, now):
                self._decider_by_account[account] = AccountDecider(
                    terms,
                    self._first_terms(account, terms, now),
                    initial_level(self._settings),
                    now,
                )

    def holds_due(self, now: float) -> dict[Member, tuple[AccountId, ...]]:
        """Returns the second VMs to ask for a confirmation."""
        due: defaultdict[Member, list[AccountId]] = defaultdict(list)
        for account in self._decider_by_account:
            ranked = self._ranking.ranked(account)[:DECIDERS]
            if len(ranked) == DECIDERS and self._leases.take_due(account, now):
                due[ranked[1]].append(account)
        return {member: tuple(accounts) for member, accounts in due.items()}

    def hold(self, message: HoldQuota, now: float) -> QuotaHeld:
        """Confirms that this VM grants nothing, as the second one."""
        self.advance(now)
        handed: list[HandedQuota] = []
        for account in message.accounts:
            self._leases.hold(account, message.holder, now)
            for by_account in (
                self._decider_by_account,
                self._retired_by_account,
                self._stand_in_by_account,
            ):
                decider = by_account.pop(account, None)
                if decider is not None:
                    handed.append(decider.hand_over(account, now))
        return QuotaHeld(self._holder, tuple(handed))

    def confirmed(
        self,
        accounts: Iterable[AccountId],
        reply: QuotaHeld,
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Notes the confirmation of a second VM.

        Args:
            accounts: The accounts that were asked for.
            reply: What the VM hands over.
            asked_at: When it was asked.
            now: Current time.
        """
        handed_by_account = {handed.account: handed for handed in reply.handed}
        for account in accounts:
            decider = self._decider_by_account.get(account)
            if decider is None:
                continue
            is_new = self._leases.lease(account, now) is Lease.NEVER
            self._leases.confirm(account, asked_at)
            terms = self._terms.newest(account, decider.quota)
            if terms is not None and terms.rate_per_s > 0:
                decider.change_terms(terms, terms, now)
            handed = handed_by_account.get(account)
            if handed is not None:
                decider.take_over(handed, now)
            elif is_new and now < self._full_until and self._first_start():
                decider.bucket.add(decider.bucket.capacity, now)

    def take_back(self, returned: ReturnedPermits, now: float) -> None:
        """Takes back permits that this VM granted."""
        for by_account in self._all():
            decider = by_account.get(returned.account)
            if decider is not None:
                decider.bucket.give_back(
                    returned.granted_at, returned.permits, now
                )

    def _decide(
        self,
        by_account: dict[AccountId, AccountDecider],
        message: AskQuota,
        now: float,
        *,
        limit: Callable[[QuotaTerms], QuotaTerms | None],
        level: Callable[[QuotaTerms, float], float],
    ) -> QuotaAnswer:
        self.advance(now)
        decider = by_account.get(message.account)
        terms = self._newest_terms(message)
        if terms is None:
            return self._refuse(message, QuotaRefusal.REMOVED)
        if terms.rate_per_s <= 0:
            return self._answer(QuotaDecision(None, 0.0, now), terms, 0.0)
        granted = limit(terms)
        if granted is None:
            return self._refuse(message, QuotaRefusal.UNREACHABLE)
        if decider is None:
            decider = AccountDecider(terms, granted, level(granted, now), now)
            by_account[message.account] = decider
            self._retired_by_account.pop(message.account, None)
        else:
            decider.change_terms(terms, granted, now)
        decision = decider.decide(message, now)
        return self._answer(decision, terms, now - decider.since)

    def _newest_terms(self, message: AskQuota) -> QuotaTerms | None:
        known = [message.terms]
        decider = self._decider_by_account.get(message.account)
        if decider is not None:
            known.append(decider.quota)
        return self._terms.newest(message.account, *known)

    def _first_terms(
        self, account: AccountId, terms: QuotaTerms, now: float
    ) -> QuotaTerms:
        if len(self._ranking.ranked(account)) < DECIDERS:
            return terms
        lease = self._leases.lease(account, now)
        if lease is Lease.VALID:
            return terms
        if lease is Lease.LAPSED:
            return half_terms(terms)
        return unconfirmed_terms(self._settings, terms)

    def _stand_in_terms(
        self, account: AccountId, terms: QuotaTerms, now: float
    ) -> QuotaTerms | None:
        ranked = self._ranking.ranked(account)
        first = ranked[0].holder
        if self._leases.has_lapsed(account, first, now):
            return half_terms(terms)
        return stand_in_terms(self._settings, terms)

    def _refuse(self, message: AskQuota, refusal: QuotaRefusal) -> QuotaAnswer:
        decision = QuotaDecision(refusal, UNREACHABLE_RETRY_S, 0.0)
        return self._answer(decision, message.terms, 0.0)

    def _answer(
        self, decision: QuotaDecision, terms: QuotaTerms, known_s: float
    ) -> QuotaAnswer:
        refusal = decision.refusal
        return QuotaAnswer(
            self._holder,
            None if refusal is None else refusal.value,
            decision.wait_s,
            decision.granted_at,
            terms,
            known_s,
        )

    def _all(self) -> tuple[dict[AccountId, AccountDecider], ...]:
        return (
            self._decider_by_account,
            self._stand_in_by_account,
            self._own_share_by_account,
            self._retired_by_account,
        )

    def _prune(self) -> None:
        """Forgets accounts that are removed or decided on elsewhere."""
        state = (self._terms.version, self._ranking.digest)
        if state == self._pruned_for:
            return
        self._pruned_for = state
        for by_account in self._all():
            for account, decider in list(by_account.items()):
                if self._terms.newest(account, decider.quota) is None:
                    del by_account[account]
                    self._leases.forget(account)
        for account in list(self._decider_by_account):
            if self._ranking.rank_of(account, self._holder) != 0:
                retired = self._decider_by_account.pop(account)
                retired.retired_at = self._seen_at
                self._retired_by_account[account] = retired
                self._leases.forget(account)
