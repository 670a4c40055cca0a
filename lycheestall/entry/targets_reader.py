"""Reads the registrations of targets, regularly and when asked."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from ..logs import Logger
from .shared_read import SharedRead
from .store_view import StoreView
from .stream_origin_service import StreamOriginService

__all__ = ["TargetsReader"]


class TargetsReader:
    """Reads the targets and tells what follows their software versions.

    Args:
        view: Holds the registrations.
        stream_origins: Learns of each read.
        logger: Receives reads that end with an exception.
    """

    def __init__(
        self,
        *,
        view: StoreView,
        stream_origins: StreamOriginService,
        logger: Logger,
    ) -> None:
        self._view = view
        self._stream_origins = stream_origins
        self._reads = SharedRead(self._read, logger)

    def ask(self) -> Deferred[bool]:
        """Returns whether a read that starts from now on succeeds."""
        return self._reads.ask()

    async def poll(self) -> None:
        """Reads the targets."""
        await self.ask()

    async def _read(self) -> bool:
        succeeded = await self._view.read_targets()
        self._stream_origins.observe_targets(
            self._view.targets_read_at, listed_at=self._view.targets_listed_at
        )
        return succeeded
