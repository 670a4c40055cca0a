"""Runs twelve entry VMs under a mixed load with faults drawn from a seed.

Every process is separate and speaks over TCP on loopback. Entry VMs are
killed, stopped by SIGTERM, or paused past their lease, then replaced or
resumed, while programs run and rules are published. The figures go out
as JSON; the exit code is 0 only if every check holds.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from lycheestall._reactor import install_reactor

install_reactor()

from _checks import check_stops  # noqa: E402
from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from _fault_driver import FaultDriver  # noqa: E402
from _trial import Trial, run_on_reactor  # noqa: E402
from twisted.internet import reactor as _installed  # noqa: E402
from twisted.internet.defer import Deferred, ensureDeferred  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402

from lycheestall._http_client import HttpClient  # noqa: E402
from lycheestall.bench._load_workloads import WorkloadScale  # noqa: E402
from lycheestall.bench.load import (  # noqa: E402
    LoadSettings,
    WorkloadSettings,
)

PUBLISH_EVERY_S = 8.0


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
    scale = WorkloadScale(pause_s=1.0, answer_tokens=48, turns=6)
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
    parser.add_argument(
        "--platform",
        action="store_true",
        help="break the log, the VM list, engines and runners as well",
    )
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
        faults = FaultDriver(trial, options.seed, platform=options.platform)
        try:
            whole = run_on_reactor(run_cluster(trial, faults))
        finally:
            cluster.processes.stop_all()
    print("\n".join(["", *trial.table()]))
    if options.json:
        figures = {
            "seed": options.seed,
            "vms": options.vms,
            "platform_faults": options.platform,
            **trial.figures(),
            "events": faults.events,
        }
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 0 if whole and trial.held() else 1


if __name__ == "__main__":
    sys.exit(main())
