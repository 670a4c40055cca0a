"""The request limits that targets name in their responses."""

from __future__ import annotations

from dataclasses import dataclass

from .target_table import TargetProcess

__all__ = ["LimitReport", "TargetLimits"]

MAX_PROCESSES = 4096
"""Target processes of which a limit, or its end, is remembered; those heard
from last."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a target process said about its limit in a response.

    Attributes:
        process: The target process.
        rate_per_s: Requests per second that it takes from all VMs together;
            None if it named no limit.
        heard_at: When the response arrived.
    """

    process: TargetProcess
    rate_per_s: float | None
    heard_at: float


class TargetLimits:
    """Keeps the newest report of each target process that named a limit.

    The end of a limit is kept as well, so that an older report from another
    VM doesn't bring the limit back.
    """

    def __init__(self) -> None:
        self._by_process: dict[TargetProcess, LimitReport] = {}
        self._changed: set[TargetProcess] = set()

    def observe(self, report: LimitReport) -> bool:
        """Records a report of this VM's own, to be told to other VMs.

        Returns:
            Whether the limit has changed.
        """
        changed = self.record(report)
        if changed:
            self._changed.add(report.process)
        return changed

    def take_changes(self) -> list[LimitReport]:
        """Returns what this VM has observed to change since the last call."""
        changed, self._changed = self._changed, set()
        return [
            report
            for process, report in self._by_process.items()
            if process in changed
        ]

    def record(self, report: LimitReport) -> bool:
        """Records a report of any VM unless a newer one is known.

        Returns:
            Whether the limit has changed.
        """
        known = self._by_process.get(report.process)
        if known is None and report.rate_per_s is None:
            return False
        if known is not None and known.heard_at >= report.heard_at:
            return False
        self._by_process.pop(report.process, None)
        self._by_process[report.process] = report
        if len(self._by_process) > MAX_PROCESSES:
            del self._by_process[next(iter(self._by_process))]
        return known is None or known.rate_per_s != report.rate_per_s

    def get(self, process: TargetProcess) -> LimitReport | None:
        """Returns the newest report, or None if there never was a limit."""
        return self._by_process.get(process)

    def rate_per_s(self, process: TargetProcess) -> float | None:
        """Returns the limit in force, or None if there is none."""
        report = self._by_process.get(process)
        return None if report is None else report.rate_per_s

    def limited(self) -> list[LimitReport]:
        """Returns the limits in force."""
        return [
            report
            for report in self._by_process.values()
            if report.rate_per_s is not None
        ]
