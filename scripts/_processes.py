"""Starts and stops processes of a trial, each by its own id."""

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

KILL_AFTER_S = 15.0
POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class ManagedProcess:
    """One process that a trial has started.

    Attributes:
        name: Its name in the trial.
        popen: The running process.
        output: Where its output goes.
    """

    name: str
    popen: subprocess.Popen[bytes]
    output: Path

    def alive(self) -> bool:
        """Returns whether it still runs."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to this process alone."""
        if self.alive():
            os.kill(self.popen.pid, number)


class ProcessGroup:
    """All processes of one trial.

    Args:
        directory: Where settings and output are kept.
        command: What runs the command line of the product.
    """

    def __init__(
        self, directory: Path, command: Iterable[str] | None = None
    ) -> None:
        self._directory = directory
        self._command = list(command or [sys.executable, "-m", "lycheestall"])
        self.by_name: dict[str, ManagedProcess] = {}
        self._ended: list[ManagedProcess] = []

    def start(self, name: str, arguments: Iterable[str]) -> ManagedProcess:
        """Starts the product's command line with some arguments."""
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
        """Sends SIGTERM to some processes and waits for their ends.

        Returns:
            The exit code of each; one that does not end is killed.
        """
        chosen = [self.by_name[name] for name in names]
        for process in chosen:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end = time.monotonic() + KILL_AFTER_S
        for process in chosen:
            while process.alive() and time.monotonic() < end:
                time.sleep(POLL_S)
            process.signal(signal.SIGKILL)
        return {p.name: p.popen.wait() for p in chosen}

    def stop_all(self) -> None:
        """Ends whatever still runs."""
        self.stop([n for n, p in self.by_name.items() if p.alive()])

    def last_lines(self, name: str, count: int = 5) -> str:
        """Returns the end of a process's output."""
        text = self.by_name[name].output.read_text(errors="replace")
        return "\n".join(text.splitlines()[-count:])
