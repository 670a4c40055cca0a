"""The configuration in force on this VM."""

from __future__ import annotations

from ..logs import Logger
from .configuration import CallerLimits, Configuration, RouteTable

__all__ = ["ConfigurationState"]


class ConfigurationState:
    """Holds the configuration with the highest version received.

    Args:
        logger: Logs changes of the version.

    Attributes:
        current: The configuration in force; None before the first one.
        routes: Its routes.
    """

    def __init__(self, logger: Logger) -> None:
        self._logger = logger
        self.current: Configuration | None = None
        self.routes = RouteTable(())

    @property
    def version(self) -> int:
        """Version in force; 0 if there is no configuration yet."""
        return self.current.version if self.current is not None else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' requests in force."""
        if self.current is None:
            return CallerLimits()
        return self.current.limits

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force contains client accounts."""
        return self.current is not None and bool(self.current.accounts)

    def update(self, configuration: Configuration) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if configuration.version <= self.version:
            return False
        self._logger.info(
            "configuration in force",
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.current = configuration
        self.routes = RouteTable(configuration.routes)
        return True
