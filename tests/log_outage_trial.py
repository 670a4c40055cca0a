"""Counts programs that finish in a ten-minute log outage with VM losses.

Run as ``python -m tests.log_outage_trial``; prints a table. ``--way log``
measures a rejected design in which authority needs the log lease alone.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from lycheestall.authority import Authority
from lycheestall.settings import TuningSettings
from tests.fake_callers import Action, Chat, FakeCaller, Pause, ProgramStep
from tests.guarantees import violated_guarantees
from tests.simulated_deployment import SimulatedDeployment

VMS = 12
OUTAGE_S = 600.0
START_SPREAD_S = 540.0
RECOVERY_LIMIT_S = 200.0
MAX_RETRIES = 1_000
STEPS_IN_OUTAGE = (
    Chat("plan"),
    Pause(20.0),
    Chat("explain"),
    Pause(20.0),
    Chat("end"),
)


@dataclass(frozen=True)
class Result:
    """Outcome of one trial.

    Attributes:
        programs: Number of programs.
        finished_during: Programs that finished during the outage.
        finished_after: Programs that finished after the outage.
        unfinished: Programs that did not finish.
        violated: Names of the violated guarantees.
    """

    programs: int
    finished_during: int
    finished_after: int
    unfinished: int
    violated: tuple[str, ...]


@contextmanager
def log_lease_only() -> Iterator[None]:
    """Disables the peer lease, which leaves the log lease."""
    on_reply = Authority.on_reply
    Authority.on_reply = lambda *_: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        Authority.on_reply = on_reply  # type: ignore[method-assign]


def measure(programs: int, kills: int, *, seed: int) -> Result:
    """Runs programs that are all opened before the log outage.

    Args:
        programs: Number of programs.
        kills: Number of VMs killed in the outage, a minute apart.
        seed: Seed of the simulation.
    """
    deployment = SimulatedDeployment(
        seed=seed,
        vms=VMS,
        engines=5,
        tuning=TuningSettings(partitions=64),
    )
    assert deployment.settle()
    simulation = deployment.simulation
    simulation.run_for(3.0)
    start = simulation.now + 30.0
    callers: list[FakeCaller] = []
    for index in range(programs):
        wait = Pause(30.0 + START_SPREAD_S * index / programs)
        steps: tuple[ProgramStep, ...] = (Chat("open"), wait, *STEPS_IN_OUTAGE)
        if index % 10 == 0:
            steps = (*steps, Action(f"order-{index}"))
        caller = deployment.add_caller("trust", steps, max_retries=MAX_RETRIES)
        callers.append(caller)
        simulation.run_for(20.0 / programs)
    simulation.run_until(start)
    deployment.log.outage(start, start + OUTAGE_S)
    for kill in range(kills):
        name = f"vm-{kill * 3:02d}"
        simulation.at(
            start + 60.0 * (kill + 1), lambda n=name: deployment.kill_vm(n)
        )
    simulation.run_until(start + OUTAGE_S)
    finished_during = sum(caller.finished for caller in callers)
    simulation.run_while(deployment.caller_group.any_running, RECOVERY_LIMIT_S)
    finished = sum(caller.finished for caller in callers)
    violations = violated_guarantees(deployment.collect_observations())
    violations.pop("memory", None)
    return Result(
        programs,
        finished_during,
        finished - finished_during,
        programs - finished,
        tuple(sorted(violations)),
    )


def main(arguments: list[str]) -> int:
    """Runs the trials and prints a table of their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=("peer", "log"), default="peer")
    options = parser.parse_args(arguments)
    print("way              deaths  during  after  never  broken")
    for kills in (0, 1, 3):
        if options.way == "peer":
            result = measure(options.programs, kills, seed=options.seed)
        else:
            with log_lease_only():
                result = measure(options.programs, kills, seed=options.seed)
        _print(f"{options.way} lease", kills, result)
    return 0


def _print(way: str, kills: int, result: Result) -> None:
    print(
        f"{way:<16} {kills:>6} {result.finished_during:>7} "
        f"{result.finished_after:>6} "
        f"{result.unfinished:>6}  {', '.join(result.violated)}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
