"""A client account as the operators' configuration describes it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import NewType

__all__ = ["Account", "AccountId", "ApiKey", "KeyDigest", "digest_key"]

AccountId = NewType("AccountId", str)
"""Name of an account, which targets are told."""

ApiKey = NewType("ApiKey", str)
"""A secret that proves to which account a request belongs."""

KeyDigest = NewType("KeyDigest", str)
"""Digest of a key in hexadecimal digits; it doesn't reveal the key."""

_DIGEST_BYTES = 16
"""128 bits, so that two keys never have the same digest."""


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        account: Its ID.
        key_digests: Digests of its callers' keys; the keys themselves stay
            in the store.
        priority: Priority of its requests instead of their route's; None for
            the route's.
        rate_per_s: Requests per second of all VMs together; 0 for no limit.
        burst: Requests beyond that rate which may come at once.
    """

    account: AccountId
    key_digests: tuple[KeyDigest, ...] = field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the account's requests are limited."""
        return self.rate_per_s > 0


def digest_key(api_key: ApiKey) -> KeyDigest:
    """Returns the digest by which a key is known."""
    digest = hashlib.blake2b(api_key.encode(), digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())
