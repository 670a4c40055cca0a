"""Looks up accounts by the keys of their callers."""

from __future__ import annotations

from collections.abc import Iterable

from .account import Account, ApiKey, KeyDigest, digest_key

__all__ = ["AccountDirectory"]


class AccountDirectory:
    """The accounts of one version of the configuration.

    Args:
        accounts: All accounts. A key that several of them have belongs to
            the first one.
    """

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._by_digest: dict[KeyDigest, Account] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, account)

    def find(self, api_key: ApiKey) -> Account | None:
        """Returns the account that a key belongs to, None if unknown."""
        return self._by_digest.get(digest_key(api_key))
