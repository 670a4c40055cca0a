"""Keeps all VMs together to the limits that targets name.

A target's limit holds for all VMs in sum. One VM therefore decides on the
requests to each limited target: the others ask it for a permit before they
send one. A VM that can't ask uses a small share of the limit on its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..ids import TargetId
from ..logs import Logger
from .membership import Member, Members
from .peer_rpc import PeerClient
from .permit_bucket import MIN_RATE_PER_S, PermitBucket
from .permit_deciders import PermitDeciders
from .permit_messages import AskPermit, LimitNews, PermitAnswer
from .target_limits import LimitReport, TargetLimits
from .target_table import TargetProcess
from .token_ledger import HolderId

__all__ = ["Permit", "PermitDenied", "PermitService"]

ASK_TIMEOUT_S = 0.15
"""Timeout of a call to a deciding VM."""

SILENT_S = 1.0
"""Seconds in which a deciding VM that did not reply is not asked again."""

VALID_S = 0.5
"""Seconds for which a permit is valid from its start; long enough to open a
connection to the target."""

STAND_IN_SHARE = 0.5
"""Share of a limit that is used where the target's first deciding VM isn't
reached. It may be granting the whole limit to others, and targets tolerate
half as much again."""

MAX_BUCKETS = 4096
"""Target processes whose schedule is kept, those asked for last."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to a target.

    Attributes:
        starts_at: When the request may be sent.
        expires_at: From when it may no longer be sent.
        decider: The VM that decided; empty for a target without a limit.
        rate_per_s: The limit that the decision is based on, if any.
    """

    starts_at: float
    expires_at: float
    decider: str = ""
    rate_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """No request may be sent to a target as early as asked for.

    Attributes:
        until: When the target takes the next request.
        decider: The VM that decided.
        rate_per_s: The limit that the decision is based on.
        queued: Whether other requests wait for the target.
    """

    until: float
    decider: str
    rate_per_s: float
    queued: bool


class PermitService:
    """Asks deciding VMs for permits, and decides for other VMs.

    Args:
        holder: This VM's ID in the ledger.
        limits: The limits that targets name.
        members: The VMs of the system.
        deciders: Which of them decide on a target.
        peers: Calls them.
        clock: Tells the time, also across a suspension of the VM.
        logger: Receives changed limits that other VMs report.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        limits: TargetLimits,
        members: Members,
        deciders: PermitDeciders,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._limits = limits
        self._members = members
        self._deciders = deciders
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._bucket_by_process: dict[TargetProcess, PermitBucket] = {}
        self._own_share_by_process: dict[TargetProcess, PermitBucket] = {}
        self._denied_by_process: dict[TargetProcess, PermitDenied] = {}
        self._silent_until: dict[HolderId, float] = {}

    def denied(self) -> dict[TargetId, PermitDenied]:
        """Returns the targets that take no request now."""
        now = self._clock.seconds()
        for process, denied in list(self._denied_by_process.items()):
            limited = self._limits.rate_per_s(process) is not None
            if denied.until <= now or not limited:
                del self._denied_by_process[process]
        return {
            process.target: denied
            for process, denied in self._denied_by_process.items()
        }

    async def acquire(
        self, process: TargetProcess, *, max_wait_s: float
    ) -> Permit | PermitDenied:
        """Returns a permit for one request, or when there would be one.

        Args:
            process: The target process to send it to.
            max_wait_s: Seconds that the request would wait.
        """
        for member in self._deciders.ranked(process):
            report = self._limits.get(process)
            if report is None or report.rate_per_s is None:
                return self._unlimited()
            answer = await self._ask(member, report, max_wait_s)
            if answer is not None:
                return self._decided(
                    process, answer.granted, answer.wait_s, member.holder
                )
        return self._use_own_share(process, max_wait_s)

    def decide(self, message: AskPermit) -> PermitAnswer:
        """Decides on a request of any VM."""
        now = self._clock.seconds()
        self.add_news(message.news, message.holder)
        process = message.news.to_report(now).process
        report = self._limits.get(process)
        if report is None:
            return PermitAnswer(True, 0.0, message.news)
        news = LimitNews.from_report(report, now)
        if report.rate_per_s is None:
            return PermitAnswer(True, 0.0, news)
        rate_per_s = report.rate_per_s
        if not self._is_first(process):
            rate_per_s *= STAND_IN_SHARE
        slot = _bucket(self._bucket_by_process, process).take(
            rate_per_s, now, max_wait_s=message.max_wait_s
        )
        return PermitAnswer(slot.taken, slot.wait_s, news)

    def add_news(self, news: LimitNews, source: HolderId) -> None:
        """Notes a limit, or its end, that another VM has reported."""
        report = news.to_report(self._clock.seconds())
        before = self._limits.rate_per_s(report.process)
        if news.rate_per_s == before or not self._limits.record(report):
            return
        self._logger.info(
            "target limit",
            target=news.target,
            target_started_ms=news.started_ms,
            source=source,
            age_ms=round(news.age_s * 1000),
            before=before,
            rate_per_s=news.rate_per_s,
        )

    async def _ask(
        self, member: Member, report: LimitReport, max_wait_s: float
    ) -> PermitAnswer | None:
        now = self._clock.seconds()
        news = LimitNews.from_report(report, now)
        message = AskPermit(self._holder, max_wait_s, news)
        if member.holder == self._holder:
            return self.decide(message)
        if self._is_silent(member.holder, now):
            return None
        reply = await self._peers.call(
            member.address, message, timeout_s=ASK_TIMEOUT_S
        )
        if isinstance(reply, PermitAnswer):
            self.add_news(reply.news, member.holder)
            return reply
        self._silent_until[member.holder] = self._clock.seconds() + SILENT_S
        self._logger.warning(
            "no decision on a target's limit",
            target=report.process.target,
            decider=member.holder,
            rate_per_s=report.rate_per_s,
        )
        return None

    def _is_silent(self, holder: HolderId, now: float) -> bool:
        if now < self._silent_until.get(holder, now):
            return True
        self._silent_until.pop(holder, None)
        return False

    def _decided(
        self,
        process: TargetProcess,
        granted: bool,
        wait_s: float,
        decider: HolderId,
    ) -> Permit | PermitDenied:
        rate_per_s = self._limits.rate_per_s(process)
        if rate_per_s is None:
            return self._unlimited()
        starts_at = self._clock.seconds() + wait_s
        if granted:
            return Permit(starts_at, starts_at + VALID_S, decider, rate_per_s)
        queued = wait_s > 1.0 / max(rate_per_s, MIN_RATE_PER_S)
        denied = PermitDenied(starts_at, decider, rate_per_s, queued)
        self._denied_by_process[process] = denied
        return denied

    def _use_own_share(
        self, process: TargetProcess, max_wait_s: float
    ) -> Permit | PermitDenied:
        rate_per_s = self._limits.rate_per_s(process)
        if rate_per_s is None:
            return self._unlimited()
        vms = max(1, len(self._members.all()))
        share_per_s = rate_per_s * STAND_IN_SHARE / vms
        slot = _bucket(self._own_share_by_process, process).take(
            share_per_s, self._clock.seconds(), max_wait_s=max_wait_s
        )
        return self._decided(process, slot.taken, slot.wait_s, self._holder)

    def _unlimited(self) -> Permit:
        return Permit(self._clock.seconds(), float("inf"))

    def _is_first(self, process: TargetProcess) -> bool:
        ranked = self._deciders.ranked(process)
        return not ranked or ranked[0].holder == self._holder


def _bucket(
    by_process: dict[TargetProcess, PermitBucket], process: TargetProcess
) -> PermitBucket:
    bucket = by_process.pop(process, None) or PermitBucket()
    by_process[process] = bucket
    if len(by_process) > MAX_BUCKETS:
        del by_process[next(iter(by_process))]
    return bucket
