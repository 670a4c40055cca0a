"""Runs a small deployment of both co-operatives and checks its promises.

Stand-ins and entry VMs run as separate processes on loopback addresses.
While programs of both co-operatives run, one entry VM is killed and one
rule is published. The exit code is 0 only if every check holds.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from lycheestall._reactor import install_reactor

install_reactor()

from _checks import (  # noqa: E402
    Check,
    check_answers,
    check_budgets,
    check_finished,
    check_held,
    check_order,
    check_runs,
)
from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from twisted.internet import reactor as _installed  # noqa: E402
from twisted.internet.defer import Deferred, ensureDeferred  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402

from lycheestall._http_client import HttpClient  # noqa: E402
from lycheestall._load_workloads import Scale  # noqa: E402
from lycheestall.bench_load import (  # noqa: E402
    LoadBench,
    LoadSettings,
    WorkloadSettings,
)

reactor: Any = _installed

VICTIM = "vm-3"
LIST_LAG_S = 1.0
IN_FORCE_LIMIT_S = 10.0
PROGRESS_S = 0.5
HELD_LIMIT_S = 5.0
BUDGET_TOKENS = 60_000
FIRST_RULES = f"""\
budget of everyone is {BUDGET_TOKENS} tokens  # Meena, planning crew
operation POST /orders of application poles is non-idempotent  # Harsh
operation POST /placements of application poles is non-idempotent  # Harsh
operation POST /metal-orders of application foundry is non-idempotent  # Aigul
operation POST /invoices of application foundry is non-idempotent  # Aigul
operation POST /check of application survey is idempotent  # Meena
"""
SECOND_RULES = FIRST_RULES + "weight of account snowline is 2  # Harsh\n"
TUNING = {
    "lease_s": 2.0,
    "lease_margin_s": 0.5,
    "heartbeat_interval_s": 0.25,
    "renewal_interval_s": 0.5,
    "drain_limit_s": 20.0,
}


class Demo:
    """One run of the demo.

    Args:
        cluster: The deployment.
        client: Sends requests.
    """

    def __init__(self, cluster: Cluster, client: HttpClient) -> None:
        self._cluster = cluster
        self._clock = client.clock
        self._started = client.clock.seconds()
        self._bench = LoadBench(_load(cluster), reactor)
        self._planned = sum(item.programs for item in _load(cluster).workloads)
        self._event = "starting"
        self._shown = ""
        self._in_force_s: list[float] = []
        self.checks: list[Check] = []

    async def run(self) -> None:
        """Runs the deployment, the load and the checks."""
        await self._cluster.start()
        self._say("all processes are ready")
        version = await self._publish(0, FIRST_RULES)
        load = ensureDeferred(self._bench.run())
        load.addErrback(self._load_failed)
        await self._until_done(0.3)
        await self._kill()
        await self._until_done(0.6)
        await self._publish(version, SECOND_RULES)
        await self._watch(load)
        await self._check()

    def table(self) -> list[str]:
        """Returns the run's result as lines."""
        summary = self._bench.report.summary()
        latency = summary["program_latency_s_by_workload"]
        lines = [f"{'workload':<12}{'mean s':>8}{'p50 s':>8}{'p95 s':>8}"]
        for name, row in latency.items():
            cells = [
                f"{row.get(key, 0):8.2f}" for key in ("mean", "p50", "p95")
            ]
            lines.append(f"{name:<12}{''.join(cells)}")
        lines.append(
            f"programs {summary['programs_finished']}/{summary['programs']}"
            f"  calls {summary['calls']}  requests {summary['requests']}"
            f"  resumed {summary['resumes']}  took {self._age_s():.1f} s"
        )
        lines.append(f"calls by outcome {summary['calls_by_outcome']}")
        return lines + [check.line() for check in self.checks]

    async def _publish(self, base: int, text: str) -> int:
        vm = self._live()[0]
        if base == 0:
            base = await self._cluster.rules_version(vm) or -1
        started = self._clock.seconds()
        status, answer = await self._cluster.publish(vm, base, text)
        if status != 200:
            self._fault("rules are published", f"status {status}: {answer}")
            return base
        version = int(answer["version"])
        while self._clock.seconds() - started < IN_FORCE_LIMIT_S:
            versions = [
                await self._cluster.rules_version(name)
                for name in self._live()
            ]
            if all(found == version for found in versions):
                self._in_force_s.append(self._clock.seconds() - started)
                self._say(f"rules {version} in force on {len(versions)} VMs")
                return version
            await self._cluster.sleep(0.05)
        self._fault("rules take hold everywhere", f"{version}: {versions}")
        return version

    async def _kill(self) -> None:
        self._cluster.processes.by_name[VICTIM].signal(signal.SIGKILL)
        self._say(f"{VICTIM} killed")
        reactor.callLater(
            LIST_LAG_S, lambda: ensureDeferred(self._cluster.drop_vm(VICTIM))
        )

    async def _until_done(self, share: float) -> None:
        while self._done() < share * self._planned:
            self._progress()
            await self._cluster.sleep(PROGRESS_S)

    async def _watch(self, load: Deferred[Any]) -> None:
        while not load.called:
            self._progress()
            await self._cluster.sleep(PROGRESS_S)
        await load

    async def _check(self) -> None:
        cluster = self._cluster
        report = self._bench.report
        engines = await self._settled_engines()
        runners = [await cluster.record(name) for name in cluster.runners]
        self.checks += [
            check_finished(report),
            check_answers(report.calls),
            check_order(engines),
            check_runs(runners, report.calls),
            check_budgets(engines, BUDGET_TOKENS),
            check_held(engines),
            self._check_rules(),
            self._check_stop(),
        ]

    async def _settled_engines(self) -> list[dict[str, Any]]:
        end = self._clock.seconds() + HELD_LIMIT_S
        while True:
            names = self._cluster.engines
            engines = [await self._cluster.record(name) for name in names]
            held = any(record["held"] for record in engines)
            if not held or self._clock.seconds() > end:
                return engines
            await self._cluster.sleep(0.1)

    def _check_rules(self) -> Check:
        faults = () if len(self._in_force_s) == 2 else ("not on all VMs",)
        took = ", ".join(f"{seconds:.2f} s" for seconds in self._in_force_s)
        return Check(f"rules in force on all VMs ({took})", 2, faults)

    def _check_stop(self) -> Check:
        codes = self._cluster.processes.stop(self._live())
        faults = [f"{name}: {code}" for name, code in codes.items() if code]
        return Check("entry VMs stop gracefully", len(codes), (*faults,))

    def _load_failed(self, failure: Any) -> None:
        self._fault("the load runs", failure.getErrorMessage())

    def _fault(self, name: str, fault: str) -> None:
        self.checks.append(Check(name, 1, (fault,)))
        self._say(f"{name}: {fault}")

    def _live(self) -> list[str]:
        by_name = self._cluster.processes.by_name
        return [name for name in self._cluster.vms if by_name[name].alive()]

    def _done(self) -> int:
        return sum(bool(p.duration_s) for p in self._bench.report.programs)

    def _age_s(self) -> float:
        return float(self._clock.seconds() - self._started)

    def _say(self, event: str) -> None:
        self._event = event
        self._progress()
        if sys.stdout.isatty():
            print(flush=True)

    def _progress(self) -> None:
        report = self._bench.report
        line = (
            f"{self._age_s():5.1f} s  programs {self._done()}/{self._planned}"
            f"  calls {len(report.calls)}  VMs {len(self._live_or_none())}"
            f"  {self._event}"
        )
        if sys.stdout.isatty():
            print(f"\r{line:<78}", end="", flush=True)
        elif line != self._shown:
            print(line, flush=True)
        self._shown = line

    def _live_or_none(self) -> list[str]:
        started = set(self._cluster.processes.by_name)
        return self._live() if started >= set(self._cluster.vms) else []


def _load(cluster: Cluster) -> LoadSettings:
    snowline, bronze = KEY_BY_ACCOUNT["snowline"], KEY_BY_ACCOUNT["bronze"]
    scale = Scale(pause_s=0.3, answer_tokens=24, turns=4)
    return LoadSettings(
        base_urls=cluster.callers_urls(),
        workloads=[
            WorkloadSettings("pole_run", snowline, "planner", 12, 4, scale),
            WorkloadSettings("quotation", bronze, "planner", 10, 3, scale),
            WorkloadSettings("voicing", bronze, "planner", 6, 2, scale),
        ],
        seed=int(os.environ.get("DEMO_SEED", "1")),
    )


def run_on_reactor(work: Coroutine[Any, Any, None]) -> int:
    """Runs a coroutine on the reactor and stops the reactor after it.

    Args:
        work: The coroutine.

    Returns:
        0, or 1 when it raised.
    """
    failures: list[Any] = []

    def start() -> None:
        done = ensureDeferred(work)
        done.addErrback(failures.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    for failure in failures:
        print(failure.getTraceback(), file=sys.stderr)
    return 1 if failures else 0


def main() -> int:
    """Runs the demo; returns its exit code."""
    with tempfile.TemporaryDirectory(prefix="lycheestall-demo-") as name:
        pool = HTTPConnectionPool(reactor, persistent=False)
        client = HttpClient(reactor, pool)
        plan = ClusterPlan(
            vms=4,
            engine={"decode_base_s": 0.006, "decode_sequence_s": 0.0004},
            tuning=TUNING,
        )
        cluster = Cluster(plan, Path(name), client)
        demo = Demo(cluster, client)
        try:
            failed = run_on_reactor(demo.run())
        finally:
            cluster.processes.stop_all()
        print("\n".join(["", *demo.table()]))
        held = all(check.held for check in demo.checks) and demo.checks
        return 0 if held and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
