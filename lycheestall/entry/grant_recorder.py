"""Records grants for VMs that don't record them themselves."""

from __future__ import annotations

from typing import Any

from ..logs import Logger
from .ledger_writer import LedgerWriter
from .membership import Members
from .outage import OutageMode, OutageTracker
from .token_allocator import TokenAllocator
from .token_ledger import HolderId
from .topic_follower import TopicFollower
from .unrecorded_grants import TurnGrant, UnrecordedGrants

__all__ = ["GrantRecorder"]

OWN_RECORD_WINDOW_S = 0.7
"""Seconds after an outage in which each VM records its own turns. Shorter than
``outage.RECOVERY_S``, so that what VMs that are gone have been granted is
recorded by the time at which programs go on without their reply."""

NEXT_RECORDER_S = 0.4
"""Seconds after which the next VM of a group records a grant instead."""


class GrantRecorder:
    """Records the known grants that are still missing in the ledger.

    The VMs of a group do so one after the other, in the order in which they
    decide on the program, until the ledger names the turn.

    Args:
        holder: This VM's ID in the ledger.
        grants: Unrecorded grants.
        allocator: Receives the grants to record.
        writer: Writes them.
        follower: Reads the ledger.
        members: The VMs of the system.
        outage: Tracks outages of the store.
        clock: Provides the time.
        logger: Receives the grants recorded.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        grants: UnrecordedGrants,
        allocator: TokenAllocator,
        writer: LedgerWriter,
        follower: TopicFollower,
        members: Members,
        outage: OutageTracker,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._grants = grants
        self._allocator = allocator
        self._writer = writer
        self._follower = follower
        self._members = members
        self._outage = outage
        self._clock = clock
        self._logger = logger
        self._store_up_since: float | None = None

    async def step(self) -> None:
        """Records the grants that are due."""
        if self._writer.store_unavailable or not self._follower.loaded:
            self._store_up_since = None
            return
        now = self._clock.seconds()
        if self._store_up_since is None:
            self._store_up_since = now
        if self._outage.mode(now) is OutageMode.DECIDERS:
            return
        if not self._grants.all() or not await self._follower.read():
            return
        due = [g for g in self._grants.all() if self._is_due(g, now)]
        for grant in due:
            self._allocator.record_for_other(grant, now=now)
            self._logger.info(
                "recorded a grant for another VM",
                program=grant.program,
                holder=grant.turn.holder,
                turn=grant.turn.turn,
                tokens=grant.tokens,
            )
        if due:
            self._writer.wake()

    def _is_due(self, grant: TurnGrant, now: float) -> bool:
        if grant.turn.holder == self._holder or self._store_up_since is None:
            return False
        ranking = self._members.view().ranking(grant.program)
        if self._holder not in ranking:
            return False
        recorders = [h for h in ranking if h != grant.turn.holder]
        delay_s = OWN_RECORD_WINDOW_S
        delay_s += NEXT_RECORDER_S * recorders.index(self._holder)
        known_since = self._grants.known_since(grant)
        return now - max(known_since, self._store_up_since) >= delay_s
