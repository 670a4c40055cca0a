"""One search for the software version that began a resumed stream."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from twisted.internet.defer import Deferred

from .._waiting import result_within
from ..clock import Clock
from ..ids import SoftwareVersion
from .configuration import ServiceId
from .membership import Member
from .origin_messages import FindStreamOrigin, FoundStreamOrigin
from .peer_rpc import PeerClient, call_all
from .stream_origins import UNNAMED_STREAM, StreamKey, StreamOrigin
from .versions.software_versions import RecentVersions

__all__ = ["OriginLookup", "OriginSearch", "OriginSource"]

ASKED_FIRST = 3
"""VMs asked first; one more than those that are told, in case one of them was
restarted."""

FIND_TIMEOUT_S = 0.12
"""Timeout for a peer to say what it knows of an origin."""

READ_TIMEOUT_S = 0.3
"""Timeout for a read of the store that a search waits for."""


class OriginSource(Enum):
    """How the version that began a stream was found."""

    MEMORY = "memory"
    PEERS = "peers"
    STORE = "store"
    SOLE_VERSION = "sole version"
    OTHER_SERVICE = "other service"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OriginLookup:
    """What was found of a stream's origin.

    Attributes:
        software_version: The version at which the stream goes on; None if
            it can't go on.
        source: How it was found, or why not.
        asked: Number of VMs that were asked.
        replied: Number of VMs that replied.
        targets_read: Whether the targets were read after the search began.
        journal_read: Whether the origins in the store were read.
    """

    software_version: SoftwareVersion | None
    source: OriginSource
    asked: int = 0
    replied: int = 0
    targets_read: bool = False
    journal_read: bool = False


class OriginSearch:
    """Finds a stream's origin, or proves that only one version is possible.

    Peers that were told of the stream are asked first, then the store.

    A version is called the only one if no other can have begun the stream:

    * this VM or a peer has followed the targets for as long as the stream
      may last, or has read which versions there were before, and
    * this VM has read the targets after the search began, or all VMs have
      replied, so that nobody is left who may have read of another version.

    Silence proves nothing: a VM that hears neither store nor peers finds only
    what it remembers. Unless this VM has followed the targets itself, those
    that may remember the stream are asked in any case.

    Args:
        stream: The stream; None if the caller does not name it.
        service: Service at which the stream is to go on.
        lifetime_s: Seconds for which callers may resume the stream.
        group: The VMs that may know of it, without this one, the likeliest
            first.
        has_followed: Whether this VM itself has followed the targets for as
            long as the stream may last.
        recent: Returns the versions that this VM has seen lately.
        remembered: Returns the origin that this VM remembers.
        read_targets: Reads the targets; returns whether that succeeded.
        read_journal: Reads the origins in the store; returns whether that
            succeeded.
        peers: Calls other VMs.
        clock: Times the reads.
    """

    def __init__(
        self,
        stream: StreamKey | None,
        service: ServiceId,
        *,
        lifetime_s: float,
        group: Sequence[Member],
        has_followed: bool,
        recent: Callable[[], RecentVersions],
        remembered: Callable[[], StreamOrigin | None],
        read_targets: Callable[[], Deferred[bool]],
        read_journal: Callable[[], Deferred[bool]],
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._service = service
        self._lifetime_s = lifetime_s
        self._group = group
        self._has_followed = has_followed
        self._recent = recent
        self._remembered = remembered
        self._read_targets = read_targets
        self._read_journal = read_journal
        self._peers = peers
        self._clock = clock
        self._asked = 0
        self._replies: list[FoundStreamOrigin] = []
        self._targets_read = False
        self._journal_read = False

    async def run(self) -> OriginLookup:
        """Searches until the version is found or nobody is left to ask."""
        if self._has_followed and self._recent().only_possible is not None:
            self._targets_read = await self._within(self._read_targets())
            if self._targets_read and self._only_possible() is not None:
                return self._result()
        if self._stream is not None:
            await self._ask(self._group[:ASKED_FIRST])
            if self.origin is not None:
                return self._result()
        await self._read_and_ask()
        return self._result()

    async def _read_and_ask(self) -> None:
        """Reads what has not been read and asks the other VMs meanwhile."""
        targets = journal = None
        if not self._targets_read:
            targets = self._within(self._read_targets())
        if self._stream is not None:
            journal = self._within(self._read_journal())
        await self._ask(self._group[self._asked :])
        if targets is not None:
            self._targets_read = await targets
        if journal is not None:
            self._journal_read = await journal

    @property
    def origin(self) -> StreamOrigin | None:
        """The origin that a peer remembers."""
        for reply in self._replies:
            if reply.service is None or reply.software_version is None:
                continue
            return StreamOrigin(reply.service, reply.software_version)
        return None

    def _result(self) -> OriginLookup:
        source = OriginSource.PEERS
        origin = self.origin
        if origin is None:
            source = OriginSource.STORE
            origin = self._remembered()
        if origin is not None and origin.service != self._service:
            return self._lookup(None, OriginSource.OTHER_SERVICE)
        if origin is not None:
            return self._lookup(origin.software_version, source)
        version = self._only_possible()
        if version is None or not (self._targets_read or self._all_replied()):
            return self._lookup(None, OriginSource.UNKNOWN)
        return self._lookup(version, OriginSource.SOLE_VERSION)

    def _lookup(
        self, version: SoftwareVersion | None, source: OriginSource
    ) -> OriginLookup:
        return OriginLookup(
            version,
            source,
            asked=self._asked,
            replied=len(self._replies),
            targets_read=self._targets_read,
            journal_read=self._journal_read,
        )

    def _only_possible(self) -> SoftwareVersion | None:
        merged = self._recent().merge(
            RecentVersions(
                frozenset(reply.recent_versions), reply.recent_complete
            )
            for reply in self._replies
        )
        return merged.only_possible

    def _all_replied(self) -> bool:
        return self._asked == len(self._group) == len(self._replies)

    async def _ask(self, members: Sequence[Member]) -> None:
        self._asked += len(members)
        message = FindStreamOrigin(
            self._stream or UNNAMED_STREAM, self._service, self._lifetime_s
        )
        replies = await call_all(
            self._peers, members, message, timeout_s=FIND_TIMEOUT_S
        )
        self._replies += [
            reply for reply in replies if isinstance(reply, FoundStreamOrigin)
        ]

    def _within(self, read: Deferred[bool]) -> Deferred[bool]:
        result = result_within(read, READ_TIMEOUT_S, self._clock)
        return result.addCallback(bool)
