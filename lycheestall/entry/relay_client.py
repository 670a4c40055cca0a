"""Has attempts sent by peers where this VM's own links are lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..ids import TargetId
from .attempt import StreamSink
from .attempt_messages import AskLinks, LinkReport
from .header_codec import HeaderCodec
from .http_messages import ResponseHead
from .membership import Member, Members
from .message_metadata import ResponseMetadata
from .peer_rpc import PeerClient, call_all
from .relay_peers import RelayPeers
from .relayed_attempt import RelayedAttempt
from .target_links import TargetLinks
from .token_ledger import HolderId
from .vm_settings import EntrySettings

__all__ = ["MAX_PEERS_ASKED", "RelayClient"]

SURVEY_INTERVAL_S = 0.4
"""Seconds between questions to the peers while links are lost."""

SURVEY_TIMEOUT_S = 0.2
"""Timeout of a peer's report."""

MAX_PEERS_ASKED = 4
"""Peers that are asked to send one attempt, one after the other."""


class RelayClient:
    """Knows which peers reach targets, and starts attempts through them.

    Args:
        holder: This VM.
        settings: Settings of this VM.
        members: The VMs of the system.
        peers: Calls them.
        links: Which links of this VM work.
        headers: Parses the headers of responses.
        clock: Tells the time.

    Attributes:
        holder: This VM.
        relay_peers: Ranks the peers.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        settings: EntrySettings,
        members: Members,
        peers: PeerClient,
        links: TargetLinks,
        headers: HeaderCodec,
        clock: Any,
    ) -> None:
        self.holder = holder
        self._members = members
        self._peers = peers
        self._links = links
        self._headers = headers
        self._clock = clock
        self._surveyed_at = float("-inf")
        self.relay_peers = RelayPeers(
            holder=holder, zone=settings.zone, members=members
        )

    @property
    def isolated(self) -> bool:
        """Whether neither this VM nor a peer is known to reach any target."""
        if not self._links.all_lost:
            return False
        return not self.relay_peers.any_may_help(self._clock.seconds())

    def choose(
        self,
        target: TargetId,
        *,
        avoid: set[HolderId],
        elsewhere: bool = False,
    ) -> Member | None:
        """Returns the peer to send an attempt; None if there is none.

        Args:
            target: The target of the attempt.
            avoid: Peers that did not take it.
            elsewhere: Whether a peer in another zone is preferred.
        """
        return self.relay_peers.choose(
            target,
            avoid=avoid,
            now=self._clock.seconds(),
            elsewhere=elsewhere,
        )

    def in_other_zone(self, member: Member) -> bool:
        """Returns whether a peer is in another zone than this VM."""
        return self.relay_peers.in_other_zone(member)

    def create_attempt(
        self,
        member: Member,
        *,
        sink: StreamSink | None,
        on_response: Callable[[ResponseHead, ResponseMetadata], None],
    ) -> RelayedAttempt:
        """Returns an attempt that a peer sends.

        Args:
            member: The peer.
            sink: Receives a successful stream; None if the response is
                buffered.
            on_response: Called with the head of the target's response.
        """
        return RelayedAttempt(
            self._peers.pool(member.address),
            self._headers,
            sink=sink,
            on_response=on_response,
        )

    def report_age_s(self, member: Member) -> float:
        """Returns the age of a peer's report; infinite without one."""
        return self.relay_peers.age_s(member.holder, self._clock.seconds())

    def shun(self, member: Member) -> None:
        """Notes that a peer did not take an attempt."""
        self.relay_peers.shun(member.holder, self._clock.seconds())

    async def survey(self) -> None:
        """Asks the peers which targets they reach, unless it just has."""
        now = self._clock.seconds()
        self.relay_peers.remove_expired(now)
        if now - self._surveyed_at < SURVEY_INTERVAL_S:
            return
        self._surveyed_at = now
        members = self._members.group_peers(self.holder)
        reports = await call_all(
            self._peers,
            members,
            AskLinks(self.holder),
            timeout_s=SURVEY_TIMEOUT_S,
        )
        self._add_reports(members, reports)

    def _add_reports(self, members: list[Member], reports: list[Any]) -> None:
        now = self._clock.seconds()
        heard: set[HolderId] = set()
        for report in reports:
            if not isinstance(report, LinkReport):
                continue
            heard.add(report.holder)
            self.relay_peers.add_report(report, now)
        for member in members:
            if member.holder not in heard:
                self.relay_peers.shun(member.holder, now)
