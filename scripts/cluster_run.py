"""Runs twelve entry VMs under a mixed load with seeded faults.

All services run as separate processes that communicate over TCP on
loopback. Entry VMs are killed, shut down by SIGTERM, or paused for longer
than their lease, then replaced or resumed, while programs run and rules are
published. ``--json`` writes the results to a file. The exit code is 0 only
if every check passes.
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

from _checks import check_shutdowns  # noqa: E402
from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from _end_to_end_run import EndToEndRun, run_on_reactor  # noqa: E402
from _fault_injector import FaultInjector  # noqa: E402
from twisted.internet import reactor as _installed  # noqa: E402
from twisted.internet.defer import Deferred, ensureDeferred  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402

from lycheestall._http_client import HttpClient  # noqa: E402
from lycheestall.bench._load_workloads import WorkloadScale  # noqa: E402
from lycheestall.bench.load import (  # noqa: E402
    LoadSettings,
    WorkloadSettings,
)

PUBLISH_INTERVAL_S = 8.0


def load_settings(
    cluster: Cluster, *, seed: int, programs: int, concurrency: int
) -> LoadSettings:
    """Returns a mixed load of two client accounts.

    Args:
        cluster: The deployment to run against.
        seed: The seed for pauses, prompts and the choice of entry VMs.
        programs: Number of programs per workload.
        concurrency: Number of concurrent programs per workload.
    """
    scale = WorkloadScale(pause_s=1.0, answer_tokens=48, turns=6)
    workloads = (
        ("pole_run", "snowline"),
        ("quotation", "bronze"),
        ("voicing", "bronze"),
    )
    return LoadSettings(
        base_urls=cluster.caller_urls(),
        workloads=[
            WorkloadSettings(
                workload,
                KEY_BY_ACCOUNT[account],
                "planner",
                programs,
                concurrency,
                scale,
            )
            for workload, account in workloads
        ],
        seed=seed,
        deadline_s=60.0,
    )


async def publish_rules(
    run: EndToEndRun,
    injector: FaultInjector,
    initial_version: int,
    load: Deferred[Any],
) -> None:
    """Publishes a changed rule at intervals until the load has ended."""
    version = initial_version
    weight = 1
    last_published_s = run.clock.seconds()
    while not load.called:
        run.show_progress()
        await run.cluster.sleep(0.5)
        if run.clock.seconds() - last_published_s < PUBLISH_INTERVAL_S:
            continue
        weight += 1
        line = f"weight of account snowline is {weight}  # Harsh, crew 4\n"
        rules = run.cluster.rules + line
        version = await run.publish(version, rules, injector.unavailable_vms)
        last_published_s = run.clock.seconds()


async def run_cluster(run: EndToEndRun, injector: FaultInjector) -> None:
    """Starts the deployment, runs the load with faults, and checks."""
    cluster = run.cluster
    await cluster.start()
    run.report_event("all processes are ready")
    initial_version = await run.publish_initial_rules()
    load = await run.start_load()
    injecting = ensureDeferred(injector.run())
    await publish_rules(run, injector, initial_version, load)
    injector.stop()
    await load
    await injecting
    await run.run_checks()
    run.checks.append(
        check_shutdowns(injector.shutdowns, run.bench.report.calls)
    )
    run.check_vm_shutdown()


def main() -> int:
    """Runs the command; returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--programs", type=int, default=40)
    parser.add_argument("--concurrency", type=int, default=6)
    parser.add_argument(
        "--platform",
        action="store_true",
        help="inject faults into the log, the VM list and targets as well",
    )
    parser.add_argument(
        "--json", type=Path, help="file for the results as JSON"
    )
    options = parser.parse_args()
    reactor: Any = _installed
    client = HttpClient(reactor, HTTPConnectionPool(reactor, persistent=False))
    plan = ClusterPlan(
        vms=options.vms,
        engines=5,
        runners_by_group={"poles": 2, "foundry": 2},
        engine_parameters={"decode_base_s": 0.008, "batch_limit": 32},
    )
    with tempfile.TemporaryDirectory(prefix="lycheestall-run-") as name:
        cluster = Cluster(plan, Path(name), client)
        load = load_settings(
            cluster,
            seed=options.seed,
            programs=options.programs,
            concurrency=options.concurrency,
        )
        run = EndToEndRun(cluster, client, load)
        injector = FaultInjector(
            run, options.seed, platform_faults=options.platform
        )
        try:
            completed = run_on_reactor(run_cluster(run, injector))
        finally:
            cluster.processes.stop_all()
    print("\n".join(["", *run.summary_lines()]))
    if options.json:
        results = {
            "seed": options.seed,
            "vms": options.vms,
            "platform_faults": options.platform,
            **run.results(),
            "events": injector.events,
        }
        options.json.write_text(json.dumps(results, indent=1) + "\n")
    return 0 if completed and run.passed() else 1


if __name__ == "__main__":
    sys.exit(main())
