"""Runs a small deployment of both co-operatives and checks its promises.

Stand-ins and entry VMs run as separate processes on loopback addresses.
While programs of both co-operatives run, one entry VM is killed and one
rule is published. The exit code is 0 only if every check holds.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from lycheestall._reactor import install_reactor

install_reactor()

from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from _resume import check_resume  # noqa: E402
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

VICTIM = "vm-3"
LIST_LAG_S = 1.0
LIMIT_S = 50.0
HOLD_NETWORK = "127.0.7"
PLAN = ClusterPlan(
    vms=4,
    engine={"decode_base_s": 0.006, "decode_sequence_s": 0.0004},
    tuning={
        "lease_s": 2.0,
        "lease_margin_s": 0.5,
        "heartbeat_interval_s": 0.25,
        "renewal_interval_s": 0.5,
        "drain_limit_s": 20.0,
    },
)


def load_of(cluster: Cluster) -> LoadSettings:
    """Returns the programs that run.

    Args:
        cluster: Where they run.
    """
    snowline, bronze = KEY_BY_ACCOUNT["snowline"], KEY_BY_ACCOUNT["bronze"]
    scale = WorkloadScale(pause_s=0.3, answer_tokens=24, turns=4)
    return LoadSettings(
        base_urls=cluster.callers_urls(),
        workloads=[
            WorkloadSettings("pole_run", snowline, "planner", 12, 4, scale),
            WorkloadSettings("quotation", bronze, "planner", 10, 3, scale),
            WorkloadSettings("voicing", bronze, "planner", 6, 2, scale),
        ],
        seed=int(os.environ.get("DEMO_SEED", "1")),
    )


async def hold(trial: Trial) -> None:
    """Runs the deployment until it is interrupted.

    Args:
        trial: The trial.
    """
    cluster = trial.cluster
    await cluster.start()
    await trial.publish_first()
    print(f"entry VMs: {' '.join(cluster.callers_urls())}")
    print(f"keys: {' '.join(KEY_BY_ACCOUNT.values())}; Ctrl-C stops all")
    await Deferred()


async def run_demo(trial: Trial, client: HttpClient) -> None:
    """Runs the deployment, the load, both events and the checks.

    Args:
        trial: The trial.
        client: Sends requests.
    """
    cluster = trial.cluster
    await cluster.start()
    trial.say("all processes are ready")
    first = await trial.publish_first()
    trial.checks.append(await check_resume(cluster, client))
    load = await trial.start_load()
    await trial.until_done(0.3, load)
    cluster.processes.by_name[VICTIM].signal(signal.SIGKILL)
    client.clock.callLater(
        LIST_LAG_S, lambda: ensureDeferred(cluster.drop_vm(VICTIM))
    )
    trial.say(f"{VICTIM} killed")
    await trial.until_done(0.6, load)
    line = "weight of account snowline is 2  # Harsh, crew 4\n"
    await trial.publish(first, cluster.rules + line)
    await trial.until_done(1.0, load)
    await load
    await trial.check()
    trial.check_stop()


def main() -> int:
    """Runs the demo; returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--hold",
        action="store_true",
        help=f"serve on {HOLD_NETWORK}.* until interrupted, run no load",
    )
    options = parser.parse_args()
    reactor: Any = _installed
    client = HttpClient(reactor, HTTPConnectionPool(reactor, persistent=False))
    network = HOLD_NETWORK if options.hold else ""
    with tempfile.TemporaryDirectory(prefix="lycheestall-demo-") as name:
        cluster = Cluster(PLAN, Path(name), client, network=network)
        load = load_of(cluster)
        trial = Trial(cluster, client, load, limit_s=LIMIT_S)
        work = hold(trial) if options.hold else run_demo(trial, client)
        try:
            whole = run_on_reactor(work)
        finally:
            cluster.processes.stop_all()
    if options.hold:
        return 0
    print("\n".join(["", *trial.table()]))
    return 0 if whole and trial.held() else 1


if __name__ == "__main__":
    sys.exit(main())
