"""How long answers of each kind of request usually take."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["KindTimes", "UsualTime"]

SMOOTHING = 0.05
"""Weight of the newest answer in a kind's usual time."""

FIRST_DEVIATION = 0.7
"""Deviation of a kind's logarithms before any was seen."""

LEAST_S = 0.001
"""Least time that counts, so that logarithms stay bounded."""


@dataclass(slots=True)
class UsualTime:
    """The usual time of a kind of request.

    Attributes:
        log_s: Mean logarithm of the seconds.
        deviation: Mean deviation of the logarithms.
        answers: Answers seen.
    """

    log_s: float
    deviation: float = FIRST_DEVIATION
    answers: int = 0

    def log_ratio(self, seconds: float) -> float:
        """Returns the logarithm of a time divided by the usual one."""
        return math.log(max(seconds, LEAST_S)) - self.log_s


class KindTimes:
    """Learns the usual time of each kind.

    Answers' times spread over decades, so mean and deviation are those of
    their logarithms.
    """

    def __init__(self) -> None:
        self._by_kind: dict[str, UsualTime] = {}

    def get(self, kind: str) -> UsualTime | None:
        """Returns a kind's usual time, None before its first answer."""
        return self._by_kind.get(kind)

    def answered(self, kind: str, took_s: float) -> float | None:
        """Takes the time of an answer.

        Args:
            kind: What kind of request it was.
            took_s: Seconds until its answer or first event.

        Returns:
            Its logarithm against the usual time before it; None for the
            first answer of a kind.
        """
        usual = self._by_kind.get(kind)
        first = usual is None
        if usual is None:
            usual = UsualTime(math.log(max(took_s, LEAST_S)))
            self._by_kind[kind] = usual
        error = usual.log_ratio(took_s)
        usual.log_s += SMOOTHING * error
        usual.deviation += SMOOTHING * (abs(error) - usual.deviation)
        usual.answers += 1
        return None if first else error
