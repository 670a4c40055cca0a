"""How long an attempt that may be repeated is waited for."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["AttemptTimeouts"]

SMOOTHING = 0.05
"""Weight of the newest answer in a kind's usual time."""

DEVIATIONS = 3.0
"""Mean deviations above the usual time at which an answer is overdue."""

REMAINING_SHARE = 0.4
"""Part of a request's remaining time that one of several attempts may take,
so that another one still fits."""

LEAST_FACTOR = 3.0
"""Least multiple of the usual time; with less time left it is better to
wait on."""

FIRST_DEVIATION = 0.7
"""Deviation of a kind's logarithms before any was seen."""

MIN_ANSWERS = 8
"""Answers of a kind before its usual time is relied on."""

ANSWERS_PER_REPEAT = 10
"""Answers that earn a repeat, so that repeats add little to an overload."""

MOST_REPEATS = 10.0
"""Repeats that can be saved up."""


@dataclass(slots=True)
class _Usual:
    """The usual time of a kind of request.

    Attributes:
        log_s: Mean logarithm of the seconds.
        deviation: Mean deviation of the logarithms.
        answers: Answers seen.
    """

    log_s: float
    deviation: float = FIRST_DEVIATION
    answers: int = 0


class AttemptTimeouts:
    """Learns how long answers take and when waiting makes no sense.

    Answers' times spread over decades, so mean and deviation are those of
    their logarithms. Repeats are earned by answers: when all targets are
    slow, requests stay where they are.
    """

    def __init__(self) -> None:
        self._by_kind: dict[str, _Usual] = {}
        self._repeats = MOST_REPEATS

    def answered(self, kind: str, took_s: float) -> None:
        """Takes the time of an answer, or of an attempt given up.

        Args:
            kind: What kind of request it was.
            took_s: Seconds until its answer or first event.
        """
        observed = math.log(max(took_s, 0.001))
        usual = self._by_kind.setdefault(kind, _Usual(observed))
        error = observed - usual.log_s
        usual.log_s += SMOOTHING * error
        usual.deviation += SMOOTHING * (abs(error) - usual.deviation)
        usual.answers += 1
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
        overdue_s = self.overdue_s(kind, least_s=least_s)
        if overdue_s is None or self._repeats < 1.0:
            return None
        usual_s = math.exp(self._by_kind[kind].log_s)
        most_s = remaining_s * REMAINING_SHARE
        least_s = max(least_s, usual_s * LEAST_FACTOR)
        if most_s < least_s:
            return None
        return min(overdue_s, most_s)

    def overdue_s(self, kind: str, *, least_s: float) -> float | None:
        """Returns after how long an answer is overdue, None if unknown.

        Args:
            kind: What kind of request it is.
            least_s: Shortest time.
        """
        usual = self._by_kind.get(kind)
        if usual is None or usual.answers < MIN_ANSWERS:
            return None
        usual_s = math.exp(usual.log_s)
        overdue_s = usual_s * math.exp(DEVIATIONS * usual.deviation)
        return max(overdue_s, usual_s * LEAST_FACTOR, least_s)

    def repeated(self) -> None:
        """Counts a repeat of an attempt that was given up."""
        self._repeats -= 1.0
