"""The quotas of all accounts in the configuration in force."""

from __future__ import annotations

from collections.abc import Callable

from ..accounts import AccountId
from ..configuration import Configuration
from .quota_terms import QuotaTerms

__all__ = ["AccountTerms"]


class AccountTerms:
    """Finds the newest terms of accounts that this VM or another one knows.

    Args:
        configuration: Returns the configuration in force on this VM; None
            before the first one.
    """

    def __init__(
        self, configuration: Callable[[], Configuration | None]
    ) -> None:
        self._configuration = configuration
        self._version = 0
        self._by_account: dict[AccountId, QuotaTerms] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        configuration = self._configuration()
        return 0 if configuration is None else configuration.version

    def limited(self) -> list[tuple[AccountId, QuotaTerms]]:
        """Returns the accounts with a quota, in a fixed order."""
        return [
            (account, terms)
            for account, terms in self._current().items()
            if terms.rate_per_s > 0
        ]

    def newest(
        self, account: AccountId, *others: QuotaTerms
    ) -> QuotaTerms | None:
        """Returns the newest terms of an account; None if it is removed.

        Args:
            account: The account.
            *others: Terms that are known otherwise.
        """
        newest = max(others, key=lambda terms: terms.version, default=None)
        if newest is not None and newest.version > self.version:
            return newest
        return self._current().get(account)

    def _current(self) -> dict[AccountId, QuotaTerms]:
        configuration = self._configuration()
        if configuration is None:
            return {}
        if configuration.version != self._version:
            self._version = configuration.version
            self._by_account = {
                account.account: QuotaTerms.of(account, self._version)
                for account in configuration.accounts
            }
        return self._by_account
