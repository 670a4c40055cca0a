"""Lets another VM read records that allocate much of a budget at once."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from ...ids import Offset
from ..ledger_messages import ReadLedger
from ..membership import Member, Members
from ..peer_messages import PeerReply, Understood
from ..peer_rpc import PeerClient
from ..store import StoreFailed
from ..token_ledger import HolderId
from ..topic_follower import TopicFollower

__all__ = ["LedgerReaders"]

READERS = 3
"""Peers that are asked at once; the first reply is enough."""

NEXT_READERS_S = 0.02
"""Seconds after which more peers are asked, in case the first are lost."""

READ_TIMEOUT_S = 0.15
"""Longest wait for a peer that has read the records."""


class LedgerReaders:
    """Asks peers to read the ledger, and reads it for them.

    If this VM falls silent in an outage, the others then know all that it has
    allocated but for a part that is limited.

    Args:
        holder: This VM's ID in the ledger.
        members: The VMs of the system.
        peers: Calls other VMs.
        follower: Reads the ledger.
        clock: Times the calls.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerClient,
        follower: TopicFollower,
        clock: Any,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._follower = follower
        self._clock = clock
        self._replied_last: HolderId | None = None

    def confirm(self) -> Deferred[bool]:
        """Returns whether another VM has read what this VM has read.

        The VMs of the group are asked a few at a time. The result is false if
        none replies in time, and true if this VM is alone in its group.
        """
        others = self._members.group_peers(self._holder)
        # The one that replied last is most likely to reply again.
        others.sort(key=lambda member: member.holder != self._replied_last)
        confirmed: Deferred[bool] = Deferred()
        self._clock.callLater(READ_TIMEOUT_S, _finish, False, confirmed)
        position = self._follower.position or Offset(0)
        self._ask(others, ReadLedger(self._holder, position), confirmed)
        if not others:
            _finish(True, confirmed)
        return confirmed

    def _ask(
        self,
        members: list[Member],
        message: ReadLedger,
        confirmed: Deferred[bool],
    ) -> None:
        if confirmed.called or not members:
            return
        for member in members[:READERS]:
            reply = self._peers.call(
                member.address, message, timeout_s=READ_TIMEOUT_S
            )
            reply.addCallback(self._replied, member, confirmed)
        self._clock.callLater(
            NEXT_READERS_S, self._ask, members[READERS:], message, confirmed
        )

    def _replied(
        self, reply: Any, member: Member, confirmed: Deferred[bool]
    ) -> None:
        if isinstance(reply, Understood):
            self._replied_last = member.holder
            _finish(True, confirmed)

    async def read(self, message: ReadLedger) -> PeerReply:
        """Reads the ledger up to a peer's position."""
        if await self._follower.read_until(Offset(message.until - 1)):
            return Understood()
        return StoreFailed("ledger not read up to the position")


def _finish(result: bool, confirmed: Deferred[bool]) -> None:
    if not confirmed.called:
        confirmed.callback(result)
