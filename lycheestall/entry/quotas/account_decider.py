"""Decides on the requests of one account."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..accounts import AccountId
from .program_admission import MIN_RETRY_S, ProgramAdmission
from .quota_bucket import QuotaBucket
from .quota_messages import AskQuota, HandedQuota
from .quota_terms import QuotaTerms

__all__ = [
    "AccountDecider",
    "QuotaDecision",
    "QuotaRefusal",
    "decode_refusal",
]


class QuotaRefusal(Enum):
    """Why a request of an account was refused."""

    SPENT = "quota spent"
    NO_ROOM = "no room for a new program"
    UNREACHABLE = "quota can't be checked now"
    REMOVED = "account removed"

    @property
    def over_quota(self) -> bool:
        """Whether the account asks for more than its quota."""
        return self in (QuotaRefusal.SPENT, QuotaRefusal.NO_ROOM)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a request may be sent.

    Attributes:
        refusal: Why it may not; None if it may.
        wait_s: Seconds until it may be sent, or should be retried.
        granted_at: When it was decided.
    """

    refusal: QuotaRefusal | None
    wait_s: float
    granted_at: float


class AccountDecider:
    """The permits of one account and the programs that they carry.

    Args:
        quota: The account's quota.
        terms: What this VM grants of it.
        level: Permits in stock.
        now: Current time.

    Attributes:
        quota: The account's quota.
        terms: What this VM grants of it.
        bucket: The permits.
        since: When this VM began to decide.
        retired_at: When it stopped; zero until then.
    """

    def __init__(
        self, quota: QuotaTerms, terms: QuotaTerms, level: float, now: float
    ) -> None:
        self.quota = quota
        self.terms = terms
        self.bucket = QuotaBucket(
            rate_per_s=terms.rate_per_s,
            capacity=terms.capacity,
            level=level,
            now=now,
        )
        self.since = now
        self.retired_at = 0.0
        self._programs = ProgramAdmission()

    def change_terms(
        self, quota: QuotaTerms, terms: QuotaTerms, now: float
    ) -> None:
        """Applies a newer quota, or another share of it."""
        self.quota = quota
        before, self.terms = self.terms, terms
        if (before.rate_per_s, before.burst) != (
            terms.rate_per_s,
            terms.burst,
        ):
            self.bucket.change(
                rate_per_s=terms.rate_per_s, capacity=terms.capacity, now=now
            )

    def hand_over(self, account: AccountId, now: float) -> HandedQuota:
        """Returns what the next deciding VM needs."""
        level = max(0.0, self.bucket.level(now))
        return HandedQuota(account, level, self._programs.programs())

    def take_over(self, handed: HandedQuota, now: float) -> None:
        """Continues what another VM has decided on until now."""
        self.bucket.add(handed.level, now)
        self._programs.add_begun(handed.programs, now)

    def decide(self, message: AskQuota, now: float) -> QuotaDecision:
        """Decides on one request."""
        program = message.program
        if message.begun or self._programs.has_begun(program):
            return self._decide_begun(message, now)
        may_start = self._programs.may_start(
            program,
            level=self.bucket.level(now),
            capacity=self.bucket.capacity,
            rate_per_s=self.bucket.rate_per_s,
            now=now,
        )
        if may_start and self.bucket.take(now, max_wait_s=0.0).taken:
            self._programs.record(program, now)
            return QuotaDecision(None, 0.0, now)
        retry_after_s = self._programs.retry_after_s(
            program,
            rate_per_s=self.bucket.rate_per_s,
            remaining_s=message.remaining_s,
            now=now,
        )
        return QuotaDecision(QuotaRefusal.NO_ROOM, retry_after_s, now)

    def _decide_begun(self, message: AskQuota, now: float) -> QuotaDecision:
        slot = self.bucket.take(now, max_wait_s=message.max_wait_s)
        if slot.taken:
            self._programs.record(message.program, now)
            return QuotaDecision(None, slot.wait_s, now)
        retry_after_s = max(MIN_RETRY_S, slot.wait_s)
        return QuotaDecision(QuotaRefusal.SPENT, retry_after_s, now)


def decode_refusal(text: str) -> QuotaRefusal:
    """Returns a refusal; one of a newer build counts as a spent quota."""
    for refusal in QuotaRefusal:
        if refusal.value == text:
            return refusal
    return QuotaRefusal.SPENT
