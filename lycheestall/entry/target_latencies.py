"""Targets that answer much later than others do."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from ..ids import TargetId
from .kind_times import KindTimes

__all__ = ["SlowResponses", "TargetLatencies"]

SLOW_FACTOR = 2.5
"""How many times as long as the median target a slow one takes."""

MEMORY_S = 2.5
"""Seconds after which an observation counts for little, so that a target
that has recovered is asked again."""

USUAL_WEIGHT = 0.4
"""Weight of the belief that a target is as fast as others, so that one late
answer does not make it slow."""

NEWS_FACTOR = 4.0
"""How many times as long as usual an answer takes that other VMs hear of."""

MOST_WEIGHT = 3.0
"""Most weight of a target's observations, so that a target that many VMs
have called slow is asked again as soon as others."""

MAX_SLOW_SHARE = 0.5
"""Most of a service's targets that are left out as slow."""

_SLOW = math.log(SLOW_FACTOR)
_NEWS = math.log(NEWS_FACTOR)


@dataclass(frozen=True, slots=True)
class SlowResponses:
    """Slow answers of one target.

    Attributes:
        target: The target.
        answers: How many.
        log_ratio: Sum of the logarithms of their times, each divided by
            the usual time of its kind.
    """

    target: TargetId
    answers: int
    log_ratio: float


@dataclass(slots=True)
class _Speed:
    """A target's answers against the usual time of their kinds.

    Attributes:
        log_ratio: Weighted sum of logarithms.
        weight: Sum of the weights.
        at: When both were last brought up to date.
    """

    log_ratio: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Lets older observations count for less."""
        factor = math.exp((self.at - now) / MEMORY_S)
        self.log_ratio *= factor
        self.weight *= factor
        self.at = now

    def add(self, log_ratio: float, weight: float) -> None:
        """Takes observations."""
        self.log_ratio += log_ratio
        self.weight += weight
        if self.weight > MOST_WEIGHT:
            self.log_ratio *= MOST_WEIGHT / self.weight
            self.weight = MOST_WEIGHT

    def ratio(self) -> float:
        """Returns the mean logarithm; little known targets are usual."""
        return self.log_ratio / (self.weight + USUAL_WEIGHT)


class TargetLatencies:
    """Compares targets by how long their answers take.

    Answers of one kind differ, so the logarithms of their ratios to the
    kind's usual time are averaged; a few are enough to find a target
    that takes several times as long.

    Attributes:
        kinds: The usual times.
    """

    def __init__(self) -> None:
        self.kinds = KindTimes()
        self._by_target: dict[TargetId, _Speed] = {}
        self._slow_answers: dict[TargetId, SlowResponses] = {}

    def answered(
        self, target: TargetId, kind: str, took_s: float, now: float
    ) -> None:
        """Takes an answer's time.

        Args:
            target: Who gave it.
            kind: Kind of the request.
            took_s: Seconds that it took.
            now: The time.
        """
        log_ratio = self.kinds.answered(kind, took_s)
        if log_ratio is not None:
            self._note(target, log_ratio, now)

    def unanswered(
        self, target: TargetId, kind: str, waited_s: float, now: float
    ) -> None:
        """Takes a wait that was given up; the answer would take longer.

        Args:
            target: Who was waited for.
            kind: Kind of the request.
            waited_s: Seconds waited.
            now: The time.
        """
        usual = self.kinds.get(kind)
        if usual is None:
            return
        log_ratio = usual.log_ratio(waited_s)
        if log_ratio > 0:
            self._note(target, log_ratio, now)

    def slow(self, targets: Sequence[TargetId], now: float) -> set[TargetId]:
        """Returns the slow ones of a service's targets.

        Args:
            targets: All that may be asked.
            now: The time.
        """
        ratios = [(self._ratio(target, now), target) for target in targets]
        if not ratios:
            return set()
        median = statistics.median_low(ratio for ratio, _ in ratios)
        limit = median + _SLOW
        ratios = [entry for entry in ratios if entry[0] > limit]
        ratios.sort(reverse=True)
        most = int(len(targets) * MAX_SLOW_SHARE)
        return {target for _, target in ratios[:most]}

    def take_slow_responses(self) -> tuple[SlowResponses, ...]:
        """Returns very late answers since the last call, for other VMs."""
        seen, self._slow_answers = self._slow_answers, {}
        return tuple(seen.values())

    def heard(self, slow: SlowResponses, now: float) -> None:
        """Takes slow answers that another VM has seen."""
        speed = self._by_target.setdefault(slow.target, _Speed(at=now))
        speed.decay(now)
        speed.add(slow.log_ratio, slow.answers)

    def _note(self, target: TargetId, log_ratio: float, now: float) -> None:
        speed = self._by_target.setdefault(target, _Speed(at=now))
        speed.decay(now)
        speed.add(log_ratio, 1.0)
        if log_ratio < _NEWS:
            return
        before = self._slow_answers.get(target)
        answers = 1 + (before.answers if before else 0)
        total = log_ratio + (before.log_ratio if before else 0.0)
        self._slow_answers[target] = SlowResponses(target, answers, total)

    def _ratio(self, target: TargetId, now: float) -> float:
        speed = self._by_target.get(target)
        if speed is None:
            return 0.0
        speed.decay(now)
        return speed.ratio()

    def forget(self, target: TargetId) -> None:
        """Drops a target that is gone."""
        self._by_target.pop(target, None)
        self._slow_answers.pop(target, None)
