"""Messages about permits to send requests to targets that name a limit."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import TargetId
from .target_limits import LimitReport
from .target_table import TargetProcess
from .token_ledger import HolderId

__all__ = ["AskPermit", "ChangedLimits", "LimitNews", "PermitAnswer"]


@dataclass(frozen=True, slots=True)
class LimitNews:
    """What a VM knows of a target's limit, in a form that can be sent.

    VMs share no clock, so the report's time is sent as its age.

    Attributes:
        target: The target's ID.
        started_ms: Unix time of the start of its process.
        rate_per_s: Its limit in requests per second; None if it has none.
        age_s: Seconds since the response that said so.
    """

    target: str
    started_ms: int
    rate_per_s: float | None
    age_s: float

    @classmethod
    def from_report(cls, report: LimitReport, now: float) -> LimitNews:
        """Returns the news of a report at a time."""
        return cls(
            report.process.target,
            report.process.started_ms,
            report.rate_per_s,
            now - report.heard_at,
        )

    def to_report(self, now: float) -> LimitReport:
        """Returns the report as seen from the time of receipt."""
        return LimitReport(
            TargetProcess(TargetId(self.target), self.started_ms),
            self.rate_per_s,
            now - self.age_s,
        )


@dataclass(frozen=True, slots=True)
class ChangedLimits:
    """Reports limits that have begun, changed or ended.

    Attributes:
        holder: The VM that reports.
        news: What it has heard from the targets since its last report.
    """

    holder: HolderId
    news: tuple[LimitNews, ...]


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Asks a target's deciding VM for a permit to send one request.

    Attributes:
        holder: The VM that asks.
        max_wait_s: Seconds that the request would wait.
        news: What that VM knows of the target's limit.
    """

    holder: HolderId
    max_wait_s: float
    news: LimitNews


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The reply to ``AskPermit``.

    Attributes:
        granted: Whether the request may be sent.
        wait_s: Seconds until it may be sent, or until the next one may.
        news: What the deciding VM knows of the target's limit.
    """

    granted: bool
    wait_s: float
    news: LimitNews
