"""One entry VM's process, its memory and its open descriptors."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

MEMORY_MB = 96
"""Memory of the VM in the tests' settings."""

MAX_DESCRIPTORS = 350
"""Descriptors of the VM in the tests' settings."""

PORTS = (20_000, 32_000)
"""Below the kernel's range of ephemeral ports, from which the connections of
other processes could take a port before the VM listens on it."""

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
        self.callers_port, self.readiness_port, self.metrics_port = free_ports(
            3
        )
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
    """Returns ports of the loopback address that nothing uses.

    Each is followed by another free one.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS, 2)
        if port not in ports and _is_free(port) and _is_free(port + 1):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True
