"""A client account as the operators' configuration describes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NewType

__all__ = ["Account", "AccountId", "ApiKey"]

AccountId = NewType("AccountId", str)
"""Name of an account, which targets are told."""

ApiKey = NewType("ApiKey", str)
"""A secret that proves to which account a request belongs."""


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        account: Its ID.
        api_keys: The keys of its callers; never shown.
        priority: Priority of its requests instead of their route's; None for
            the route's.
        rate_per_s: Requests per second of all VMs together; 0 for no limit.
        burst: Requests beyond that rate which may come at once.
    """

    account: AccountId
    api_keys: tuple[ApiKey, ...] = field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the account's requests are limited."""
        return self.rate_per_s > 0
