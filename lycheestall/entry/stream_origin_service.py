"""Finds the software version at which a resumed stream has to go on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from ..conversations import CopyCandidate, choose_copy_holders
from ..logs import Logger
from .configuration import ServiceId
from .members import Member, Members
from .origin_journal import OriginJournal
from .origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from .origin_search import OriginLookup, OriginSearch, OriginSource
from .peer_messages import PeerMessage, PeerReply, Understood
from .peer_rpc import PeerClient
from .software_versions import RecentVersions, SoftwareVersions
from .store import Store
from .stream_origins import (
    UNNAMED_STREAM,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from .target_table import TargetRegistration, TargetTable
from .token_ledger import HolderId

__all__ = ["StreamOriginService"]

HOLDERS = 2
"""Other VMs that remember a stream's origin, in different zones."""

HOLD_TIMEOUT_S = 0.25
"""Timeout for a peer to take note of an origin."""

CURRENT_S = 1.2
"""Age of the listing of the targets up to which it counts as current where
nobody waits for a new one: two of its usual intervals."""


class StreamOriginService:
    """Remembers where streams began, together with some other VMs.

    While a service runs one version only, nothing is sent: every VM that has
    followed the targets for long enough knows the version. Otherwise each VM
    tells two others as it forwards a stream's first event, so that the loss
    of the VM leaves the stream resumable, and writes it to the store soon
    after, for the loss of all VMs.

    Args:
        holder: This VM.
        table: The registered targets.
        members: The VMs of the system.
        store: The store.
        peers: Calls other VMs.
        read_targets: Reads the targets; returns whether that succeeded.
        clock: Tells the time.
        logger: Receives failed calls of the store.

    Attributes:
        versions: Which versions the services have run lately.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        table: TargetTable,
        members: Members,
        store: Store,
        peers: PeerClient,
        read_targets: Callable[[], Deferred[bool]],
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._read_targets = read_targets
        self._clock = clock
        self._origins = StreamOrigins()
        self._journal = OriginJournal(
            origins=self._origins,
            members=members,
            store=store,
            clock=clock,
            logger=logger,
        )
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
        origin = StreamOrigin(service, version)
        self._origins.add(stream, origin)
        if self._current(service, lifetime_s).only_possible == version:
            return
        self._tell(stream, origin, lifetime_s)

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
        stream = None if request_id is None else stream_key(request_id)
        known = None if stream is None else self._origins.get(stream)
        if known is not None and known.service != service:
            return OriginLookup(None, OriginSource.OTHER_SERVICE)
        if known is not None:
            return OriginLookup(known.software_version, OriginSource.MEMORY)
        search = self._search(stream, service, lifetime_s)
        lookup = await search.run()
        if stream is not None and search.origin is not None:
            self._origins.add(stream, search.origin)
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
            self.versions.note(
                origin.service, origin.software_version, self._clock.seconds()
            )
            return Understood()
        if isinstance(message, FindStreamOrigin):
            known = self._origins.get(message.stream)
            recent = self._current(message.service, message.lifetime_s)
            return FoundStreamOrigin(
                None if known is None else known.service,
                None if known is None else known.software_version,
                tuple(recent.versions),
                recent.complete,
            )
        return None

    def _tell(
        self, stream: StreamKey, origin: StreamOrigin, lifetime_s: float
    ) -> None:
        message = HoldStreamOrigin(
            stream, origin.service, origin.software_version
        )
        for member in self._ranked_peers(stream)[:HOLDERS]:
            self._peers.call(member.address, message, timeout_s=HOLD_TIMEOUT_S)
        recent = self._recent(origin.service, lifetime_s)
        if recent.only_possible is None:
            self._journal.add(stream, origin)

    def _search(
        self, stream: StreamKey | None, service: ServiceId, lifetime_s: float
    ) -> OriginSearch:
        key = UNNAMED_STREAM if stream is None else stream
        group = self._members.view().group_for(key.hex())
        return OriginSearch(
            stream,
            service,
            lifetime_s=lifetime_s,
            group=self._ranked_peers(key),
            in_group=self._holder in group,
            recent=lambda: self._recent(service, lifetime_s),
            remembered=lambda: self._origins.get(key),
            read_targets=self._read_targets,
            read_journal=self._journal.read.ask,
            peers=self._peers,
            clock=self._clock,
        )

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

    def _current(
        self, service: ServiceId, lifetime_s: float
    ) -> RecentVersions:
        """Returns the recent versions; complete only by a current listing."""
        recent = self._recent(service, lifetime_s)
        age_s = self.versions.read_age_s(self._clock.seconds())
        return RecentVersions(
            recent.versions, recent.complete and age_s <= CURRENT_S
        )
