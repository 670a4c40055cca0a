"""Runs twelve entry VMs under a mixed load with faults drawn from a seed.

Every process is separate and speaks over TCP on loopback. Entry VMs are
killed, stopped by SIGTERM, or paused past their lease, then replaced or
resumed, while programs run and rules are published. The figures go out
as JSON; the exit code is 0 only if every check holds.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any

from lycheestall._reactor import install_reactor

install_reactor()

from _checks import PlannedStop, check_stops  # noqa: E402
from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from _trial import Trial, run_on_reactor  # noqa: E402
from twisted.internet import reactor as _installed  # noqa: E402
from twisted.internet.defer import Deferred, ensureDeferred  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402

from lycheestall._http_client import HttpClient  # noqa: E402
from lycheestall._load_workloads import Scale  # noqa: E402
from lycheestall.bench_load import (  # noqa: E402
    LoadSettings,
    WorkloadSettings,
)

LIST_LAG_S = 2.0
REPLACE_AFTER_S = 6.0
FAULT_GAP_S = (1.5, 4.0)
PAUSE_S = (2.0, 9.0)
MOST_AWAY = 3
PUBLISH_EVERY_S = 8.0
SETTLE_S = 3.0
STOP_POLL_S = 0.02


class FaultDriver:
    """Kills and pauses entry VMs until it is stopped.

    Args:
        trial: The trial.
        seed: Draws the VMs, the faults and their times.

    Attributes:
        events: What was done, in order.
        stops: The planned stops among them.
    """

    def __init__(self, trial: Trial, seed: int) -> None:
        self._trial = trial
        self._cluster = trial.cluster
        self._random = Random(seed)
        self._away: set[str] = set()
        self._stopped = False
        self.events: list[dict[str, Any]] = []
        self.stops: list[PlannedStop] = []

    async def run(self) -> None:
        """Draws faults until stopped, then waits for all to return."""
        pending: list[Deferred[None]] = []
        while not self._stopped:
            await self._cluster.sleep(self._random.uniform(*FAULT_GAP_S))
            free = [n for n in self._cluster.vms if n not in self._away]
            if self._stopped or len(self._away) >= MOST_AWAY:
                continue
            name = self._random.choice(free)
            self._away.add(name)
            act = self._random.choice((self._kill, self._pause, self._stop))
            pending.append(ensureDeferred(act(name)))
        for work_done in pending:
            await work_done

    def stop(self) -> None:
        """Draws no further faults."""
        self._stopped = True

    def away(self) -> set[str]:
        """Returns the VMs that are killed or paused now."""
        return set(self._away)

    async def _kill(self, name: str) -> None:
        self._note("kill", name)
        self._cluster.processes.by_name[name].signal(signal.SIGKILL)
        await self._cluster.sleep(LIST_LAG_S)
        await self._replace(name)

    async def _stop(self, name: str) -> None:
        self._note("stop", name)
        process = self._cluster.processes.by_name[name]
        started = self._trial.clock.seconds()
        process.signal(signal.SIGTERM)
        while process.alive():
            await self._cluster.sleep(STOP_POLL_S)
        ended = self._trial.clock.seconds()
        code = process.popen.wait()
        url = self._cluster.url(name)
        self.stops.append(PlannedStop(url, started, ended, code))
        self._note("stopped", name, ended - started)
        await self._replace(name)

    async def _replace(self, name: str) -> None:
        await self._cluster.drop_vm(name)
        await self._cluster.sleep(REPLACE_AFTER_S)
        self._cluster.start_vm(name)
        await self._cluster.add_vm(name)
        await self._cluster.until_ready(name)
        await self._cluster.sleep(SETTLE_S)
        self._note("replaced", name)
        self._away.discard(name)

    async def _pause(self, name: str) -> None:
        pause_s = self._random.uniform(*PAUSE_S)
        self._note("pause", name, pause_s)
        process = self._cluster.processes.by_name[name]
        process.signal(signal.SIGSTOP)
        await self._cluster.sleep(pause_s)
        process.signal(signal.SIGCONT)
        await self._cluster.sleep(SETTLE_S)
        self._note("resumed", name)
        self._away.discard(name)

    def _note(self, what: str, name: str, length_s: float = 0.0) -> None:
        self.events.append(
            {
                "at_s": round(self._trial.age_s(), 2),
                "what": what,
                "vm": name,
                "length_s": round(length_s, 2),
            }
        )
        self._trial.say(f"{what} {name}")


def load_of(
    cluster: Cluster, *, seed: int, programs: int, concurrency: int
) -> LoadSettings:
    """Returns the mixed load of both co-operatives.

    Args:
        cluster: Where it runs.
        seed: Draws pauses, prompts and entry VMs.
        programs: Programs of each kind.
        concurrency: Programs of each kind at once.
    """
    scale = Scale(pause_s=1.0, answer_tokens=48, turns=6)
    kinds = (
        ("pole_run", "snowline"),
        ("quotation", "bronze"),
        ("voicing", "bronze"),
    )
    return LoadSettings(
        base_urls=cluster.callers_urls(),
        workloads=[
            WorkloadSettings(
                kind,
                KEY_BY_ACCOUNT[account],
                "planner",
                programs,
                concurrency,
                scale,
            )
            for kind, account in kinds
        ],
        seed=seed,
        deadline_s=60.0,
    )


async def publish_rules(
    trial: Trial, faults: FaultDriver, first: int, load: Deferred[Any]
) -> None:
    """Publishes a changed rule now and then until the load has ended."""
    version = first
    weight = 1
    since_s = trial.clock.seconds()
    while not load.called:
        trial.progress()
        await trial.cluster.sleep(0.5)
        if trial.clock.seconds() - since_s < PUBLISH_EVERY_S:
            continue
        weight += 1
        line = f"weight of account snowline is {weight}  # Harsh, crew 4\n"
        rules = trial.cluster.rules + line
        version = await trial.publish(version, rules, faults.away)
        since_s = trial.clock.seconds()


async def run_cluster(trial: Trial, faults: FaultDriver) -> None:
    """Runs the deployment, the load, the faults and the checks."""
    cluster = trial.cluster
    await cluster.start()
    trial.say("all processes are ready")
    first = await trial.publish_first()
    load = await trial.start_load()
    driving = ensureDeferred(faults.run())
    await publish_rules(trial, faults, first, load)
    faults.stop()
    await load
    await driving
    await trial.check()
    trial.checks.append(check_stops(faults.stops, trial.bench.report.calls))
    trial.check_stop()


def main() -> int:
    """Runs once; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--programs", type=int, default=40)
    parser.add_argument("--concurrency", type=int, default=6)
    parser.add_argument("--json", type=Path, help="Where figures go.")
    options = parser.parse_args()
    reactor: Any = _installed
    client = HttpClient(reactor, HTTPConnectionPool(reactor, persistent=False))
    plan = ClusterPlan(
        vms=options.vms,
        engines=5,
        runners_by_group={"poles": 2, "foundry": 2},
        engine={"decode_base_s": 0.008, "batch_limit": 32},
    )
    with tempfile.TemporaryDirectory(prefix="lycheestall-run-") as name:
        cluster = Cluster(plan, Path(name), client)
        load = load_of(
            cluster,
            seed=options.seed,
            programs=options.programs,
            concurrency=options.concurrency,
        )
        trial = Trial(cluster, client, load)
        faults = FaultDriver(trial, options.seed)
        try:
            whole = run_on_reactor(run_cluster(trial, faults))
        finally:
            cluster.processes.stop_all()
    print("\n".join(["", *trial.table()]))
    if options.json:
        figures = {
            "seed": options.seed,
            "vms": options.vms,
            **trial.figures(),
            "events": faults.events,
        }
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 0 if whole and trial.held() else 1


if __name__ == "__main__":
    sys.exit(main())
