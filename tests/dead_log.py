"""How many programs get through ten minutes of dead log with deaths.

Run as ``python -m tests.dead_log``; prints a table. ``--way log`` is a
way that was turned down: authority by the log lease alone.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from lycheestall.authority import Authority
from lycheestall.settings import TuningSettings
from tests.fake_callers import Action, Chat, FakeCaller, Pause, StepKind
from tests.promises import broken_promises
from tests.system import System

VMS = 12
OUTAGE_S = 600.0
SPREAD_S = 540.0
AFTER_S = 200.0
PATIENCE = 1_000
RUN = (Chat("plan"), Pause(20.0), Chat("explain"), Pause(20.0), Chat("end"))


@dataclass(frozen=True)
class Result:
    """What became of the programs.

    Attributes:
        programs: How many there were.
        during: Finished while the log was away.
        after: Finished after it came back.
        never: Not finished.
        broken: Names of broken promises.
    """

    programs: int
    during: int
    after: int
    never: int
    broken: tuple[str, ...]


@contextmanager
def log_lease_only() -> Iterator[None]:
    """Switches the peer lease off."""
    replied = Authority.replied
    Authority.replied = lambda *_: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        Authority.replied = replied  # type: ignore[method-assign]


def measure(programs: int, deaths: int, *, seed: int) -> Result:
    """Runs programs that all open before the log goes away.

    Args:
        programs: How many.
        deaths: VMs that die in the outage, a minute apart.
        seed: The world's seed.
    """
    system = System(
        seed=seed,
        vms=VMS,
        engines=5,
        tuning=TuningSettings(partitions=64),
    )
    assert system.settle()
    world = system.world
    world.run_for(3.0)
    start = world.now + 30.0
    callers: list[FakeCaller] = []
    for index in range(programs):
        wait = Pause(30.0 + SPREAD_S * index / programs)
        steps: tuple[StepKind, ...] = (Chat("open"), wait, *RUN)
        if index % 10 == 0:
            steps = (*steps, Action(f"order-{index}"))
        caller = system.add_caller("trust", steps, patience=PATIENCE)
        callers.append(caller)
        world.run_for(20.0 / programs)
    world.run_until(start)
    system.log.outage(start, start + OUTAGE_S)
    for death in range(deaths):
        name = f"vm-{death * 3:02d}"
        world.at(start + 60.0 * (death + 1), lambda n=name: system.kill_vm(n))
    world.run_until(start + OUTAGE_S)
    during = sum(caller.finished for caller in callers)
    world.run_while(system.crowd.busy, AFTER_S)
    total = sum(caller.finished for caller in callers)
    found = broken_promises(system.judge())
    found.pop("memory", None)
    return Result(
        programs,
        during,
        total - during,
        programs - total,
        tuple(sorted(found)),
    )


def main(arguments: list[str]) -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=("peer", "log"), default="peer")
    chosen = parser.parse_args(arguments)
    print("way              deaths  during  after  never  broken")
    for deaths in (0, 1, 3):
        if chosen.way == "peer":
            result = measure(chosen.programs, deaths, seed=chosen.seed)
        else:
            with log_lease_only():
                result = measure(chosen.programs, deaths, seed=chosen.seed)
        _print(f"{chosen.way} lease", deaths, result)
    return 0


def _print(way: str, deaths: int, result: Result) -> None:
    print(
        f"{way:<16} {deaths:>6} {result.during:>7} {result.after:>6} "
        f"{result.never:>6}  {', '.join(result.broken)}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
