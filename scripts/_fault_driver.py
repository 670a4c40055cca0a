"""Draws faults of entry VMs, platform and targets and carries them out."""

from __future__ import annotations

import signal
from random import Random
from typing import Any

from _checks import PlannedStop
from _trial import Trial
from twisted.internet.defer import Deferred, ensureDeferred

__all__ = ["FaultDriver"]

LIST_LAG_S = 2.0
REPLACE_AFTER_S = 6.0
FAULT_GAP_S = (1.5, 4.0)
PAUSE_S = (2.0, 9.0)
MOST_AWAY = 3
SETTLE_S = 3.0
STOP_POLL_S = 0.02
PLATFORM_GAP_S = (1.0, 3.0)
PLATFORM_FAULT_S = (2.0, 10.0)
_Faults = tuple[dict[str, Any], ...]
_OUTAGE: _Faults = ({"kind": "outage"},)
_LOG_FAULTS: _Faults = (
    {"kind": "outage"},
    {"kind": "lost", "operation": "append", "share": 0.3},
    {"kind": "late", "operation": "append", "share": 0.1, "delay_s": 1.5},
    {"kind": "slow", "share": 0.5, "delay_s": 0.5},
)
_RUNNER_FAULTS: _Faults = (
    {"kind": "outage", "operation": "run", "share": 0.5},
    {"kind": "lost", "operation": "run", "share": 0.5},
    {"kind": "slow", "operation": "run", "delay_s": 1.0},
)
_ENGINE_FAULTS: _Faults = (
    {"kind": "cut", "operation": "generate", "share": 0.5, "chunks": 2},
    {"kind": "stall", "operation": "generate", "limit": 1, "chunks": 2},
    {"kind": "outage", "operation": "generate", "share": 0.5},
    {"kind": "slow", "operation": "generate", "delay_s": 1.0},
)


class FaultDriver:
    """Kills and pauses entry VMs until it is stopped.

    Args:
        trial: The trial.
        seed: Draws the VMs, the faults and their times.
        platform: Whether platform and targets fail as well.

    Attributes:
        events: What was done, in order.
        stops: The planned stops among them.
    """

    def __init__(
        self, trial: Trial, seed: int, *, platform: bool = False
    ) -> None:
        self._platform = platform
        self._seed = seed
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
        if self._platform:
            pending.append(ensureDeferred(self._break_platform()))
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

    async def _break_platform(self) -> None:
        random = Random(f"platform {self._seed}")
        while not self._stopped:
            await self._cluster.sleep(random.uniform(*PLATFORM_GAP_S))
            await self._break_one(random)

    async def _break_one(self, random: Random) -> None:
        name = random.choice(self._breakable())
        kinds = {"log": _LOG_FAULTS, "vm-list": _OUTAGE}
        faults = kinds.get(name, _RUNNER_FAULTS)
        if name in self._cluster.engines:
            faults = _ENGINE_FAULTS
        fault = random.choice(faults)
        length_s = random.uniform(*PLATFORM_FAULT_S)
        self._note(f"{fault['kind']} at", name, length_s)
        url = f"{self._cluster.url(name)}/admin/faults"
        await self._cluster.send("PUT", url, [{**fault, "until_s": length_s}])

    def _breakable(self) -> list[str]:
        cluster = self._cluster
        targets = [*cluster.engines, *cluster.runners]
        return ["log", "log", "vm-list", *targets]

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
