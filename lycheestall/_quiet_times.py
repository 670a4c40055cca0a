"""Decides whether a rule keeps work from a target right now."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from zoneinfo import ZoneInfo

from ._scope_index import TargetIndex
from ._time_zones import load_time_zone
from .rules.rule_book import RuleLine
from .rules.text import (
    ErrorLimitRule,
    LoadLimitRule,
    Statement,
    TargetScope,
    WindowRule,
)

__all__ = ["QuietTimes"]

_MS_PER_S = 1000
_DAYS_PER_WEEK = 7


@dataclass(frozen=True, slots=True)
class _Window:
    start: int
    end: int
    zone: ZoneInfo
    days: frozenset[int]
    line: RuleLine

    def covers(self, at_ms: int) -> bool:
        local = datetime.fromtimestamp(at_ms / _MS_PER_S, self.zone)
        minute = local.hour * 60 + local.minute
        today = local.weekday()
        yesterday = (today - 1) % _DAYS_PER_WEEK
        if self.start < self.end:
            return today in self.days and self.start <= minute < self.end
        if minute >= self.start:
            return today in self.days
        return minute < self.end and yesterday in self.days


@dataclass(frozen=True, slots=True)
class _Threshold:
    share: float
    line: RuleLine


class QuietTimes:
    """When targets are left alone: by time of day, load and errors.

    Windows of all matching scopes count. Of load limits and of error
    limits, only the most specific counts.
    """

    def __init__(self) -> None:
        self._windows: TargetIndex[_Window] = TargetIndex()
        self._loads: TargetIndex[_Threshold] = TargetIndex()
        self._errors: TargetIndex[_Threshold] = TargetIndex()

    def add(self, statement: Statement, line: RuleLine) -> None:
        """Takes a rule; rules of other kinds are passed over.

        Args:
            statement: The rule.
            line: Where it stands.
        """
        match statement:
            case WindowRule(scope):
                self._add_window(scope, statement, line)
            case LoadLimitRule(scope, percent):
                limit = _Threshold(float(percent) / 100, line)
                self._loads.add(scope, limit)
            case ErrorLimitRule(scope, percent):
                limit = _Threshold(float(percent) / 100, line)
                self._errors.add(scope, limit)

    def _add_window(
        self, scope: TargetScope, rule: WindowRule, line: RuleLine
    ) -> None:
        zone = load_time_zone(rule.zone)
        assert zone is not None, rule.zone
        days = frozenset(rule.days or range(_DAYS_PER_WEEK))
        window = _Window(rule.start, rule.end, zone, days, line)
        self._windows.add(scope, window)

    def find(
        self,
        target: str,
        group: str,
        *,
        at_ms: int,
        load: float,
        error_share: float,
    ) -> RuleLine | None:
        """Returns the line that keeps work away now, None when none does.

        Args:
            target: The target.
            group: Its group.
            at_ms: Wall-clock time, milliseconds since 1970.
            load: Its load, 0 to 1.
            error_share: Share of its recent calls that failed, 0 to 1.
        """
        for window in self._windows.find_all(target, group):
            if window.covers(at_ms):
                return window.line
        load_limit = self._loads.find(target, group)
        if load_limit is not None and load > load_limit.share:
            return load_limit.line
        error_limit = self._errors.find(target, group)
        if error_limit is not None and error_share > error_limit.share:
            return error_limit.line
        return None
