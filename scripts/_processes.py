"""Starts child processes and signals each by its process id."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ManagedProcess", "ProcessGroup"]

KILL_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ManagedProcess:
    """A child process of an end-to-end run.

    Attributes:
        name: The name of the process within the run.
        popen: The process handle.
        output: The file that receives stdout and stderr.
    """

    name: str
    popen: subprocess.Popen[bytes]
    output: Path

    def alive(self) -> bool:
        """Returns whether the process is still running."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to this process alone."""
        if self.alive():
            os.kill(self.popen.pid, number)


class ProcessGroup:
    """All child processes of an end-to-end run.

    Args:
        directory: Where the output files are written.
        command: The command prefix that runs lycheestall; by default,
            the current interpreter with ``-m lycheestall``.
    """

    def __init__(
        self, directory: Path, command: Iterable[str] | None = None
    ) -> None:
        self._directory = directory
        self._command = list(command or [sys.executable, "-m", "lycheestall"])
        self.by_name: dict[str, ManagedProcess] = {}
        self._ended: list[ManagedProcess] = []

    def start(self, name: str, arguments: Iterable[str]) -> ManagedProcess:
        """Starts lycheestall with command-line arguments."""
        output = self._directory / f"{name}.log"
        with output.open("ab") as sink:
            popen = subprocess.Popen(
                [*self._command, *arguments],
                stdout=sink,
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )
        process = ManagedProcess(name, popen, output)
        if name in self.by_name:
            self._ended.append(self.by_name[name])
        self.by_name[name] = process
        return process

    def stop(self, names: Iterable[str]) -> dict[str, int]:
        """Sends SIGTERM to processes and waits until they have exited.

        Paused processes are resumed first. A process that is still running
        after ``KILL_TIMEOUT_S`` is killed.

        Returns:
            The exit code of each process by name.
        """
        processes = [self.by_name[name] for name in names]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + KILL_TIMEOUT_S
        for process in processes:
            while process.alive() and time.monotonic() < deadline:
                time.sleep(POLL_INTERVAL_S)
            process.signal(signal.SIGKILL)
        return {p.name: p.popen.wait() for p in processes}

    def stop_all(self) -> None:
        """Stops all processes that are still running."""
        self.stop([n for n, p in self.by_name.items() if p.alive()])

    def last_lines(self, name: str, count: int = 5) -> str:
        """Returns the last lines of a process's output."""
        text = self.by_name[name].output.read_text(errors="replace")
        return "\n".join(text.splitlines()[-count:])
