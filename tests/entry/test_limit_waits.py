"""Programs of several turns at engines that take fewer than they ask for.

The pattern: all engines name limits, and programs ask for twice as much. If
turns are refused at random, hardly any program gets through all of its own.
"""

from __future__ import annotations

import heapq
import random

import pytest

from lycheestall.entry.limit_waits import max_wait_s, retry_after_s
from lycheestall.entry.permit_bucket import PermitBucket

RATE_PER_S = 20.0
TURNS = 6
PROGRAMS_PER_S = 2.0 * RATE_PER_S / TURNS
TURN_S = 0.25
TRIES = 4
DEADLINE_S = 3.0
DAY_S = 60.0


class Overload:
    """Programs that arrive at random and share one limit.

    Args:
        seed: Determines when programs arrive.
        yields: Whether new programs yield to those that have begun.
    """

    def __init__(self, seed: int, *, yields: bool) -> None:
        self._random = random.Random(seed)
        self._yields = yields
        self._bucket = PermitBucket()
        self._events: list[tuple[float, int, int, int]] = []
        self.finished = 0
        self.wasted_turns = 0
        self.served_turns = 0

    def run(self) -> None:
        """Plays a day."""
        now, program = 0.0, 0
        while now < DAY_S:
            now += self._random.expovariate(PROGRAMS_PER_S)
            program += 1
            self._push(now, program, turn=0, tries=0)
        while self._events:
            at, number, turn, tries = heapq.heappop(self._events)
            self._ask(at, number, turn, tries)

    def _ask(self, now: float, program: int, turn: int, tries: int) -> None:
        first = self._yields and turn == 0
        wait_s = max_wait_s(
            first_turn=first, may_have_run=False, remaining_s=DEADLINE_S
        )
        slot = self._bucket.take(RATE_PER_S, now, max_wait_s=wait_s)
        if not slot.taken:
            if tries + 1 >= TRIES:
                self.wasted_turns += turn
                return
            delay_s = retry_after_s(slot.wait_s, first_turn=first)
            self._push(now + delay_s, program, turn, tries + 1)
            return
        self.served_turns += 1
        if turn + 1 == TURNS:
            self.finished += 1
            return
        self._push(now + slot.wait_s + TURN_S, program, turn + 1, 0)

    def _push(self, at: float, program: int, turn: int, tries: int) -> None:
        heapq.heappush(self._events, (at, program, turn, tries))


@pytest.mark.parametrize("seed", range(5))
def test_programs_that_have_begun_are_finished_before_new_ones_start(
    seed: int,
) -> None:
    same, yielding = Overload(seed, yields=False), Overload(seed, yields=True)
    same.run()
    yielding.run()
    most = DAY_S * RATE_PER_S / TURNS
    assert yielding.finished >= 0.9 * most
    assert yielding.wasted_turns <= 0.01 * yielding.served_turns
    assert yielding.finished > same.finished
