"""Finds the software version at which a resumed stream has to go on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from .._waiting import result_within
from ..conversations import CopyCandidate, choose_copy_holders
from ..logs import Logger
from .configuration import ServiceId
from .membership import Member, Members
from .origin_journal import OriginJournal
from .origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from .origin_search import OriginLookup, OriginSearch, OriginSource
from .peer_messages import PeerMessage, PeerReply, Understood
from .peer_rpc import PeerClient
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
from .versions.software_versions import (
    RECORDED_S,
    RecentVersions,
    SoftwareVersions,
)

__all__ = ["StreamOriginService"]

HOLDERS = 2
"""Other VMs that remember a stream's origin, in different zones."""

HOLD_TIMEOUT_S = 0.25
"""Timeout for a peer to take note of an origin."""

CHECKED_S = 0.05
"""Age of the listing up to which a stream goes on at a target by it; much
shorter than a target takes to start again."""

CHECK_TIMEOUT_S = 0.1
"""Timeout for reading the targets before a stream goes on. If nobody can read
them, no target can register at another version either."""

MAX_TOLD_AT_ONCE = 100
"""Streams that others are told of in one go; each message may open a
connection."""

MAX_UNTOLD = 10_000
"""Streams that others are told of only if a second version comes."""


@dataclass(frozen=True, slots=True)
class _UntoldStream:
    """A stream that no other VM has been told of.

    Attributes:
        origin: Where it began.
        lifetime_s: Seconds for which callers may resume it.
        expires_at: When that ends.
    """

    origin: StreamOrigin
    lifetime_s: float
    expires_at: float


class StreamOriginService:
    """Remembers where streams began, together with some other VMs.

    While a service runs one version only, nothing is sent: every VM that has
    followed the targets for long enough knows the version. Otherwise each VM
    tells two others as it forwards a stream's first event, so that the loss
    of the VM leaves the stream resumable, and writes it to the store soon
    after, for the loss of all VMs. When a second version comes, or the VM can
    no longer read the targets, it does so for the streams that began before
    and have not ended.

    Args:
        holder: This VM.
        table: The registered targets.
        members: The VMs of the system.
        store: The store.
        peers: Calls other VMs.
        read_targets: Reads the targets; returns whether that succeeded.
        current_s: Age of the listing of the targets up to which it counts as
            current where nobody waits for a new one.
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
        current_s: float,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._read_targets = read_targets
        self._current_s = current_s
        self._longest_lifetime_s = 0.0
        self._clock = clock
        self._origins = StreamOrigins()
        self._untold: dict[StreamKey, _UntoldStream] = {}
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
        self._longest_lifetime_s = max(
            self._longest_lifetime_s, min(lifetime_s, RECORDED_S)
        )
        service = registration.service
        version = registration.software_version
        stream = stream_key(request_id)
        origin = StreamOrigin(service, version)
        self._origins.add(stream, origin)
        if not self._is_only_version(origin, lifetime_s):
            self._tell(stream, origin)
            return
        expires_at = self._clock.seconds() + lifetime_s
        self._untold[stream] = _UntoldStream(origin, lifetime_s, expires_at)
        if len(self._untold) > MAX_UNTOLD:
            del self._untold[next(iter(self._untold))]

    def ended(self, request_id: bytes) -> None:
        """Notes that a caller has received the whole stream of a request."""
        self._untold.pop(stream_key(request_id), None)

    def observe_targets(self, read_at: float, *, listed_at: float) -> None:
        """Notes what a read of the targets has brought.

        Args:
            read_at: When the last read started.
            listed_at: When the last listing started.
        """
        self.versions.observe(read_at, listed_at=listed_at)
        self.tell_due()

    def targets_unreadable(self) -> None:
        """Notes that a read of the targets has failed."""
        self.versions.read_failed()
        self.tell_due()

    def tell_due(self) -> None:
        """Tells others of streams whose version is no longer the only one."""
        now = self._clock.seconds()
        told = 0
        is_only: dict[tuple[StreamOrigin, float], bool] = {}
        for stream, untold in list(self._untold.items()):
            if untold.expires_at <= now:
                del self._untold[stream]
                continue
            key = (untold.origin, untold.lifetime_s)
            if key not in is_only:
                is_only[key] = self._is_only_version(*key)
            if is_only[key]:
                continue
            del self._untold[stream]
            self._tell(stream, untold.origin)
            told += 1
            if told == MAX_TOLD_AT_ONCE:
                return

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

    async def check_targets(self) -> None:
        """Reads the targets unless they have just been read."""
        age_s = self.versions.read_age_s(self._clock.seconds())
        if age_s > CHECKED_S:
            await result_within(
                self._read_targets(), CHECK_TIMEOUT_S, self._clock
            )

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

    def _tell(self, stream: StreamKey, origin: StreamOrigin) -> None:
        message = HoldStreamOrigin(
            stream, origin.service, origin.software_version
        )
        for member in self._ranked_peers(stream)[:HOLDERS]:
            self._peers.call(member.address, message, timeout_s=HOLD_TIMEOUT_S)
        if not self._runs_one_version(origin.service):
            self._journal.add(stream, origin)

    def _search(
        self, stream: StreamKey | None, service: ServiceId, lifetime_s: float
    ) -> OriginSearch:
        key = UNNAMED_STREAM if stream is None else stream
        return OriginSearch(
            stream,
            service,
            lifetime_s=lifetime_s,
            group=self._ranked_peers(key),
            has_followed=self.versions.has_followed(
                self._lifetime_s(lifetime_s), self._clock.seconds()
            ),
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

    def _is_only_version(
        self, origin: StreamOrigin, lifetime_s: float
    ) -> bool:
        """Returns whether any VM would find the version without being told."""
        current = self._current(origin.service, lifetime_s)
        if current.only_possible != origin.software_version:
            return False
        return self._runs_one_version(origin.service)

    def _runs_one_version(self, service: ServiceId) -> bool:
        # A VM that has just started counts all recorded versions.
        return len(self._recent(service, RECORDED_S).versions) == 1

    def _recent(self, service: ServiceId, lifetime_s: float) -> RecentVersions:
        return self.versions.recent(
            service,
            self._clock.seconds(),
            lifetime_s=self._lifetime_s(lifetime_s),
        )

    def _lifetime_s(self, lifetime_s: float) -> float:
        # A caller that comes late gives only what is left of its deadline.
        return max(lifetime_s, self._longest_lifetime_s)

    def _current(
        self, service: ServiceId, lifetime_s: float
    ) -> RecentVersions:
        """Returns the recent versions; complete only by a current listing."""
        recent = self._recent(service, lifetime_s)
        age_s = self.versions.read_age_s(self._clock.seconds())
        current = self.versions.readable and age_s <= self._current_s
        return RecentVersions(recent.versions, recent.complete and current)
