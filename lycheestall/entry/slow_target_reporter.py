"""Tells neighbours of targets that answer much later than others.

A large system sends each of its VMs few requests for each target: alone, a
VM meets every slow target anew before it knows it. What one VM of a group
has waited for, the others need not try.
"""

from __future__ import annotations

from typing import Any

from ..ids import TargetId
from ..logs import Logger
from .members import Members
from .peer_link import PeerCaller, call_all
from .peer_messages import SlowTargets
from .target_chooser import TargetChooser
from .token_ledger import HolderId

__all__ = ["SlowTargetReporter"]

NEWS_TIMEOUT_S = 0.3
"""Longest time for a neighbour to take news; older news is of no use."""


class SlowTargetReporter:
    """Exchanges slow answers with the other members of a group.

    Args:
        holder: This VM's name in the ledger.
        members: The VMs of the system.
        peers: Calls them.
        chooser: Knows how long targets take.
        clock: Tells the time.
        logger: Where changes are logged.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerCaller,
        chooser: TargetChooser,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._chooser = chooser
        self._clock = clock
        self._logger = logger
        self._slow: set[TargetId] = set()
        self._heard = 0

    async def step(self) -> None:
        """Tells the neighbours what this VM has seen since the last time."""
        self._note_changes()
        seen = self._chooser.take_slow_responses()
        if not seen:
            return
        message = SlowTargets(self._holder, seen)
        await call_all(
            self._peers,
            self._members.neighbours(self._holder),
            message,
            timeout_s=NEWS_TIMEOUT_S,
        )

    def heard(self, message: SlowTargets) -> None:
        """Takes what a neighbour has seen."""
        self._heard += 1
        self._chooser.add_remote_slow_responses(
            message.answers, self._clock.seconds()
        )

    def _note_changes(self) -> None:
        slow = self._chooser.slow_targets(self._clock.seconds())
        if slow == self._slow:
            return
        self._logger.info(
            "slow targets",
            added=sorted(slow - self._slow),
            removed=sorted(self._slow - slow),
            messages_heard=self._heard,
        )
        self._slow = slow
        self._heard = 0
