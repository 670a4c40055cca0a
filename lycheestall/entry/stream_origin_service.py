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
from .software_versions import SoftwareVersions
from .stream_origins import StreamOrigin, StreamOrigins
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
        self, request_id: bytes, registration: TargetRegistration
    ) -> None:
        """Remembers that a target has sent a stream's first event.

        Args:
            request_id: ID of the request that receives it.
            registration: The target.
        """
        service = registration.service
        version = registration.software_version
        self._origins.add(request_id, StreamOrigin(service, version))
        if self._sole_version(service) == version:
            return
        message = HoldStreamOrigin(request_id, service, version)
        for member in self._ranked_peers(request_id)[:HOLDERS]:
            self._peers.call(member.address, message, timeout_s=HOLD_TIMEOUT_S)

    async def find(
        self, request_id: bytes | None, service: ServiceId
    ) -> OriginLookup:
        """Finds the version that began a stream.

        Args:
            request_id: ID of the request that received its first event; None
                if the caller does not say.
            service: Service at which the stream is to go on.
        """
        if request_id is None:
            return self._without_origin(service, (), asked=0)
        origin = self._origins.get(request_id)
        if origin is not None:
            return _lookup_of(origin, service, OriginSource.MEMORY)
        peers = self._ranked_peers(request_id)
        replies: list[FoundStreamOrigin] = []
        asked = 0
        for some in (peers[:ASKED_FIRST], peers[ASKED_FIRST:]):
            asked += len(some)
            replies += await self._ask(some, request_id, service)
            origin = _origin_in(replies)
            if origin is not None:
                self._origins.add(request_id, origin)
                return _lookup_of(
                    origin,
                    service,
                    OriginSource.PEERS,
                    asked=asked,
                    replied=len(replies),
                )
            lookup = self._without_origin(service, replies, asked=asked)
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
            return FoundStreamOrigin(
                None if known is None else known.service,
                None if known is None else known.software_version,
                self._sole_version(message.service),
            )
        return None

    def _without_origin(
        self,
        service: ServiceId,
        replies: Sequence[FoundStreamOrigin],
        *,
        asked: int,
    ) -> OriginLookup:
        # No VM remembers the stream, but some may know that only one version
        # can have begun it.
        versions = {reply.sole_version for reply in replies}
        versions.add(self._sole_version(service))
        versions.discard(None)
        if len(versions) == 1:
            version, source = versions.pop(), OriginSource.SOLE_VERSION
        else:
            version, source = None, OriginSource.UNKNOWN
        return OriginLookup(version, source, asked, len(replies))

    async def _ask(
        self, members: Sequence[Member], request_id: bytes, service: ServiceId
    ) -> list[FoundStreamOrigin]:
        replies = await call_all(
            self._peers,
            members,
            FindStreamOrigin(request_id, service),
            timeout_s=FIND_TIMEOUT_S,
        )
        return [r for r in replies if isinstance(r, FoundStreamOrigin)]

    def _ranked_peers(self, request_id: bytes) -> list[Member]:
        """Returns the VMs that may remember a stream, the likeliest first.

        A VM that began it leaves out itself. So either it is among the first
        ones that another VM asks, or those that it has told are.
        """
        key = request_id.decode("latin-1")
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

    def _sole_version(self, service: ServiceId) -> SoftwareVersion | None:
        return self.versions.sole_version(service, self._clock.seconds())


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
