"""Entry machines as processes of the deploy file, on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

from .http1 import Message, encode, send

ROOT = Path(__file__).resolve().parent.parent.parent

READY_LIMIT_S = 40.0
"""Seconds in which all machines have to become ready, or the case can't
run."""

KEPT_VARIABLES = ("PATH", "HOME", "LANG")

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
zones.zone-c=region-a
listen.front={ip}:{front}
listen.ready={ip}:{ready}
internal_ports={internal},{last_internal}
bootstrap={bootstrap}
in_tolerance=false
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb={memory_mb}
limits.max_fds=8200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.recover_s=12
{bounds}platform.address=127.0.0.1:{store}
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=24
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.ttl_min_ms=1000
"""


class CannotRunError(Exception):
    """The case could not be played."""


class Machine:
    """One entry machine."""

    def __init__(
        self, name: str, ip: str, ports: list[int], directory: Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.front = (ip, ports[0])
        self.ready_address = (ip, ports[1])
        self.internal = ports[2]
        self.log = directory / f"{name}.log"
        self.settings = directory / f"{name}.conf"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            words = tomllib.load(file)["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LYCHEESTALL_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def resident_mb(self) -> float:
        """Resident memory of the process; 0 if it has ended."""
        if not self.running:
            return 0.0
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Asks as the platform does."""
        request = encode("GET /api/ready HTTP/1.1", [("Host", "x")], b"")
        answer = await send(self.ready_address, request, limit_s=0.8)
        return answer.status == 200 and answer.whole


class Fleet:
    """The machines of a case, which share their ports."""

    def __init__(
        self,
        store_port: int,
        count: int,
        *,
        memory_mb: int = 160,
        bounds: str = "",
        bootstrap: bool = True,
    ) -> None:
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        first = 16 + os.getpid() % 200
        ips = [f"127.0.{first}.{10 + n}" for n in range(count)]
        ports = _free_ports(ips)
        self.machines = [
            Machine(f"front-{n}", ip, ports, self._directory)
            for n, ip in enumerate(ips)
        ]
        for n, machine in enumerate(self.machines):
            machine.settings.write_text(
                SETTINGS.format(
                    name=machine.name,
                    ip=machine.ip,
                    zone=f"zone-{'abc'[n % 3]}",
                    front=ports[0],
                    ready=ports[1],
                    internal=ports[2],
                    last_internal=ports[2] + 15,
                    bootstrap="true" if bootstrap else "false",
                    memory_mb=memory_mb,
                    bounds=bounds,
                    store=store_port,
                )
            )

    async def start(self, machines: list[Machine] | None = None) -> None:
        """Starts machines and waits until all of them are ready."""
        started = self.machines if machines is None else machines
        for machine in started:
            machine.start()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_LIMIT_S
        for machine in started:
            while not await machine.is_ready():
                if loop.time() > deadline or not machine.running:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self._directory)
            return
        shutil.rmtree(self._directory, ignore_errors=True)


def _free_ports(ips: list[str]) -> list[int]:
    """Returns ports that are free on all addresses."""
    base = 21_000 + os.getpid() * 37 % 9_000
    for candidate in range(base, base + 2_000, 20):
        ports = [candidate, candidate + 1, candidate + 2]
        if all(
            _is_free(ip, port) for ip in ips for port in [*ports, ports[2] + 1]
        ):
            return ports
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def answered(message: Message) -> str:
    """Describes what a caller got, for the record."""
    text = f"status {message.status}, {len(message.body)} bytes"
    if message.whole:
        return f"{text}, whole"
    return f"{text}, not whole: {message.problem}"
