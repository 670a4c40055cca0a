"""Reads the registrations of targets, regularly and when asked."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from ..logs import Logger
from .shared_read import SharedRead
from .store_view import StoreView
from .stream_origin_service import StreamOriginService
from .versions.version_register import VersionRegister

__all__ = ["TargetsReader", "current_s"]


POLL_SHARE = 0.3
"""Interval of reads of the targets, as a share of the time for which a
draining target still takes requests, so that it is noticed well before. The
reads are not long polls, which would return at every registration."""


CURRENT_INTERVALS = 2.5
"""Age of the listing up to which it counts as current, in intervals; one late
read doesn't count as a failed one."""


def current_s(drain_s: float) -> float:
    """Returns the age up to which the listing of targets counts as current.

    Args:
        drain_s: Seconds for which a draining target still takes requests.
    """
    return drain_s * POLL_SHARE * CURRENT_INTERVALS


class TargetsReader:
    """Reads the targets and tells what follows their software versions.

    Args:
        view: Holds the registrations.
        stream_origins: Learns of each read.
        version_register: Records the versions that a read brings.
        drain_s: Seconds for which a draining target still takes requests.
        logger: Receives reads that end with an exception.

    Attributes:
        interval_s: Seconds between two regular reads.
    """

    def __init__(
        self,
        *,
        view: StoreView,
        stream_origins: StreamOriginService,
        version_register: VersionRegister,
        drain_s: float,
        logger: Logger,
    ) -> None:
        self._view = view
        self._stream_origins = stream_origins
        self._version_register = version_register
        self.interval_s = drain_s * POLL_SHARE
        self._reads = SharedRead(self._read, logger)

    def ask(self) -> Deferred[bool]:
        """Returns whether a read that starts from now on succeeds."""
        return self._reads.ask()

    async def poll(self) -> None:
        """Reads the targets once; the next poll brings what is left."""
        self._observe(await self._view.read_targets())

    async def _read(self) -> bool:
        succeeded = await self._view.read_all_targets()
        self._observe(succeeded)
        return succeeded

    def _observe(self, succeeded: bool) -> None:
        if not succeeded:
            self._stream_origins.targets_unreadable()
            return
        self._stream_origins.observe_targets(
            self._view.targets_read_at, listed_at=self._view.targets_listed_at
        )
        self._version_register.notice_versions()
