"""Pattern: part of a service's targets take several times as long."""

from __future__ import annotations

import random

from lycheestall.entry.target_chooser import TargetChooser
from lycheestall.entry.target_latencies import TargetLatencies
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_chooser


def work_at(chooser: TargetChooser, slow: set[str], seconds: int) -> float:
    """Sends ten requests a second; returns the share that went to slow."""
    dice = random.Random(1)
    to_slow = 0
    for number in range(seconds * 10):
        now = number / 10
        entry = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % number,
            avoid=(),
            now=now,
        )
        assert entry is not None
        took_s = dice.lognormvariate(-3.0, 0.6)
        if entry.target in slow:
            took_s *= 6
            to_slow += 1
        chooser.answered(entry.target, "kind", took_s, now)
    return to_slow / (seconds * 10)


def test_slow_targets_get_little_work() -> None:
    slow = {"t1", "t4", "t7"}
    assert work_at(new_chooser(9), set(), 20) == 0
    share = work_at(new_chooser(9), slow, 20)
    assert share < 0.5 * len(slow) / 9


def test_a_target_that_recovers_is_asked_again() -> None:
    speeds = TargetLatencies()
    names = [TargetId(f"t{number}") for number in range(4)]
    for number in range(40):
        speeds.answered(names[number % 4], "kind", 0.05, number / 10)
    for number in range(6):
        speeds.answered(names[0], "kind", 0.5, 4.0 + number / 10)
    assert speeds.slow(names, 4.6) == {names[0]}
    assert speeds.slow(names, 20.0) == set()


def test_never_more_than_half_of_the_targets_are_left_out() -> None:
    speeds = TargetLatencies()
    names = [TargetId(f"t{number}") for number in range(4)]
    speeds.answered(names[0], "kind", 0.01, 0.0)
    for name in names:
        speeds.answered(name, "kind", 1.0, 0.1)
    assert len(speeds.slow(names, 0.1)) <= 2
