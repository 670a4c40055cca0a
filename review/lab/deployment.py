"""A small deployment of stand-ins and real processes, for the cases."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TextIO

from review.lab.callers import Answer, send
from review.lab.machines import Machine, create_machines
from review.lab.servers import Server
from review.lab.store import Store

HOST = "ficu95.example"
PLAN_SERVICE = "huvo11a"
APP_SERVICE = "wuno96b"
STRIDE = 14
EVENTS = 20
TURN_TOKENS = STRIDE * EVENTS
ZONES = ["bhuj-a", "bhuj-b", "anjar-c"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
RESULTS = (
    "the rule was kept",
    "the rule was broken",
    "the case could not run",
)
LIMIT_S = 110.0
"""Seconds after which a case that has not ended counts as not run."""


class Deployment:
    """The store, the servers, the machines and the record of a case.

    Args:
        record: Receives what was sent, answered and run.
        folder: Temporary folder for settings and logs.
        trouble: Whether the disruption takes place.

    Attributes:
        trouble: Whether the disruption takes place.
        store: The store.
        machines: The machines, in the order in which they were created.
        servers: The servers.
    """

    def __init__(self, record: TextIO, folder: Path, *, trouble: bool) -> None:
        self.trouble = trouble
        self.store = Store()
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self._folder = folder
        self._record = record
        self._started_at = asyncio.get_running_loop().time()
        self._version = 0
        self._requests = 0
        self._ports: int | None = None

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        now = asyncio.get_running_loop().time() - self._started_at
        self._record.write(f"{now:8.3f} {text}\n")
        self._record.flush()

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        document = _configuration(self._version)
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.note(f"configuration {self._version}")

    async def start(self, machines: int, *, ports_for: int = 0) -> None:
        """Starts servers and machines, and waits until these are ready.

        Args:
            machines: Number of machines.
            ports_for: Number of machines for which ports must be free, those
                that are added later included.
        """
        self.configure()
        for zone in ZONES:
            for service, events in ((PLAN_SERVICE, EVENTS), (APP_SERVICE, 0)):
                server = Server(
                    f"i-{service}-{zone}",
                    service,
                    self.store,
                    zone=zone,
                    events=events,
                )
                self.servers.append(server)
                await server.start()
        zones = [ZONES[n % len(ZONES)] for n in range(machines)]
        for machine in await create_machines(
            self.store, self._folder, zones, spare=ports_for
        ):
            self.machines.append(machine)
            machine.start(bootstrap=True)
        for machine in self.machines:
            await machine.wait_until_ready()
        self.note(f"{machines} machines are ready")

    async def add_machine(self, zone: str) -> Machine:
        """Starts a machine at another address."""
        first = len(self.machines) + 1
        (machine,) = await create_machines(
            self.store,
            self._folder,
            [zone],
            first=first,
            ports=self.machines[0].front[1],
        )
        self.machines.append(machine)
        machine.start()
        self.note(f"{machine.name} is started at a new address")
        return machine

    async def turn(
        self, machine: Machine, program: str, budget: int, session: str = "s"
    ) -> Answer:
        """Sends one turn of a program and records what became of it."""
        self._requests += 1
        request = f"{program}-{self._requests:04d}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Program-Id": program,
            "X-Session-Id": session,
            "X-Finish-Ms": "5200",
            "X-Token-Budget": str(budget),
            "X-Token-Usage": f"1460,{TURN_TOKENS}",
            "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            "X-Model": "m",
        }
        answer = await send(
            machine.front, "POST", "/lohu930/2f", headers, request.encode() * 9
        )
        text = f"{answer.events} events"
        if answer.status != 200:
            text = answer.body.decode(errors="replace").strip()
        end = "whole" if answer.whole else "not whole"
        self.note(
            f"turn {request} at {machine.name}: {answer.status} {end}: {text}"
        )
        return answer

    async def fetch(self, machine: Machine, path: str) -> Answer:
        """Sends a safe request of a new program and records its answer."""
        self._requests += 1
        request = f"fetch-{self._requests:05d}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Program-Id": f"{self._requests:06x}",
            "X-Session-Id": f"{self._requests:05x}a",
            "X-Finish-Ms": "5200",
        }
        answer = await send(machine.front, "GET", path, headers, limit_s=1.5)
        text = answer.body.decode(errors="replace").strip()
        self.note(f"{request} at {machine.name}: {answer.status} {text}")
        return answer

    def silence_store(self) -> None:
        """Makes the store silent towards all machines."""
        self.store.silent |= {m.store_port for m in self.machines}
        self.note("the store is down (silent)")

    def restore_store(self) -> None:
        """Ends the store's silence."""
        self.store.silent.clear()
        self.note("the store is back")

    def close(self) -> None:
        """Ends all processes and closes all ports."""
        for machine in self.machines:
            machine.kill()
        for server in self.servers:
            server.stop()
        self.store.close()


def run_case(
    play: Callable[[Deployment], Awaitable[bool]],
    record: TextIO,
    *,
    trouble: bool,
    deployments: int = 1,
) -> None:
    """Plays a case and exits with its result.

    Args:
        play: Plays it; returns whether the rule was kept.
        record: Receives what was sent, answered and run, and the result.
        trouble: Whether the disruption takes place.
        deployments: Number of deployments on which it is played, one after
            the other, as long as the rule is kept.
    """
    deadline = time.monotonic() + LIMIT_S
    record.write(f"the disruption takes place: {trouble}\n")
    result = NOT_RUN
    for _ in range(deployments):
        left_s = deadline - time.monotonic()
        result = asyncio.run(_run(play, record, trouble, left_s))
        if result != HELD:
            break
    record.write(f"{RESULTS[result]}\n")
    record.close()
    sys.exit(result)


async def _run(
    play: Callable[[Deployment], Awaitable[bool]],
    record: TextIO,
    trouble: bool,
    limit_s: float,
) -> int:
    task = asyncio.current_task()
    assert task is not None
    # A case that is stopped from outside ends its processes as well.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder), trouble=trouble)
        try:
            async with asyncio.timeout(limit_s):
                held = await play(deployment)
            result = HELD if held else BROKEN
        except Exception as error:
            # Whatever goes wrong in the script breaks no rule.
            deployment.note(f"the case could not run: {error!r}")
            result = NOT_RUN
        finally:
            deployment.close()
        if os.environ.get("KEEP_LOGS"):
            _copy_logs(Path(folder), Path(os.environ["KEEP_LOGS"]))
    return result


def _copy_logs(folder: Path, to: Path) -> None:
    to.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (to / log.name).write_bytes(log.read_bytes())


def _configuration(version: int) -> dict[str, object]:
    stream = {
        "name": "r-plan",
        "host": HOST,
        "path_prefix": "/lohu930/",
        "kind": "stream",
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 0,
        "service": PLAN_SERVICE,
        "max_attempts": 1,
        "retain_context": False,
        "retention_s": 60.0,
        "session_affinity": True,
        "resumable": True,
        "gap_aim_ms": 150,
    }
    order = {
        "name": "r-order",
        "host": HOST,
        "path_prefix": "/puxa403/",
        "kind": "unsafe",
        "timeout_ms": 6000,
        "target_latency_ms": 800,
        "priority": 2,
        "service": APP_SERVICE,
        "max_attempts": 1,
    }
    fetch = {
        "name": "r-map",
        "host": HOST,
        "path_prefix": "/pule252/",
        "kind": "safe",
        "timeout_ms": 1500,
        "target_latency_ms": 250,
        "priority": 2,
        "service": APP_SERVICE,
    }
    engine = {
        "slots": 8,
        "kv_tokens": 97850,
        "kv_bytes": 18432,
        "link_mbps": 130000.0,
        "moves": True,
        "backups": True,
        "stride": STRIDE,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    plain = {
        "health_path": "/health",
        "max_conns": 150,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": [stream, order, fetch],
        "services": [
            {"name": PLAN_SERVICE, **plain, "engine": engine},
            {"name": APP_SERVICE, **plain},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
