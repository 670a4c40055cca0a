"""Copies of turns that VMs hold for each other."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from twisted.internet.defer import DeferredList

from ..conversations import (
    ConversationTurnId,
    CopyCandidate,
    choose_copy_holders,
)
from ..ids import ProgramId
from .membership import Member, Members
from .peer_rpc import PeerClient
from .token_ledger import HolderId
from .turn_messages import (
    FindTurns,
    FoundTurns,
    HeldTurn,
    HoldTurns,
)

__all__ = ["TurnCopies"]

HOLD_TIMEOUT_S = 0.25
"""Timeout for a peer to accept copies."""

FIND_TIMEOUT_S = 0.12
"""Timeout for a peer to return turns that it may hold."""


class TurnCopies:
    """Sends copies to other VMs and asks them for turns.

    Args:
        holder: This VM.
        members: The VMs of the system.
        peers: Calls them.
    """

    def __init__(
        self, holder: HolderId, members: Members, peers: PeerClient
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers

    def holders(self, program: ProgramId, count: int) -> list[Member]:
        """Returns the VMs that may hold a program's turns, best first.

        The VM that ran a turn sends copies to the first ones, leaving out
        itself. So either it is among the first ones of this list, which
        leaves out this VM, or its copies are.
        """
        member_by_name = {
            str(member.holder): member
            for member in self._members.all()
            if member.holder != self._holder
        }
        candidates = [
            CopyCandidate(name, member.zone)
            for name, member in member_by_name.items()
        ]
        names = choose_copy_holders(program, candidates, count)
        return [member_by_name[name] for name in names]

    def send(self, member: Member, turn: HeldTurn) -> None:
        """Sends a copy; whether it arrives makes no difference but time."""
        message = HoldTurns((turn,))
        self._peers.call(member.address, message, timeout_s=HOLD_TIMEOUT_S)

    async def find(
        self, members: Sequence[Member], turn_ids: Iterable[ConversationTurnId]
    ) -> tuple[list[HeldTurn], int]:
        """Asks VMs for turns.

        Args:
            members: The VMs to ask.
            turn_ids: The turns.

        Returns:
            The turns found, and the number of VMs that replied.
        """
        message = FindTurns(tuple(turn_ids))
        calls = [
            self._peers.call(member.address, message, timeout_s=FIND_TIMEOUT_S)
            for member in members
        ]
        replies = await DeferredList(calls, consumeErrors=True)
        found: list[HeldTurn] = []
        replied = 0
        for ok, reply in replies:
            if not ok or not isinstance(reply, FoundTurns):
                continue
            replied += 1
            found.extend(reply.turns)
        return found, replied

    def others(self) -> list[Member]:
        """Returns all other VMs."""
        return [
            member
            for member in self._members.all()
            if member.holder != self._holder
        ]
