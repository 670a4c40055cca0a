"""Which groups of VMs are known to have no unrecorded grants."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from ...ids import ProgramId
from ..membership import GroupId, Members
from ..outage import OutageTracker
from ..peer_rpc import PeerClient
from ..token_ledger import HolderId
from ..token_messages import AskSettled, SettledReport

__all__ = ["SettledGroups"]

RECOVERY_LIMIT_S = 60.0
"""Seconds after an outage in which programs may be running whose grants are
unrecorded."""

MAX_STEP_GAP_S = 0.6
"""Longest pause between two steps after which a VM still vouches that it
missed no outage; a survey of its peers takes about as long."""

REPLY_TIMEOUT_S = 0.3
"""Timeout of a peer's reply."""

ASK_AGAIN_S = 0.5
"""Seconds for which a group is not asked again."""


class SettledGroups:
    """Remembers that no grant of a group is unrecorded, and tells other VMs.

    Turns are granted without the ledger only in an outage. So once all grants
    of a group are recorded, a VM knows that this stays so until the next
    outage, whichever VMs are lost meanwhile. A VM that has started since can
    ask it.

    Args:
        holder: This VM's ID in the ledger.
        outage: Tracks outages of the store.
        members: The VMs of the system.
        peers: Calls other VMs.
        clock: Provides the time.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        outage: OutageTracker,
        members: Members,
        peers: PeerClient,
        clock: Any,
    ) -> None:
        self._holder = holder
        self._outage = outage
        self._members = members
        self._peers = peers
        self._clock = clock
        self._groups: set[GroupId] = set()
        self._began_at = float("inf")
        self._stepped_at = float("inf")
        self._suspended_at = float("-inf")
        self._asked_at: dict[GroupId, float] = {}
        self._waiting: dict[GroupId, list[Deferred[None]]] = {}

    def begin(self) -> None:
        """Notes that grants may be unrecorded from now on."""
        self._began_at = self._clock.seconds()
        self._stepped_at = self._began_at
        self._groups.clear()
        self._asked_at.clear()

    def suspended(self) -> bool:
        """Detects a suspension in which this VM may have missed an outage.

        Returns true only once for each suspension: the call starts the
        measurement anew.
        """
        now = self._clock.seconds()
        if now - self._stepped_at <= MAX_STEP_GAP_S:
            return False
        self._suspended_at = self._stepped_at = now
        return True

    def step(self) -> None:
        """Notes that this VM runs, and which lost VMs left no grants."""
        self._stepped_at = self._clock.seconds()
        for group in self._members.crashed_groups():
            if self._vouches_for(group):
                self._members.excuse_crashed(group)

    def add(self, program: ProgramId) -> None:
        """Notes that all grants of a program's group are recorded."""
        self._groups.add(self._members.view().group_id(program))

    def has(self, program: ProgramId) -> bool:
        """Returns whether all grants of a program's group are recorded."""
        return self._members.view().group_id(program) in self._groups

    def vouches_for_member(self, holder: HolderId) -> bool:
        """Returns whether a member was granted nothing that is unrecorded.

        Args:
            holder: The member.
        """
        groups = [group for group in self._members.view().groups if group]
        for number, group in enumerate(groups):
            if holder in group:
                return self._vouches_for(GroupId(number, len(groups)))
        return False

    def reply(self, message: AskSettled) -> SettledReport:
        """Returns whether all grants of a group are recorded."""
        group = GroupId(message.group, message.groups)
        return SettledReport(self._holder, self._vouches_for(group))

    def ask(self, program: ProgramId) -> Deferred[None]:
        """Asks the VMs of a program's group.

        Returns:
            A Deferred that fires if one of them vouches for the group.
        """
        view = self._members.view()
        group = view.group_id(program)
        waiting: Deferred[None] = Deferred(
            lambda done: self._stop_waiting(group, done)
        )
        self._waiting.setdefault(group, []).append(waiting)
        now = self._clock.seconds()
        if now - self._asked_at.get(group, float("-inf")) < ASK_AGAIN_S:
            return waiting
        self._asked_at[group] = now
        message = AskSettled(self._holder, group.number, group.groups)
        for holder in view.group_for(program):
            member = self._members.get(holder)
            if member is None or holder == self._holder:
                continue
            reply = self._peers.call(
                member.address, message, timeout_s=REPLY_TIMEOUT_S
            )
            reply.addCallback(self._replied, group, self._began_at)
        return waiting

    def _stop_waiting(self, group: GroupId, waiting: Deferred[None]) -> None:
        others = [d for d in self._waiting.pop(group, []) if d is not waiting]
        if others:
            self._waiting[group] = others

    def _replied(self, reply: Any, group: GroupId, began_at: float) -> None:
        if not isinstance(reply, SettledReport) or not reply.settled:
            return
        if self._outage.participated or self._began_at != began_at:
            return
        self._groups.add(group)
        for waiting in self._waiting.pop(group, []):
            waiting.callback(None)

    def _vouches_for(self, group: GroupId) -> bool:
        now = self._clock.seconds()
        if self._outage.participated:
            return False
        if now - self._stepped_at > MAX_STEP_GAP_S:
            return False
        if now - self._suspended_at < RECOVERY_LIMIT_S:
            return False
        if now - self._began_at > RECOVERY_LIMIT_S:
            return True
        return group in self._groups
