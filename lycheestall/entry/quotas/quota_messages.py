"""Messages about the quotas of accounts."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from typing import Any, TypeAlias

from ..accounts import AccountId
from ..token_ledger import HolderId
from .quota_terms import QuotaTerms

__all__ = [
    "AskQuota",
    "HandedQuota",
    "HoldQuota",
    "QuotaHeld",
    "QuotaAnswer",
    "QuotaMessage",
    "ReturnQuota",
    "ReturnedPermits",
    "decode_quota_fields",
    "encode_quota_fields",
]


@dataclass(frozen=True, slots=True)
class AskQuota:
    """Asks an account's deciding VM for a permit for one request.

    Attributes:
        holder: The VM that asks.
        account: The account.
        terms: The quota as that VM knows it.
        program: The request's program; None without one.
        begun: Whether that VM knows that the program has begun.
        max_wait_s: Seconds that a request of such a program would wait.
        remaining_s: Seconds until the request's deadline.
        forwarded: Whether the second VM of the ranking passes it on.
    """

    holder: HolderId
    account: AccountId
    terms: QuotaTerms
    program: str | None
    begun: bool
    max_wait_s: float
    remaining_s: float
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """The reply to ``AskQuota``.

    Attributes:
        decider: The VM that decided.
        refusal: Value of the ``QuotaRefusal``; None if the request may be
            sent.
        wait_s: Seconds until it may be sent, or until it should be retried.
        granted_at: The decider's time, to be named when the permit is given
            back.
        terms: The quota that the decision is based on.
        known_s: Seconds for which the decider has decided on the account.
    """

    decider: HolderId
    refusal: str | None
    wait_s: float
    granted_at: float
    terms: QuotaTerms
    known_s: float


@dataclass(frozen=True, slots=True)
class ReturnedPermits:
    """Permits of one grant that were not used.

    Attributes:
        account: The account.
        granted_at: The decider's time of the grant.
        permits: How many.
    """

    account: AccountId
    granted_at: float
    permits: int


@dataclass(frozen=True, slots=True)
class ReturnQuota:
    """Gives permits back to the VM that granted them.

    Attributes:
        holder: The VM that returns them.
        decider: The VM that granted them; another run of its process knows
            nothing of them.
        returned: The permits.
    """

    holder: HolderId
    decider: HolderId
    returned: tuple[ReturnedPermits, ...]


@dataclass(frozen=True, slots=True)
class HoldQuota:
    """Asks the second VM of some accounts to grant nothing for a while.

    Attributes:
        holder: The first VM, which asks.
        accounts: The accounts.
    """

    holder: HolderId
    accounts: tuple[AccountId, ...]


@dataclass(frozen=True, slots=True)
class HandedQuota:
    """What a VM hands over that has decided on an account until now.

    Attributes:
        account: The account.
        level: Permits in stock.
        programs: Programs that have begun.
    """

    account: AccountId
    level: float
    programs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QuotaHeld:
    """The reply to ``HoldQuota``.

    Attributes:
        holder: The VM that replies.
        handed: The accounts that it has decided on.
    """

    holder: HolderId
    handed: tuple[HandedQuota, ...]


QuotaMessage: TypeAlias = (
    AskQuota | QuotaAnswer | ReturnQuota | HoldQuota | QuotaHeld
)


def encode_quota_fields(message: QuotaMessage) -> list[Any]:
    """Returns the fields of a message in a form that CBOR can encode."""
    return list(astuple(message))


def decode_quota_fields(name: str, fields: list[Any]) -> QuotaMessage | None:
    """Decodes a message; returns None if it is about something else."""
    if name == AskQuota.__name__:
        holder, account, terms, *rest = fields
        return AskQuota(holder, account, QuotaTerms(*terms), *rest)
    if name == QuotaAnswer.__name__:
        decider, refusal, wait_s, granted_at, terms, known_s = fields
        terms = QuotaTerms(*terms)
        return QuotaAnswer(
            decider, refusal, wait_s, granted_at, terms, known_s
        )
    if name == ReturnQuota.__name__:
        holder, decider, rows = fields
        returned = tuple(ReturnedPermits(*row) for row in rows)
        return ReturnQuota(holder, decider, returned)
    if name == HoldQuota.__name__:
        return HoldQuota(fields[0], tuple(fields[1]))
    if name == QuotaHeld.__name__:
        handed = tuple(
            HandedQuota(account, level, tuple(programs))
            for account, level, programs in fields[1]
        )
        return QuotaHeld(fields[0], handed)
    return None
