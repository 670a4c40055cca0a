"""Hands over unrecorded grants when a VM shuts down, and takes them over."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ...ids import ProgramId
from ...rendezvous import rendezvous
from ..membership import Members
from ..outage import OutageTracker
from ..peer_messages import Handover, HandoverGrants
from ..peer_rpc import PeerClient, call_all
from ..token_ledger import HolderId, TurnRef
from ..token_messages import UNNAMED_TURN, OutageGrant
from ..unrecorded_grants import TurnGrant, UnrecordedGrants
from .member_records import MemberRecords

__all__ = ["GrantHandover"]

HANDOVER_TIMEOUT_S = 0.4
"""Timeout for a peer to take over this VM's grants."""


class GrantHandover:
    """Moves grants from VMs that shut down to the others.

    Args:
        holder: This VM's ID in the ledger.
        members: The VMs of the system.
        grants: Unrecorded grants.
        outage: Tracks outages of the store.
        records: Writes the records of members.
        peers: Calls other VMs.
        clock: Provides the time.

    Attributes:
        handed_over: Whether this VM has handed over its grants and decides on
            no program any more.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        grants: UnrecordedGrants,
        outage: OutageTracker,
        records: MemberRecords,
        peers: PeerClient,
        clock: Any,
    ) -> None:
        self._holder = holder
        self._members = members
        self._grants = grants
        self._outage = outage
        self._records = records
        self._peers = peers
        self._clock = clock
        self._named_by: set[HolderId] = set()
        self.handed_over = False

    async def hand_over(self) -> None:
        """Tells all other VMs what this VM knows of and that it leaves."""
        self.handed_over = True
        grants = tuple(self._grants.all())
        others = [
            member
            for member in self._members.all()
            if member.holder != self._holder
        ]
        messages = (
            HandoverGrants(self._holder, grants),
            Handover(self._holder, _tokens_by_holder(grants)),
        )
        for message in messages:
            await call_all(
                self._peers, others, message, timeout_s=HANDOVER_TIMEOUT_S
            )

    def take_grants(self, message: HandoverGrants) -> None:
        """Takes over the grants of a VM that shuts down."""
        self._named_by.add(message.holder)
        self._grants.add_all(message.grants, now=self._clock.seconds())

    def take_over(self, message: Handover) -> None:
        """Decides in place of a VM that shuts down.

        Takes over its grants if it has not named their turns, as VMs of an
        earlier build don't.
        """
        self._outage.mark_handed_over(message.holder)
        if message.holder in self._named_by:
            return
        for grant in message.grants:
            turn = TurnRef(grant.holder, UNNAMED_TURN)
            self._grants.add(
                TurnGrant(grant.program, turn, grant.tokens),
                now=self._clock.seconds(),
            )

    def remove_members_that_left(self) -> None:
        """Records that VMs have left that shut down in an outage.

        Without the store they could not write that themselves, and would count
        as crashed. One of the others is enough.
        """
        gone = self._outage.handed_over
        others = [
            member.holder
            for member in self._members.all()
            if member.holder not in gone
        ]
        for holder in gone:
            if self._members.get(holder) is None:
                continue
            if rendezvous(holder, others) == self._holder:
                self._records.remove(holder)


def _tokens_by_holder(grants: Iterable[TurnGrant]) -> tuple[OutageGrant, ...]:
    tokens: dict[tuple[ProgramId, HolderId], int] = {}
    for grant in grants:
        key = (grant.program, grant.turn.holder)
        tokens[key] = tokens.get(key, 0) + grant.tokens
    return tuple(OutageGrant(*key, total) for key, total in tokens.items())
