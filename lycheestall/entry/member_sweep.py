"""Finds members that have gone without a departure and stay away."""

from __future__ import annotations

from ..logs import Logger
from .members import Member, Members
from .peer_link import PeerCaller
from .peer_messages import Survey
from .token_ledger import HolderId

__all__ = ["SWEEP_S", "MemberSweep"]

SWEEP_S = 10.0
"""Seconds between two calls to the next member of the group."""

MISSES = 3
"""Calls in a row without an answer after which a member counts as gone."""

SWEEP_TIMEOUT_S = 1.0
"""Longest time for such a call."""


class MemberSweep:
    """Watches the member that follows this one in its group.

    A member that is gone for good would otherwise count against a
    majority in the next outage, and its programs would have no decider.

    Args:
        holder: This VM's name in the ledger.
        members: The VMs of the system.
        peers: Calls them.
        logger: Where members that are gone are logged.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerCaller,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._logger = logger
        self._watched: HolderId | None = None
        self._misses = 0

    async def step(self) -> HolderId | None:
        """Calls the watched member; returns it once it is gone."""
        member = self._next()
        if member is None:
            return None
        if member.holder != self._watched:
            self._watched = member.holder
            self._misses = 0
        message = Survey(self._holder, self._members.view().digest)
        reply = await self._peers.call(
            member.address, message, timeout_s=SWEEP_TIMEOUT_S
        )
        if reply is not None:
            self._misses = 0
            return None
        self._misses += 1
        if self._misses < MISSES:
            return None
        self._misses = 0
        self._logger.warning("member gone", member=member.holder)
        return member.holder

    def _next(self) -> Member | None:
        cell = self._members.view().cell_of(self._holder)
        if len(cell) < 2:
            return None
        following = cell[(cell.index(self._holder) + 1) % len(cell)]
        return self._members.get(following)
