"""How long an attempt that may be repeated is waited for."""

from __future__ import annotations

import math

from .kind_times import KindTimes, UsualTime

__all__ = ["AttemptTimeouts"]

DEVIATIONS = 3.0
"""Mean deviations above the usual time at which an answer is overdue."""

REMAINING_SHARE = 0.4
"""Part of a request's remaining time that one of several attempts may take,
so that another one still fits."""

LEAST_FACTOR = 3.0
"""Least multiple of the usual time; with less time left it is better to
wait on."""

MIN_ANSWERS = 8
"""Answers of a kind before its usual time is relied on."""

ANSWERS_PER_REPEAT = 10
"""Answers that earn a repeat, so that repeats add little to an overload."""

MOST_REPEATS = 10.0
"""Repeats that can be saved up."""


class AttemptTimeouts:
    """Says when waiting makes no sense.

    Repeats are earned by answers: when all targets are slow, requests stay
    where they are.

    Args:
        times: How long answers usually take.
    """

    def __init__(self, times: KindTimes) -> None:
        self._times = times
        self._repeats = MOST_REPEATS

    def answered(self) -> None:
        """Counts an answer."""
        self._repeats = min(
            self._repeats + 1 / ANSWERS_PER_REPEAT, MOST_REPEATS
        )

    def timeout_s(
        self, kind: str, *, least_s: float, remaining_s: float
    ) -> float | None:
        """Returns how long to wait, None to wait as long as there is time.

        Args:
            kind: What kind of request it is.
            least_s: Shortest timeout.
            remaining_s: Time left for the request.
        """
        usual = self._usual(kind)
        if usual is None or self._repeats < 1.0:
            return None
        most_s = remaining_s * REMAINING_SHARE
        if most_s < _least_s(usual, least_s):
            return None
        return min(_overdue_s(usual, least_s), most_s)

    def overdue_s(self, kind: str, *, least_s: float) -> float | None:
        """Returns after how long an answer is overdue, None if unknown.

        Args:
            kind: What kind of request it is.
            least_s: Shortest time.
        """
        usual = self._usual(kind)
        return None if usual is None else _overdue_s(usual, least_s)

    def repeated(self) -> None:
        """Counts a repeat of an attempt that was given up."""
        self._repeats -= 1.0

    def _usual(self, kind: str) -> UsualTime | None:
        usual = self._times.get(kind)
        if usual is None or usual.answers < MIN_ANSWERS:
            return None
        return usual


def _least_s(usual: UsualTime, least_s: float) -> float:
    return max(least_s, math.exp(usual.log_s) * LEAST_FACTOR)


def _overdue_s(usual: UsualTime, least_s: float) -> float:
    overdue_s = math.exp(usual.log_s + DEVIATIONS * usual.deviation)
    return max(overdue_s, _least_s(usual, least_s))
