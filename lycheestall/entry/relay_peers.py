"""Chooses the peer that sends an attempt where this VM's link is lost."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from ..ids import TargetId, ZoneId
from .attempt_messages import LinkReport
from .membership import Member, Members
from .token_ledger import HolderId

__all__ = ["RelayPeers"]

REPORT_VALID_S = 2.0
"""Age up to which a peer's report is relied on."""

SHUNNED_S = 1.0
"""Seconds in which a peer that did not take an attempt is not asked."""

OTHER_ZONE_COST = 4.0
"""Attempts by which a peer in another zone counts as busier, since what is
sent between zones is slower and priced."""

SAME_ZONE_COST = 1000.0
"""The same for one in this VM's zone, where a peer elsewhere is wanted."""

UNKNOWN_COST = 8.0
"""Attempts by which a peer without a valid report counts as busier."""


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """A peer's report and when it arrived."""

    report: LinkReport
    at: float


class RelayPeers:
    """Ranks the other VMs of the group by reach, load and zone.

    Args:
        holder: This VM.
        zone: Its availability zone.
        members: The VMs of the system.
    """

    def __init__(
        self, *, holder: HolderId, zone: ZoneId, members: Members
    ) -> None:
        self._holder = holder
        self._zone = zone
        self._members = members
        self._received_by_holder: dict[HolderId, _ReceivedReport] = {}
        self._shunned_until: dict[HolderId, float] = {}
        self._running_by_holder: dict[HolderId, int] = {}

    def choose(
        self,
        target: TargetId,
        *,
        avoid: Collection[HolderId],
        now: float,
        elsewhere: bool = False,
    ) -> Member | None:
        """Returns the peer to send an attempt, or None if there is none.

        Args:
            target: The target of the attempt.
            avoid: Peers that did not take this attempt.
            now: Current time.
            elsewhere: Whether any peer in another zone is preferred.
        """
        best: Member | None = None
        best_cost = float("inf")
        for member in self._members.group_peers(self._holder):
            if member.holder in avoid or not self._may_reach(
                member.holder, target, now
            ):
                continue
            cost = self._cost(member, now)
            if elsewhere and not self.in_other_zone(member):
                cost += SAME_ZONE_COST
            if cost < best_cost:
                best, best_cost = member, cost
        return best

    def in_other_zone(self, member: Member) -> bool:
        """Returns whether a peer is in another zone than this VM."""
        return member.zone != self._zone

    def age_s(self, holder: HolderId, now: float) -> float:
        """Returns the age of a peer's report; infinite without one."""
        received = self._received_by_holder.get(holder)
        return float("inf") if received is None else now - received.at

    def any_may_help(self, now: float) -> bool:
        """Returns whether any peer may reach targets."""
        return any(
            self._may_reach(member.holder, None, now)
            for member in self._members.group_peers(self._holder)
        )

    def add_report(self, report: LinkReport, now: float) -> None:
        """Takes note of what a peer reaches."""
        self._received_by_holder[report.holder] = _ReceivedReport(report, now)
        self._shunned_until.pop(report.holder, None)

    def shun(self, holder: HolderId, now: float) -> None:
        """Notes that a peer did not reply or did not take an attempt."""
        self._shunned_until[holder] = now + SHUNNED_S

    def started(self, holder: HolderId) -> None:
        """Counts an attempt as running at a peer."""
        running = self._running_by_holder.get(holder, 0)
        self._running_by_holder[holder] = running + 1

    def ended(self, holder: HolderId) -> None:
        """Counts an attempt at a peer as finished."""
        running = self._running_by_holder.get(holder, 0) - 1
        if running > 0:
            self._running_by_holder[holder] = running
        else:
            self._running_by_holder.pop(holder, None)

    def remove_expired(self, now: float) -> None:
        """Forgets outdated reports."""
        for holder, received in list(self._received_by_holder.items()):
            if now - received.at > REPORT_VALID_S:
                del self._received_by_holder[holder]
        for holder, until in list(self._shunned_until.items()):
            if until <= now:
                del self._shunned_until[holder]

    def _may_reach(
        self, holder: HolderId, target: TargetId | None, now: float
    ) -> bool:
        if now < self._shunned_until.get(holder, now):
            return False
        report = self._valid_report(holder, now)
        if report is None:
            return True
        return report.accepts and target not in report.lost

    def _cost(self, member: Member, now: float) -> float:
        report = self._valid_report(member.holder, now)
        running = self._running_by_holder.get(member.holder, 0)
        cost = float(running) + self._preference(member.holder)
        if report is None:
            cost += UNKNOWN_COST
        else:
            cost = max(cost, report.relaying)
        if self.in_other_zone(member):
            cost += OTHER_ZONE_COST
        return cost

    def _preference(self, holder: HolderId) -> float:
        # Below one, so that VMs prefer different ones of equally busy peers.
        key = f"{self._holder}:{holder}".encode()
        return float(xxhash.xxh3_64_intdigest(key) / 2**64)

    def _valid_report(self, holder: HolderId, now: float) -> LinkReport | None:
        if self.age_s(holder, now) > REPORT_VALID_S:
            return None
        return self._received_by_holder[holder].report
