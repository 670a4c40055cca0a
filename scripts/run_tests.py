"""Runs the tests; failures of tests in KNOWN-RED.txt are tolerated.

Each entry of KNOWN-RED.txt is a line of five fields separated by ``|``: test
id, command and seed, observed failure, issue, date. Lines that start with
``#`` are comments. The listed tests run separately: their results are
printed but do not change the exit code.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

MAX_WORKERS = 6
ROOT = Path(__file__).resolve().parent.parent


def known_failures() -> list[str]:
    """Returns the test ids that are known to fail."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries: list[str] = []
    for line in lines:
        if not line.strip() or line.startswith("#"):
            continue
        entries.append(line.split("|")[0].strip())
    return entries


def worker_options() -> list[str]:
    """Returns the pytest options for parallel test processes."""
    cores = len(os.sched_getaffinity(0))
    return ["-n", str(max(1, min(MAX_WORKERS, cores // 2)))]


def main() -> int:
    """Runs pytest; returns the exit code of the tests that are not listed."""
    known = known_failures()
    command = [
        sys.executable,
        "-m",
        "pytest",
        *worker_options(),
        *sys.argv[1:],
    ]
    deselected = [f"--deselect={entry}" for entry in known]
    result = subprocess.run([*command, *deselected], cwd=ROOT, check=False)
    if not known:
        return result.returncode
    print("known failures, excluded from the exit code:", flush=True)
    for entry in known:
        print(f"  {entry}", flush=True)
    subprocess.run(
        [*command, "--no-header", "--tb=line", *known], cwd=ROOT, check=False
    )
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
