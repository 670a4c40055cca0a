"""Injects random faults into entry VMs, the platform and targets."""

from __future__ import annotations

import signal
from random import Random
from typing import Any

from _checks import GracefulShutdown
from _end_to_end_run import EndToEndRun
from twisted.internet.defer import Deferred, ensureDeferred

__all__ = ["FaultInjector"]

# From a VM's failure until the VM list drops it, and from then until its
# replacement starts.
VM_LIST_DELAY_S = 2.0
REPLACEMENT_DELAY_S = 6.0
FAULT_INTERVAL_S = (1.5, 4.0)
PAUSE_DURATION_S = (2.0, 9.0)
MAX_UNAVAILABLE_VMS = 3
# Between a VM's return and the time at which it counts as available again.
RECOVERY_DELAY_S = 3.0
EXIT_POLL_INTERVAL_S = 0.02
PLATFORM_FAULT_INTERVAL_S = (1.0, 3.0)
PLATFORM_FAULT_DURATION_S = (2.0, 10.0)
_FaultChoices = tuple[dict[str, Any], ...]
_OUTAGE: _FaultChoices = ({"kind": "outage"},)
_LOG_FAULTS: _FaultChoices = (
    {"kind": "outage"},
    {"kind": "lost", "operation": "append", "share": 0.3},
    {"kind": "late", "operation": "append", "share": 0.1, "delay_s": 1.5},
    {"kind": "slow", "share": 0.5, "delay_s": 0.5},
)
_RUNNER_FAULTS: _FaultChoices = (
    {"kind": "outage", "operation": "run", "share": 0.5},
    {"kind": "lost", "operation": "run", "share": 0.5},
    {"kind": "slow", "operation": "run", "delay_s": 1.0},
)
_ENGINE_FAULTS: _FaultChoices = (
    {"kind": "cut", "operation": "generate", "share": 0.5, "chunks": 2},
    {"kind": "stall", "operation": "generate", "limit": 1, "chunks": 2},
    {"kind": "outage", "operation": "generate", "share": 0.5},
    {"kind": "slow", "operation": "generate", "delay_s": 1.0},
)


class FaultInjector:
    """Kills, shuts down and pauses entry VMs at random until stopped.

    Args:
        run: The end-to-end run to disturb.
        seed: The seed for the choice of VMs, faults and times.
        platform_faults: Whether to inject faults into the log service,
            the VM list and the targets as well.

    Attributes:
        events: The injected faults and recoveries, in order.
        shutdowns: The graceful shutdowns among them.
    """

    def __init__(
        self, run: EndToEndRun, seed: int, *, platform_faults: bool = False
    ) -> None:
        self._platform_faults = platform_faults
        self._seed = seed
        self._run = run
        self._cluster = run.cluster
        self._random = Random(seed)
        self._unavailable: set[str] = set()
        self._stopped = False
        self.events: list[dict[str, Any]] = []
        self.shutdowns: list[GracefulShutdown] = []

    async def run(self) -> None:
        """Injects faults until stopped, then waits for all recoveries."""
        pending: list[Deferred[None]] = []
        if self._platform_faults:
            pending.append(ensureDeferred(self._inject_platform_faults()))
        while not self._stopped:
            await self._cluster.sleep(self._random.uniform(*FAULT_INTERVAL_S))
            available = [
                n for n in self._cluster.vms if n not in self._unavailable
            ]
            if self._stopped or len(self._unavailable) >= MAX_UNAVAILABLE_VMS:
                continue
            name = self._random.choice(available)
            self._unavailable.add(name)
            inject = self._random.choice(
                (self._kill, self._pause, self._shut_down)
            )
            pending.append(ensureDeferred(inject(name)))
        for injection in pending:
            await injection

    def stop(self) -> None:
        """Injects no further faults."""
        self._stopped = True

    def unavailable_vms(self) -> set[str]:
        """Returns the VMs that are stopped, paused or not yet recovered."""
        return set(self._unavailable)

    async def _inject_platform_faults(self) -> None:
        random = Random(f"platform {self._seed}")
        while not self._stopped:
            await self._cluster.sleep(
                random.uniform(*PLATFORM_FAULT_INTERVAL_S)
            )
            await self._inject_platform_fault(random)

    async def _inject_platform_fault(self, random: Random) -> None:
        name = random.choice(self._platform_fault_candidates())
        faults_by_name = {"log": _LOG_FAULTS, "vm-list": _OUTAGE}
        faults = faults_by_name.get(name, _RUNNER_FAULTS)
        if name in self._cluster.engines:
            faults = _ENGINE_FAULTS
        fault = random.choice(faults)
        duration_s = random.uniform(*PLATFORM_FAULT_DURATION_S)
        self._record_event(f"{fault['kind']} at", name, duration_s)
        url = f"{self._cluster.url(name)}/admin/faults"
        await self._cluster.send(
            "PUT", url, [{**fault, "until_s": duration_s}]
        )

    def _platform_fault_candidates(self) -> list[str]:
        cluster = self._cluster
        targets = [*cluster.engines, *cluster.runners]
        return ["log", "log", "vm-list", *targets]

    async def _kill(self, name: str) -> None:
        self._record_event("kill", name)
        self._cluster.processes.by_name[name].signal(signal.SIGKILL)
        await self._cluster.sleep(VM_LIST_DELAY_S)
        await self._replace(name)

    async def _shut_down(self, name: str) -> None:
        self._record_event("stop", name)
        process = self._cluster.processes.by_name[name]
        started = self._run.clock.seconds()
        process.signal(signal.SIGTERM)
        while process.alive():
            await self._cluster.sleep(EXIT_POLL_INTERVAL_S)
        ended = self._run.clock.seconds()
        exit_code = process.popen.wait()
        url = self._cluster.url(name)
        self.shutdowns.append(GracefulShutdown(url, started, ended, exit_code))
        self._record_event("stopped", name, ended - started)
        await self._replace(name)

    async def _replace(self, name: str) -> None:
        await self._cluster.remove_from_vm_list(name)
        await self._cluster.sleep(REPLACEMENT_DELAY_S)
        self._cluster.start_vm(name)
        await self._cluster.add_to_vm_list(name)
        await self._cluster.wait_until_ready(name)
        await self._cluster.sleep(RECOVERY_DELAY_S)
        self._record_event("replaced", name)
        self._unavailable.discard(name)

    async def _pause(self, name: str) -> None:
        pause_s = self._random.uniform(*PAUSE_DURATION_S)
        self._record_event("pause", name, pause_s)
        process = self._cluster.processes.by_name[name]
        process.signal(signal.SIGSTOP)
        await self._cluster.sleep(pause_s)
        process.signal(signal.SIGCONT)
        await self._cluster.sleep(RECOVERY_DELAY_S)
        self._record_event("resumed", name)
        self._unavailable.discard(name)

    def _record_event(
        self, description: str, name: str, duration_s: float = 0.0
    ) -> None:
        self.events.append(
            {
                "at_s": round(self._run.elapsed_s(), 2),
                "what": description,
                "vm": name,
                "length_s": round(duration_s, 2),
            }
        )
        self._run.report_event(f"{description} {name}")
