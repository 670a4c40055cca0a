"""Machines that run the deploy file's only role as a process each."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from review.lab.callers import is_ready
from review.lab.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
READY_LIMIT_S = 25.0

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=guj-west
zones.bhuj-a=guj-west
zones.bhuj-b=guj-west
zones.anjar-c=guj-west
listen.front={ip}:{front}
listen.ready={ip}:{ready}
internal_ports={internal},{internal_last}
bootstrap={bootstrap}
in_tolerance=false
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb=160
limits.max_fds=8200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.finish_s=10
bounds.settle_ms=1000
platform.address=127.0.0.1:{store}
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.part_mb_per_s=20.0
platform.read_mb_per_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


class Machine:
    """One machine, at an address of its own in the loopback range.

    Args:
        name: Its name.
        ip: Its address.
        zone: Its zone.
        ports: The first of some ports that are free on all machines.
        store_port: Where it reaches the store.
        folder: Where its settings and its log lie.

    Attributes:
        name: Its name.
        front: Where callers reach it.
        store_port: Where it reaches the store.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        *,
        ports: int,
        store_port: int,
        folder: Path,
    ) -> None:
        self.name = name
        self.front = (ip, ports)
        self._ready = (ip, ports + 1)
        self.store_port = store_port
        self._values = {
            "name": name,
            "ip": ip,
            "zone": zone,
            "front": ports,
            "ready": ports + 1,
            "internal": ports + 2,
            "internal_last": ports + 9,
            "store": store_port,
        }
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._starts = 0
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = False) -> None:
        """Starts the process with the command of the deploy file."""
        text = "true" if bootstrap else "false"
        values = {**self._values, "bootstrap": text}
        self._settings.write_text(SETTINGS.format(**values))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LYCHEESTALL_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._starts += 1

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs."""
        return None if self._process is None else self._process.poll()

    async def ready(self) -> bool:
        """Returns whether the machine says that it is ready."""
        return await is_ready(self._ready)

    async def wait_until_ready(self) -> None:
        """Waits until the machine says that it is ready.

        Raises:
            TimeoutError: If it does not in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_LIMIT_S
        while not await self.ready():
            if loop.time() > deadline:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def events(self, name: str) -> list[dict[str, object]]:
        """Returns the log lines of one kind."""
        lines: list[dict[str, object]] = []
        for line in self._log.read_text(errors="replace").splitlines():
            if f'"{name}"' not in line:
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == name:
                lines.append(entry)
        return lines


async def create_machines(
    store: Store,
    folder: Path,
    zones: list[str],
    *,
    first: int = 1,
    ports: int | None = None,
    spare: int = 0,
) -> list[Machine]:
    """Creates one machine for each zone given.

    Args:
        store: The store.
        folder: Where settings and logs lie.
        zones: The zone of each machine.
        first: Number of the first one.
        ports: The first port of the other machines; None to choose one.
        spare: Further machines for which the ports must be free.
    """
    if ports is None:
        ports = free_ports(first, len(zones) + spare)
    machines: list[Machine] = []
    for number, zone in enumerate(zones, start=first):
        machines.append(
            Machine(
                f"front-{zone}-{number:02d}",
                _ip(number),
                zone,
                ports=ports,
                store_port=await store.listen(),
                folder=folder,
            )
        )
    return machines


def free_ports(first: int, count: int) -> int:
    """Returns the first of ten ports that are free on all machines."""
    for ports in range(21_000 + os.getpid() % 500 * 10, 31_000, 10):
        if all(
            _is_free(_ip(number), port)
            for number in range(first, first + count)
            for port in range(ports, ports + 10)
        ):
            return ports
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _ip(number: int) -> str:
    return f"127.0.1.{number}"
