"""Many VMs and a burst that nearly fills the engines.

The pattern: each VM sees a fraction of the load; sessions prefer an engine,
so that some engines have queues while others have room. Measured is the wait
for a slot of an engine, in virtual time.
"""

from __future__ import annotations

import heapq
import math
import random
import statistics

from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_table

VMS = 100
ENGINES = 16
SLOTS = 6
MEAN_SERVICE_S = 0.145
FIRST_EVENT_S = 0.03
CALM_S = 4.0
END_S = 10.0


class Burst:
    """Sessions at many VMs; the load doubles after a calm start.

    Args:
        load: Share of the engines' capacity in the burst.
        informed: Whether VMs use what they know of running requests and
            late responses, or only the sessions' preferences.
    """

    def __init__(self, *, load: float, informed: bool) -> None:
        self._random = random.Random(7)
        self._rate_s = load * ENGINES * SLOTS / MEAN_SERVICE_S
        self._informed = informed
        table = new_table(ENGINES)
        self._choosers = [
            TargetChooser(table, vm=f"vm-{n}") for n in range(VMS)
        ]
        self._free_at = {
            TargetId(f"t{n}"): [0.0] * SLOTS for n in range(ENGINES)
        }
        self._events: list[tuple[float, int, int, TargetId, float]] = []
        self._sent = 0
        self.waits_s: list[float] = []

    def play(self) -> float:
        """Returns the mean wait in the burst."""
        now = 0.0
        while now < END_S:
            rate_s = self._rate_s * (1.0 if now > CALM_S else 0.5)
            now += self._random.expovariate(rate_s)
            self._handle_events(now)
            self._send(now)
        return statistics.fmean(self.waits_s)

    def _send(self, now: float) -> None:
        self._sent += 1
        vm = int(VMS * self._random.random() ** 1.3)
        session = f"{vm}-{self._random.randrange(3)}-{int(now / 2)}"
        chosen = self._choosers[vm].choose(
            SERVICE, affinity=session, tie_break=b"", avoid=(), now=now
        )
        assert chosen is not None
        target = chosen.target
        if self._informed:
            self._choosers[vm].request_started(target)
        slots = self._free_at[target]
        start = max(now, heapq.heappop(slots))
        mean_log = math.log(MEAN_SERVICE_S) - 0.125
        end = start + self._random.lognormvariate(mean_log, 0.5)
        heapq.heappush(slots, end)
        first_s = start - now + FIRST_EVENT_S
        heapq.heappush(
            self._events, (now + first_s, self._sent, vm, target, first_s)
        )
        heapq.heappush(self._events, (end, self._sent, vm, target, 0.0))
        if now > CALM_S:
            self.waits_s.append(start - now)

    def _handle_events(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            at, _, vm, target, first_s = heapq.heappop(self._events)
            if not self._informed:
                continue
            chooser = self._choosers[vm]
            if first_s:
                chooser.record_response(target, "route", first_s, at)
            else:
                chooser.request_ended(target)


def test_late_first_events_move_sessions_from_engines_with_queues() -> None:
    blind = Burst(load=0.8, informed=False).play()
    informed = Burst(load=0.8, informed=True).play()
    assert informed < 0.75 * blind


def test_nothing_is_lost_at_a_moderate_load() -> None:
    blind = Burst(load=0.5, informed=False).play()
    informed = Burst(load=0.5, informed=True).play()
    assert informed <= blind
