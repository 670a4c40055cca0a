"""Tells other VMs which targets have begun or ceased to name a limit.

A VM that has no response of its own yet would send to a target at will, and
one that still counts a limit that has ended would hold requests back.
"""

from __future__ import annotations

from typing import Any

from .membership import Member, Members
from .peer_messages import ChangedLimits
from .peer_rpc import PeerClient, call_all
from .permit_deciders import PermitDeciders
from .permit_messages import LimitNews
from .permit_service import PermitService
from .target_limits import LimitReport, TargetLimits
from .token_ledger import HolderId

__all__ = ["LimitReporter"]

REPORT_TIMEOUT_S = 0.3
"""Timeout of a report; a later one would be outdated."""


class LimitReporter:
    """Exchanges changed limits with this VM's group and the deciding VMs.

    Args:
        holder: ID of this VM in the ledger.
        limits: The limits that targets name.
        permits: Receives what other VMs report.
        members: The known VMs.
        deciders: Which of them decide on a target.
        peers: Client for calls to other VMs.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        limits: TargetLimits,
        permits: PermitService,
        members: Members,
        deciders: PermitDeciders,
        peers: PeerClient,
        clock: Any,
    ) -> None:
        self._holder = holder
        self._limits = limits
        self._permits = permits
        self._members = members
        self._deciders = deciders
        self._peers = peers
        self._clock = clock

    async def send_report(self) -> None:
        """Sends the limits that changed since the last report."""
        reports = self._limits.take_changes()
        if not reports:
            return
        now = self._clock.seconds()
        news = tuple(LimitNews.from_report(report, now) for report in reports)
        await call_all(
            self._peers,
            self._recipients(reports),
            ChangedLimits(self._holder, news),
            timeout_s=REPORT_TIMEOUT_S,
        )

    def receive_report(self, message: ChangedLimits) -> None:
        """Adds the changes that another VM has observed."""
        for news in message.news:
            self._permits.add_news(news, message.holder)

    def _recipients(self, reports: list[LimitReport]) -> list[Member]:
        by_holder = {
            member.holder: member
            for member in self._members.group_peers(self._holder)
        }
        for report in reports:
            for member in self._deciders.ranked(report.process):
                by_holder[member.holder] = member
        by_holder.pop(self._holder, None)
        return list(by_holder.values())
