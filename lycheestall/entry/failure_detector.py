"""Detects members that have stopped replying without leaving."""

from __future__ import annotations

from ..logs import Logger
from .membership import Member, Members
from .peer_messages import Survey
from .peer_rpc import PeerClient
from .token_ledger import HolderId

__all__ = [
    "MEMBER_CHECK_INTERVAL_S",
    "MISSES_UNTIL_FAILED",
    "FailureDetector",
]

MEMBER_CHECK_INTERVAL_S = 10.0
"""Seconds between two calls to the next member of the group."""

MISSES_UNTIL_FAILED = 3
"""Consecutive calls without a reply after which a member counts as failed."""

CHECK_TIMEOUT_S = 1.0
"""Timeout of such a call."""


class FailureDetector:
    """Monitors the member that follows this one in its group.

    In the next outage, a failed member would still count towards the size of a
    majority, and its programs would have no decider.

    Args:
        holder: This VM's ID in the ledger.
        members: The VMs of the system.
        peers: Calls them.
        logger: Receives failed members.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerClient,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._logger = logger
        self._monitored: HolderId | None = None
        self._misses = 0

    async def step(self) -> HolderId | None:
        """Calls the monitored member; returns its ID once it has failed."""
        member = self._next_member()
        if member is None:
            return None
        if member.holder != self._monitored:
            self._monitored = member.holder
            self._misses = 0
        message = Survey(self._holder, self._members.view().digest)
        reply = await self._peers.call(
            member.address, message, timeout_s=CHECK_TIMEOUT_S
        )
        if reply is not None:
            self._misses = 0
            return None
        self._misses += 1
        if self._misses < MISSES_UNTIL_FAILED:
            return None
        self._misses = 0
        self._logger.warning("member gone", member=member.holder)
        return member.holder

    def _next_member(self) -> Member | None:
        group = self._members.view().group_of(self._holder)
        if len(group) < 2:
            return None
        successor = group[(group.index(self._holder) + 1) % len(group)]
        return self._members.get(successor)
