"""Authenticates client accounts by bearer key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from .settings import AccountSettings

__all__ = ["Accounts", "key_digest"]


def key_digest(key: str) -> str:
    """Returns the hex SHA-256 digest of a bearer key.

    Args:
        key: The key in the form that callers send.
    """
    return hashlib.sha256(key.encode()).hexdigest()


class Accounts:
    """Finds client accounts by bearer key; stores only key digests.

    Args:
        accounts: The accounts from the settings.
    """

    def __init__(self, accounts: Iterable[AccountSettings]) -> None:
        self._account_by_digest: dict[str, AccountSettings] = {}
        for account in accounts:
            for digest in account.key_sha256:
                self._account_by_digest[digest] = account

    def find(self, authorization: str) -> AccountSettings | None:
        """Returns the account that an ``authorization`` header names.

        Args:
            authorization: The header's value.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return self._account_by_digest.get(key_digest(key.strip()))
