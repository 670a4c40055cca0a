"""The newest configuration that this VM knows."""

from __future__ import annotations

from ..logs import Logger
from .configuration import CallerLimits, Configuration, RouteTable

__all__ = ["ConfigurationState"]


class ConfigurationState:
    """Takes newer versions, never older ones.

    Args:
        logger: Where changes are logged.
    """

    def __init__(self, logger: Logger) -> None:
        self._logger = logger
        self.current: Configuration | None = None
        self.routes = RouteTable(())

    @property
    def version(self) -> int:
        """The version in force; 0 without one."""
        return self.current.version if self.current is not None else 0

    @property
    def limits(self) -> CallerLimits:
        """Bounds on callers in force."""
        if self.current is None:
            return CallerLimits()
        return self.current.limits

    def offer(self, configuration: Configuration) -> bool:
        """Takes a configuration; returns whether it is now in force."""
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
