"""Permits to send requests of an account with a quota."""

from __future__ import annotations

from dataclasses import dataclass

from ..accounts import AccountId
from ..token_ledger import HolderId
from .account_decider import QuotaRefusal

__all__ = ["QuotaDenied", "QuotaPermit"]


@dataclass(frozen=True, slots=True)
class QuotaPermit:
    """Permission to send one request of an account to a target.

    Attributes:
        account: The account.
        decider: The VM that granted it.
        granted_at: The decider's time of the grant.
        starts_at: When the request may be sent.
        expires_at: From when it may no longer be sent.
    """

    account: AccountId
    decider: HolderId
    granted_at: float
    starts_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class QuotaDenied:
    """A request of an account may not be sent.

    Attributes:
        account: The account.
        decider: The VM that decided; this VM if it reached no other one.
        refusal: Why.
        retry_after_s: Seconds after which there should be room.
        known_s: Seconds for which the decider has decided on the account.
    """

    account: AccountId
    decider: HolderId
    refusal: QuotaRefusal
    retry_after_s: float
    known_s: float
