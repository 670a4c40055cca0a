"""Shares the load and the speed of targets with other VMs.

Each VM reports to one VM of its group, the collector, and gets the sums of
all groups in the reply. Collectors of different groups exchange the sums of
their groups, a few at a time. So a VM sends one message per interval, and
the figures of a group are at most two intervals old.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from ...rendezvous import rendezvous_order
from ..membership import Member, Members
from ..peer_rpc import PeerClient
from ..token_ledger import HolderId
from .figure_messages import ONE_VM, ShareFigures
from .figures_collector import FiguresCollector
from .target_chooser import TargetChooser
from .target_loads import ReportedLoads

__all__ = ["FiguresReporter"]

REPORT_TIMEOUT_S = 0.3
"""Timeout of a report; a later reply would be outdated."""

BACKOFF_S = 10.0
"""Seconds for which a VM that didn't reply isn't asked again: it is lost, or
of a build that doesn't know the message."""

IDLE_REPORT_S = 10.0
"""Seconds between the reports of a VM that has nothing to report."""

GROUPS_PER_REPORT = 3
"""Other groups that a collector exchanges sums with at a time."""

_KEY = "target-figures"


class FiguresReporter:
    """Reports to the group's collector, and collects if it is this VM.

    Args:
        holder: ID of this VM in the ledger.
        members: The known VMs.
        peers: Client for calls to other VMs.
        chooser: Provides and receives the figures.
        enabled: Returns whether the configuration calls for sharing.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        members: Members,
        peers: PeerClient,
        chooser: TargetChooser,
        enabled: Callable[[], bool],
        clock: Any,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._chooser = chooser
        self._enabled = enabled
        self._clock = clock
        self._collector = FiguresCollector(holder)
        self._shunned_until: dict[HolderId, float] = {}
        self._next_group = 0
        self._reported_load = False
        self._idle_report_at = -math.inf

    async def send_report(self) -> None:
        """Reports what is new, and takes in what other VMs know."""
        observations = self._chooser.speeds.take_observations()
        if not self._enabled():
            return
        now = self._clock.seconds()
        loads = self._chooser.loads.all_own()
        # A VM that has become idle says so, and seldom repeats it.
        is_due = self._reported_load or now >= self._idle_report_at
        if loads or observations or is_due:
            self._reported_load = bool(loads)
            self._idle_report_at = now + IDLE_REPORT_S
            await self._report(
                ShareFigures(self._holder, ONE_VM, 1, 0.0, loads, observations)
            )
        if self._collector.hears_vms(now):
            await self._exchange_with_groups(now)

    def receive_report(self, message: ShareFigures) -> ShareFigures:
        """Adds the figures of another VM; returns the reply."""
        now = self._clock.seconds()
        self._collector.add(message, now)
        if message.group == ONE_VM:
            return self._collector.all_figures(now, first=message.loads)
        return self._collector.group_figures(self._own_group(), now)

    async def _report(self, own: ShareFigures) -> None:
        groups = self._members.view().groups
        group = self._own_group()
        if not 0 <= group < len(groups):
            return
        collector = self._collector_of(groups[group])
        if collector is None:
            return
        if collector.holder == self._holder:
            self._take_in(self.receive_report(own), own)
            return
        reply = await self._call(collector, own)
        if reply is not None:
            self._take_in(reply, own)

    async def _exchange_with_groups(self, now: float) -> None:
        own_group = self._own_group()
        if own_group == ONE_VM:
            # Without a group, the sums would count as one VM's figures.
            return
        groups = self._members.view().groups
        message = self._collector.group_figures(own_group, now)
        for _ in range(min(GROUPS_PER_REPORT, len(groups) - 1)):
            self._next_group = (self._next_group + 1) % len(groups)
            if self._next_group == own_group:
                self._next_group = (self._next_group + 1) % len(groups)
            collector = self._collector_of(groups[self._next_group])
            if collector is None or collector.holder == self._holder:
                continue
            reply = await self._call(collector, message)
            if reply is not None and reply.heard:
                self._collector.add(reply, self._clock.seconds())

    async def _call(
        self, member: Member, message: ShareFigures
    ) -> ShareFigures | None:
        reply = await self._peers.call(
            member.address, message, timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(reply, ShareFigures):
            return reply
        until = self._clock.seconds() + BACKOFF_S
        self._shunned_until[member.holder] = until
        return None

    def _take_in(self, reply: ShareFigures, own: ShareFigures) -> None:
        now = self._clock.seconds()
        others = {
            target: float(max(0, running - own.loads.get(target, 0)))
            for target, running in reply.loads.items()
        }
        known = len(self._members.all())
        heard = max(0, reply.heard - 1)
        self._chooser.loads.set_reported(
            ReportedLoads(
                others,
                coverage=min(1.0, heard / max(known - 1, 1)),
                at=now - reply.age_s,
            )
        )
        self._chooser.speeds.set_shared(reply.speeds, now)

    def _collector_of(self, group: tuple[HolderId, ...]) -> Member | None:
        now = self._clock.seconds()
        for holder in rendezvous_order(_KEY, group):
            if self._shunned_until.get(holder, now) > now:
                continue
            self._shunned_until.pop(holder, None)
            member = self._members.get(holder)
            if member is not None:
                return member
        return None

    def _own_group(self) -> int:
        for number, group in enumerate(self._members.view().groups):
            if self._holder in group:
                return number
        return ONE_VM
