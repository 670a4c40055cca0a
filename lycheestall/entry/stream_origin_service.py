"""Finds the software version at which a resumed stream has to go on."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..clock import Clock
from ..conversations import CopyCandidate, choose_copy_holders
from ..ids import SoftwareVersion
from .configuration import ServiceId
from .members import Member, Members
from .origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from .peer_messages import PeerMessage, PeerReply, Understood
from .peer_rpc import PeerClient, call_all
from .software_versions import RecentVersions, SoftwareVersions
from .stream_origins import (
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from .target_table import TargetRegistration, TargetTable
from .token_ledger import HolderId

__all__ = ["OriginLookup", "OriginSource", "StreamOriginService"]

HOLDERS = 2
"""Other VMs that remember a stream's origin, in different zones."""

ASKED_FIRST = 3
"""VMs asked first; one more than the holders, in case one was restarted."""

HOLD_TIMEOUT_S = 0.25
"""Timeout for a peer to take note of an origin."""

FIND_TIMEOUT_S = 0.12
"""Timeout for a peer to say what it knows of an origin."""


class OriginSource(Enum):
    """How the version that began a stream was found."""

    MEMORY = "memory"
    PEERS = "peers"
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
    """

    software_version: SoftwareVersion | None
    source: OriginSource
    asked: int = 0
    replied: int = 0


class StreamOriginService:
    """Remembers where streams began, together with some other VMs.

    While a service runs one version only, nothing is sent: every VM that has
    followed the targets for long enough knows the version. Otherwise each VM
    tells two others as it forwards a stream's first event, so that the loss
    of the VM leaves the stream resumable.

    Args:
        holder: This VM.
        table: The registered targets.
        members: The VMs of the system.
        peers: Calls other VMs.
        clock: Tells the time.

    Attributes:
        versions: Which versions the services have run lately.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        table: TargetTable,
        members: Members,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._clock = clock
        self._origins = StreamOrigins()
        self.versions = SoftwareVersions(table)

    def record(
        self,
        request_id: bytes,
        registration: TargetRegistration,
        *,
        lifetime_s: float,
    ) -> None:
        """Remembers that a target has sent a stream's first event.

        Args:
            request_id: ID of the request that receives it.
            registration: The target.
            lifetime_s: Seconds for which callers may resume the stream.
        """
        service = registration.service
        version = registration.software_version
        stream = stream_key(request_id)
        self._origins.add(stream, StreamOrigin(service, version))
        if self._recent(service, lifetime_s).only_possible == version:
            return
        message = HoldStreamOrigin(stream, service, version)
        for member in self._ranked_peers(stream)[:HOLDERS]:
            self._peers.call(member.address, message, timeout_s=HOLD_TIMEOUT_S)

    async def find(
        self,
        request_id: bytes | None,
        service: ServiceId,
        *,
        lifetime_s: float,
    ) -> OriginLookup:
        """Finds the version that began a stream.

        Args:
            request_id: ID of the request that received its first event; None
                if the caller does not say.
            service: Service at which the stream is to go on.
            lifetime_s: Seconds for which callers may resume the stream.
        """
        if request_id is None:
            return self._find_unnamed(service, lifetime_s)
        stream = stream_key(request_id)
        origin = self._origins.get(stream)
        if origin is not None:
            return _lookup_of(origin, service, OriginSource.MEMORY)
        message = FindStreamOrigin(stream, service, lifetime_s)
        peers = self._ranked_peers(stream)
        replies: list[FoundStreamOrigin] = []
        asked = 0
        for members in (peers[:ASKED_FIRST], peers[ASKED_FIRST:]):
            asked += len(members)
            replies += await self._ask(members, message)
            origin = _origin_in(replies)
            if origin is not None:
                self._origins.add(stream, origin)
                return _lookup_of(
                    origin,
                    service,
                    OriginSource.PEERS,
                    asked=asked,
                    replied=len(replies),
                )
            lookup = self._without_origin(message, replies, asked=asked)
            if lookup.software_version is not None:
                return lookup
        return lookup

    def handle_message(
        self, message: PeerMessage | PeerReply
    ) -> PeerReply | None:
        """Returns the reply to a peer's message about a stream's origin.

        Returns:
            None if the message is about something else.
        """
        if isinstance(message, HoldStreamOrigin):
            origin = StreamOrigin(message.service, message.software_version)
            self._origins.add(message.stream, origin)
            return Understood()
        if isinstance(message, FindStreamOrigin):
            known = self._origins.get(message.stream)
            recent = self._recent(message.service, message.lifetime_s)
            return FoundStreamOrigin(
                None if known is None else known.service,
                None if known is None else known.software_version,
                tuple(recent.versions),
                recent.complete,
            )
        return None

    def _find_unnamed(
        self, service: ServiceId, lifetime_s: float
    ) -> OriginLookup:
        # Such a caller knows nothing of versions. It is served wherever no
        # second one has been seen, also by a VM that has just started.
        version = self._recent(service, lifetime_s).only_seen
        if version is None:
            return OriginLookup(None, OriginSource.UNKNOWN)
        return OriginLookup(version, OriginSource.SOLE_VERSION)

    def _without_origin(
        self,
        message: FindStreamOrigin,
        replies: Sequence[FoundStreamOrigin],
        *,
        asked: int,
    ) -> OriginLookup:
        # No VM remembers the stream, but together they may know that only
        # one version can have begun it.
        recent = self._recent(message.service, message.lifetime_s).merge(
            RecentVersions(
                frozenset(reply.recent_versions), reply.recent_complete
            )
            for reply in replies
        )
        version = recent.only_possible
        source = OriginSource.SOLE_VERSION
        if version is None:
            source = OriginSource.UNKNOWN
        return OriginLookup(version, source, asked, len(replies))

    async def _ask(
        self, members: Sequence[Member], message: FindStreamOrigin
    ) -> list[FoundStreamOrigin]:
        replies = await call_all(
            self._peers, members, message, timeout_s=FIND_TIMEOUT_S
        )
        return [r for r in replies if isinstance(r, FoundStreamOrigin)]

    def _ranked_peers(self, stream: StreamKey) -> list[Member]:
        """Returns the VMs that may remember a stream, the likeliest first.

        A VM that began it leaves out itself. So either it is among the first
        ones that another VM asks, or those that it has told are.
        """
        key = stream.hex()
        group = self._members.view().group_for(key)
        member_by_name: dict[str, Member] = {}
        for name in group:
            member = self._members.get(name)
            if member is not None and name != self._holder:
                member_by_name[name] = member
        candidates = [
            CopyCandidate(name, member.zone)
            for name, member in member_by_name.items()
        ]
        names = choose_copy_holders(key, candidates, len(candidates))
        return [member_by_name[name] for name in names]

    def _recent(self, service: ServiceId, lifetime_s: float) -> RecentVersions:
        return self.versions.recent(
            service, self._clock.seconds(), lifetime_s=lifetime_s
        )


def _origin_in(replies: Sequence[FoundStreamOrigin]) -> StreamOrigin | None:
    for reply in replies:
        if reply.service is not None and reply.software_version is not None:
            return StreamOrigin(reply.service, reply.software_version)
    return None


def _lookup_of(
    origin: StreamOrigin,
    service: ServiceId,
    source: OriginSource,
    *,
    asked: int = 0,
    replied: int = 0,
) -> OriginLookup:
    if origin.service != service:
        return OriginLookup(None, OriginSource.OTHER_SERVICE, asked, replied)
    return OriginLookup(origin.software_version, source, asked, replied)
