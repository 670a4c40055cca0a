"""Many VMs with few requests each, in front of many targets.

The pattern: hundreds of VMs, tens of targets, one or two requests a second
at each VM. Measured are connections opened and the evenness of load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lycheestall.entry.placement.target_chooser import (
    BUSY_RUNNING,
    TargetChooser,
)
from lycheestall.entry.placement.target_subset import MIN_TARGETS
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_table

IDLE_S = 4.0
SERVICE_S = 0.12
WARM_UP_S = 5.0


@dataclass
class Load:
    """Requests of many VMs in virtual time.

    Attributes:
        opened: Connections opened after the warm-up.
        requests: Requests sent.
        peak: Most requests that ran at one target at once.
        used: Targets that each VM has used.
    """

    vms: int
    targets: int
    rate_s: float
    opened: int = 0
    requests: int = 0
    peak: int = 0
    used: dict[int, set[TargetId]] = field(default_factory=dict)

    def play(self, seconds: float, *, whole: bool = False) -> None:
        """Plays Poisson arrivals."""
        chances = random.Random(5)
        table = new_table(self.targets)
        choosers = [
            TargetChooser(table, vm=f"vm-{n}") for n in range(self.vms)
        ]
        idle_until: dict[tuple[int, TargetId], float] = {}
        running: list[tuple[float, int, TargetId]] = []
        now = 0.0
        while now < seconds:
            now += chances.expovariate(self.vms * self.rate_s)
            for end, vm, target in [r for r in running if r[0] <= now]:
                choosers[vm].request_ended(target)
                idle_until[(vm, target)] = end + IDLE_S
                running.remove((end, vm, target))
            vm = chances.randrange(self.vms)
            chosen = choosers[vm].choose(
                SERVICE,
                affinity=str(self.requests),
                tie_break=b"",
                avoid=(),
                now=now,
                prefix_tokens=10_000 if whole else 0,
            )
            assert chosen is not None
            target = chosen.target
            self.requests += 1
            was_open = idle_until.pop((vm, target), 0.0) >= now
            if not was_open and now >= WARM_UP_S:
                self.opened += 1
            self.used.setdefault(vm, set()).add(target)
            choosers[vm].request_started(target)
            running.append((now + SERVICE_S, vm, target))
            here = sum(1 for r in running if r[2] == target)
            self.peak = max(self.peak, here)


def test_a_subset_saves_most_connections_and_keeps_targets_even() -> None:
    spread = Load(vms=120, targets=28, rate_s=1.2)
    spread.play(20.0, whole=True)
    narrow = Load(vms=120, targets=28, rate_s=1.2)
    narrow.play(20.0)
    assert narrow.requests == spread.requests
    assert narrow.opened < 0.5 * spread.opened
    assert narrow.peak <= spread.peak + 2


def test_a_vm_with_many_requests_uses_all_targets() -> None:
    load = Load(vms=2, targets=9, rate_s=40.0)
    load.play(5.0)
    assert len(load.used[0]) == 9


def test_vms_share_all_targets_among_them() -> None:
    load = Load(vms=60, targets=28, rate_s=1.0)
    load.play(10.0)
    assert len(set().union(*load.used.values())) == 28


def test_a_busy_subset_is_left_for_the_other_targets() -> None:
    chooser = TargetChooser(new_table(10), vm="vm")
    used: set[TargetId] = set()
    for number in range(MIN_TARGETS * BUSY_RUNNING + 1):
        chosen = chooser.choose(
            SERVICE, affinity=None, tie_break=b"%d" % number, avoid=(), now=0.0
        )
        assert chosen is not None
        chooser.request_started(chosen.target)
        used.add(chosen.target)
    assert len(used) > MIN_TARGETS


def test_a_target_that_leaves_changes_the_subset_by_one() -> None:
    table = new_table(20)
    chooser = TargetChooser(table, vm="vm")

    def subset(first: int) -> set[TargetId]:
        chosen = {
            chooser.choose(
                SERVICE,
                affinity=str(number),
                tie_break=b"",
                avoid=(),
                now=1000.0 * number,
            )
            for number in range(first, first + 60)
        }
        return {c.target for c in chosen if c is not None}

    before = subset(0)
    table.remove(next(iter(sorted(before))), 0.0)
    after = subset(60)
    assert len(before) == len(after) == MIN_TARGETS
    assert len(before & after) == MIN_TARGETS - 1


def choose(chooser: TargetChooser, now: float, *, denials: int) -> TargetId:
    """Chooses a target for a request that several others don't take."""
    denied: set[TargetId] = set()
    for number in range(denials + 1):
        chosen = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % int(now * 1000),
            avoid=denied,
            now=now,
            is_new_attempt=number == 0,
        )
        assert chosen is not None
        denied.add(chosen.target)
    return chosen.target


def test_targets_at_their_limits_do_not_widen_the_subset() -> None:
    chooser = TargetChooser(new_table(40), vm="vm")
    for step in range(40):
        choose(chooser, float(step), denials=9)
    used = {choose(chooser, 40.0 + step, denials=0) for step in range(40)}
    assert len(used) == MIN_TARGETS
