"""Tests that targets with several times the typical latency are skipped."""

from __future__ import annotations

import random

from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.placement.target_latencies import TargetLatencies
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_chooser


def share_sent_to_slow(
    chooser: TargetChooser, slow: set[str], seconds: int
) -> float:
    """Sends ten requests per second; returns the share to slow targets."""
    rng = random.Random(1)
    slow_count = 0
    for number in range(seconds * 10):
        now = number / 10
        registration = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % number,
            avoid=(),
            now=now,
        )
        assert registration is not None
        took_s = rng.lognormvariate(-3.0, 0.6)
        if registration.target in slow:
            took_s *= 6
            slow_count += 1
        chooser.record_response(registration.target, "route", took_s, now)
    return slow_count / (seconds * 10)


def test_slow_targets_get_few_requests() -> None:
    slow = {"t1", "t4", "t7"}
    assert share_sent_to_slow(new_chooser(9), set(), 20) == 0
    share = share_sent_to_slow(new_chooser(9), slow, 20)
    assert share < 0.5 * len(slow) / 9


def test_a_target_that_recovers_is_used_again() -> None:
    latencies = TargetLatencies()
    names = [TargetId(f"t{number}") for number in range(4)]
    for number in range(40):
        latencies.record_response(
            names[number % 4], "route", 0.05, number / 10
        )
    for number in range(6):
        latencies.record_response(names[0], "route", 0.5, 4.0 + number / 10)
    assert latencies.slow(names, 4.6) == {names[0]}
    assert latencies.slow(names, 20.0) == set()


def test_at_most_half_of_the_targets_are_skipped() -> None:
    latencies = TargetLatencies()
    names = [TargetId(f"t{number}") for number in range(4)]
    latencies.record_response(names[0], "route", 0.01, 0.0)
    for name in names:
        latencies.record_response(name, "route", 1.0, 0.1)
    assert len(latencies.slow(names, 0.1)) <= 2
