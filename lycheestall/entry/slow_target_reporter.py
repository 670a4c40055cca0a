"""Shares observations of slow targets with other VMs.

In a large system each VM sends few requests to each target, so a VM on its
own would need several slow responses from every slow target to detect it.
VMs of a group therefore report slow responses to each other.
"""

from __future__ import annotations

from typing import Any

from ..ids import TargetId
from ..logs import Logger
from .membership import Members
from .peer_messages import SlowTargets
from .peer_rpc import PeerClient, call_all
from .placement.target_chooser import TargetChooser
from .token_ledger import HolderId

__all__ = ["SlowTargetReporter"]

REPORT_TIMEOUT_S = 0.3
"""Timeout of a report; a later one would be outdated."""


class SlowTargetReporter:
    """Exchanges slow responses with the other members of the group.

    Args:
        holder: ID of this VM in the ledger.
        members: The known VMs.
        peers: Client for calls to other VMs.
        chooser: Measures the targets' latencies.
        clock: Time source.
        logger: Logs which targets become or cease to be slow.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerClient,
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
        self._received = 0

    async def send_report(self) -> None:
        """Sends the slow responses observed since the last report."""
        self._log_changes()
        slow_responses = self._chooser.take_slow_responses()
        if not slow_responses:
            return
        message = SlowTargets(self._holder, slow_responses)
        await call_all(
            self._peers,
            self._members.group_peers(self._holder),
            message,
            timeout_s=REPORT_TIMEOUT_S,
        )

    def receive_report(self, message: SlowTargets) -> None:
        """Adds the slow responses that another VM has observed."""
        self._received += 1
        self._chooser.add_remote_slow_responses(
            message.slow_responses, self._clock.seconds()
        )

    def _log_changes(self) -> None:
        slow = self._chooser.slow_targets(self._clock.seconds())
        if slow == self._slow:
            return
        self._logger.info(
            "slow targets",
            added=sorted(slow - self._slow),
            removed=sorted(self._slow - slow),
            messages_heard=self._received,
        )
        self._slow = slow
        self._received = 0
