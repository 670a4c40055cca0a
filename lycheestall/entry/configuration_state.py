"""The configuration in force on this VM."""

from __future__ import annotations

from ..logs import Logger
from .accounts import AccountDirectory
from .configuration import CallerLimits, Configuration, RouteTable

__all__ = ["ConfigurationState"]


MAX_LOGGED_PROBLEMS = 20
"""Faults in the accounts of one version that are logged."""


class ConfigurationState:
    """Holds the configuration with the highest version received.

    Args:
        logger: Logs changes of the version.

    Attributes:
        current: The configuration in force; None before the first one.
        routes: Its routes.
        accounts: Its accounts by the keys of their callers.
    """

    def __init__(self, logger: Logger) -> None:
        self._logger = logger
        self.current: Configuration | None = None
        self.routes = RouteTable(())
        self.accounts = AccountDirectory(())

    @property
    def version(self) -> int:
        """Version in force; 0 if there is no configuration yet."""
        return self.current.version if self.current is not None else 0

    @property
    def has_accounts(self) -> bool:
        """Whether requests need an account."""
        return self.current is not None and self.current.has_accounts

    @property
    def has_readable_accounts(self) -> bool:
        """Whether any account can be read."""
        return self.current is not None and bool(self.current.accounts)

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' requests in force."""
        if self.current is None:
            return CallerLimits()
        return self.current.limits

    def update(self, configuration: Configuration) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if configuration.version <= self.version:
            return False
        self._logger.info(
            "configuration in force",
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        self._log_problems(configuration)
        self.current = configuration
        self.routes = RouteTable(configuration.routes)
        self.accounts = AccountDirectory(configuration.accounts)
        return True

    def _log_problems(self, configuration: Configuration) -> None:
        problems = configuration.account_problems
        if not problems:
            return
        self._logger.warning(
            "accounts of the configuration are faulty",
            version=configuration.version,
            faults=len(problems),
            first=[str(problem) for problem in problems[:MAX_LOGGED_PROBLEMS]],
        )
