"""Evaluates the rules that exclude targets from getting calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from zoneinfo import ZoneInfo

from ._scope_index import TargetIndex
from ._time_zones import load_time_zone
from .rules.rule_set import RuleLine
from .rules.syntax import (
    ErrorExclusionRule,
    ExclusionWindowRule,
    LoadExclusionRule,
    Statement,
    TargetScope,
)

__all__ = ["TargetExclusions"]

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


class TargetExclusions:
    """Rules that exclude targets by time of day, load or error share.

    The time windows of all matching scopes apply. Of the load limits and
    of the error limits, only the most specific one applies.
    """

    def __init__(self) -> None:
        self._windows: TargetIndex[_Window] = TargetIndex()
        self._load_limits: TargetIndex[_Threshold] = TargetIndex()
        self._error_limits: TargetIndex[_Threshold] = TargetIndex()

    def add(self, statement: Statement, line: RuleLine) -> None:
        """Adds a rule; other kinds of rules are ignored.

        Args:
            statement: The rule.
            line: Its line in the rule file.
        """
        match statement:
            case ExclusionWindowRule(scope):
                self._add_window(scope, statement, line)
            case LoadExclusionRule(scope, percent):
                limit = _Threshold(float(percent) / 100, line)
                self._load_limits.add(scope, limit)
            case ErrorExclusionRule(scope, percent):
                limit = _Threshold(float(percent) / 100, line)
                self._error_limits.add(scope, limit)

    def _add_window(
        self, scope: TargetScope, rule: ExclusionWindowRule, line: RuleLine
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
        """Returns the rule that excludes a target now, or None.

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
        load_limit = self._load_limits.find(target, group)
        if load_limit is not None and load > load_limit.share:
            return load_limit.line
        error_limit = self._error_limits.find(target, group)
        if error_limit is not None and error_share > error_limit.share:
            return error_limit.line
        return None
