"""Starts the entry role as processes, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from .standin_http import ask
from .standin_store import Store

ROOT = Path(__file__).resolve().parent.parent

LIMIT_S = 110.0
"""Longest time of a case."""

START_LIMIT_S = 30.0
"""Longest time until a process is ready."""

READY_INTERVAL_S = 1.0
"""Seconds between two questions of the platform."""

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front
ip=127.0.0.1
zone={zone}
region=guj-west
zones.{zone}=guj-west
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
internal_ports={internal},{last_internal}
seeds=
bootstrap=true
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb=160
limits.max_fds=8200
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,platform
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.recover_s=12
bounds.settle_ms=1000
platform.address=127.0.0.1:{store}
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=24
platform.append_ms=1.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.part_mb=200
"""


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def __call__(self, line: str) -> None:
        """Adds a line with the seconds since the start."""
        at_s = time.monotonic() - self._begun
        self._file.write(f"{at_s:8.3f} {line}\n")
        self._file.flush()


class Machine:
    """One machine with the entry role as a process.

    Args:
        name: Its name.
        store: The platform's store.
        folder: Temporary folder for its settings and its log.
        record: Receives what is done to it.
        zone: Its zone.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        folder: Path,
        record: Record,
        *,
        zone: str = "bhuj-a",
    ) -> None:
        self.name = name
        self.front, self.ready, self.internal = _free_ports()
        self._folder = folder
        self._record = record
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                front=self.front,
                ready=self.ready,
                internal=self.internal,
                last_internal=self.internal + 15,
                store=store.port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LYCHEESTALL_SETTINGS"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"{self.name} started")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self._record(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Asks once, as the platform does."""
        answer = await ask(self.ready, "GET", "/api/ready", [], timeout_s=1.0)
        return answer.status == 200

    async def wait_until_ready(self, *, interval_s: float = 0.1) -> None:
        """Waits until the process is ready."""
        for _ in range(int(START_LIMIT_S / interval_s)):
            if await self.is_ready():
                self._record(f"{self.name} is ready")
                return
            await asyncio.sleep(interval_s)
        raise CannotRunError(f"{self.name} did not become ready")

    def log_lines(self) -> list[str]:
        """Returns what the process has logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines()

    def end(self) -> None:
        """Kills the process at the end of a case."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def run_case(
    record_path: Path,
    case: Callable[[Path, Record, bool], Awaitable[bool]],
) -> None:
    """Runs a case and exits with its result.

    Args:
        record_path: File that its record is written to.
        case: Gets a folder for settings and logs, the record and whether to
            disturb; returns whether the rule held. The folder is a temporary
            one, or that which LOGS names.
    """
    if not (ROOT / "target/deps").is_dir():
        print("build the system first")
        sys.exit(2)
    disturb = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    held: bool | None = None
    try:
        with tempfile.TemporaryDirectory() as temporary:
            logs = Path(os.environ.get("LOGS", temporary))
            held = asyncio.run(_limited(case(logs, record, disturb)))
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)


async def _limited(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(LIMIT_S):
        return await case


def _free_ports() -> tuple[int, int, int]:
    while True:
        base = random.randrange(20_000, 32_000, 20)
        if all(_is_free(base + offset) for offset in range(4)):
            return base, base + 1, base + 2


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
