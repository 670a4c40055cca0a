"""One entry VM's process, its memory and its open descriptors."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

MEMORY_MB = 96
"""Memory of the VM in the tests' settings."""

MAX_DESCRIPTORS = 350
"""Descriptors of the VM in the tests' settings."""

SETTINGS = """\
node_name=vm-1
zone=zone-a
ip=127.0.0.1
listen.front=127.0.0.1:{callers}
listen.ready=127.0.0.1:{readiness}
internal_ports={metrics},{peers}
platform.address=127.0.0.1:{store}
bounds.grace_s=5
limits.memory_mb={memory_mb}
limits.max_fds={max_fds}
"""


class VmProcess:
    """The real process of one entry VM.

    Args:
        directory: Directory for its settings and its log.
        store_port: Port of the store.

    Attributes:
        callers_port: Port for callers.
        readiness_port: Port of the readiness endpoint.
        metrics_port: Port of the metrics endpoint.
        peers_port: Port for other VMs.
    """

    def __init__(self, directory: Path, store_port: int) -> None:
        self.callers_port, self.readiness_port = free_ports(2)
        self.metrics_port = adjacent_ports()
        self.peers_port = self.metrics_port + 1
        settings = directory / "vm.conf"
        settings.write_text(
            SETTINGS.format(
                callers=self.callers_port,
                readiness=self.readiness_port,
                metrics=self.metrics_port,
                peers=self.peers_port,
                store=store_port,
                memory_mb=MEMORY_MB,
                max_fds=MAX_DESCRIPTORS,
            )
        )
        command = [sys.executable, "-m", "lycheestall", "entry"]
        with (directory / "vm.log").open("wb") as log:
            self._process = subprocess.Popen(
                [*command, "--settings", str(settings)],
                stdout=log,
                stderr=log,
            )

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    def peak_memory_bytes(self) -> int:
        """Returns the largest resident set since the start."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has no resident set")

    def open_descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def kill(self) -> None:
        """Ends the process."""
        if self.alive:
            self._process.send_signal(signal.SIGKILL)
        self._process.wait()


def free_ports(count: int) -> list[int]:
    """Returns ports of the loopback address that nothing uses."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listening.getsockname()[1] for listening in sockets]
    for listening in sockets:
        listening.close()
    return ports


def adjacent_ports() -> int:
    """Returns the first of two free ports that follow each other."""
    while True:
        (port,) = free_ports(1)
        try:
            socket.create_server(("127.0.0.1", port + 1)).close()
        except OSError:
            continue
        return port
