"""All machines are killed as a new version of the servers' software joins."""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import dataclass, field
from pathlib import Path

from review.lab.callers import receive_stream
from review.lab.deployment import HOST, PLAN_SERVICE, Deployment, run_case
from review.lab.machines import Machine
from review.lab.servers import Server

MACHINES = 2
MOST = 2
"""Streams that may hold events of two versions."""

WARM_S = 16.5
BURST = 5
"""Streams that begin at a machine at once, as those of sub-agents do."""

BURST_EACH_S = 0.12

EVENTS = 10
GAP_S = 0.08
NEW_GAP_S = 0.02
LIMIT_S = 3.0
DOWN_S = 0.5
JOINING_WAIT_S = 8.0
SETTLE_S = 2.5
DEPLOYMENTS = 4
"""The moment of the kill is met in about every second one."""


@dataclass
class _Stream:
    """One stream of a caller over all of its tries."""

    name: str
    first_request: str = ""
    events: list[tuple[int, str]] = field(default_factory=list)
    status: int = 0

    @property
    def versions(self) -> set[str]:
        """The versions of the servers that sent its events."""
        return {version for _, version in self.events}


class _Case:
    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._streams: list[_Stream] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._begun = asyncio.Event()
        self._tries = 0
        self._at_new = 0

    async def play(self) -> bool:
        """Plays the case; returns whether streams keep to their version."""
        deployment = self._deployment
        await deployment.start(MACHINES)
        servers = [s for s in deployment.servers if s.service == PLAN_SERVICE]
        for server in servers:
            server.gap_s = GAP_S
            server.events = EVENTS
        traffic = asyncio.create_task(self._traffic())
        await asyncio.sleep(WARM_S)
        await self._join_and_disrupt("v2")
        await asyncio.sleep(SETTLE_S)
        traffic.cancel()
        await asyncio.gather(*self._tasks)
        return self._judge()

    async def _join_and_disrupt(self, version: str) -> None:
        deployment = self._deployment
        self._begun.clear()
        self._at_new = 0
        joining = Server(
            f"i-{PLAN_SERVICE}-{version}",
            PLAN_SERVICE,
            deployment.store,
            zone="bhuj-a",
            version=version,
            events=EVENTS,
            gap_s=NEW_GAP_S,
        )
        deployment.servers.append(joining)
        deployment.note(f"a server of version {version} joins")
        await joining.start()
        await asyncio.wait_for(self._begun.wait(), JOINING_WAIT_S)
        await self._disrupt(joining)

    async def _disrupt(self, joining: Server) -> None:
        deployment = self._deployment
        if deployment.trouble:
            for machine in deployment.machines:
                machine.signal(signal.SIGKILL)
            deployment.note("all machines are killed")
        deployment.store.put("keyed.servers", joining.name, b"")
        deployment.note(f"{joining.name} leaves; its entry goes")
        if not deployment.trouble:
            return
        await asyncio.sleep(DOWN_S)
        for machine in deployment.machines:
            machine.kill()
            machine.start()
        deployment.note("all machines are started")

    def _mixed(self) -> list[_Stream]:
        return [s for s in self._streams if len(s.versions) > 1]

    def _judge(self) -> bool:
        mixed = self._mixed()
        for stream in mixed:
            text = " ".join(f"{n}:{v}" for n, v in stream.events)
            self._deployment.note(f"stream {stream.name}: {text}")
        whole = sum(s.status == 200 for s in self._streams)
        begun = sum(bool(s.versions - {"v1"}) for s in self._streams)
        self._deployment.note(
            f"{whole} of {len(self._streams)} streams whole; {begun} have"
            f" events of a new version; {len(mixed)} hold events of two"
            f" versions, at most {MOST} may"
        )
        if begun <= MOST:
            raise RuntimeError("too few streams began at the new version")
        return len(mixed) <= MOST

    async def _traffic(self) -> None:
        while True:
            for machine in self._deployment.machines:
                for _ in range(BURST):
                    self._start(machine)
            await asyncio.sleep(BURST_EACH_S)

    def _start(self, machine: Machine) -> None:
        stream = _Stream(f"{len(self._streams):05d}")
        self._streams.append(stream)
        self._tasks.append(asyncio.create_task(self._play(stream, machine)))

    async def _play(self, stream: _Stream, machine: Machine) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LIMIT_S
        while loop.time() < deadline and stream.status != 200:
            await self._try(stream, machine, deadline - loop.time())
            if stream.status != 200:
                await asyncio.sleep(0.2)

    async def _try(
        self, stream: _Stream, machine: Machine, left_s: float
    ) -> None:
        self._tries += 1
        request = f"{stream.name}-{self._tries:05d}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Session-Id": stream.name,
            "X-Token-Usage": "1460,280",
            "X-Prompt-Prefix": f"5c1e07a2:800,{stream.name}:250",
            "X-Model": "m",
        }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
            headers["Resumes"] = stream.first_request

        def on_event(number: int, version: str) -> None:
            if not stream.events:
                stream.first_request = request
            stream.events.append((number, version))
            if (
                version == "v2"
                and sum("v2" in s.versions for s in self._streams) > MOST
            ):
                self._begun.set()

        stream.status = await receive_stream(
            machine.front, "/lohu930/2f", headers, on_event, limit_s=left_s
        )


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether streams keep to their version."""
    return await _Case(deployment).play()


if __name__ == "__main__":
    run_case(
        play,
        Path(__file__).with_name("record.txt").open("w"),
        trouble=os.environ.get("TROUBLE", "1") != "0",
        deployments=DEPLOYMENTS,
    )
