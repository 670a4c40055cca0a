"""Builds ``dist/lycheestall``, a single executable with all dependencies.

Dependencies are copied from the environment that runs this script, so
nothing is downloaded. Bytecode is compiled at build time. The executable
unpacks itself once into the directory named by ``SHIV_ROOT`` and writes no
other files.
"""

from __future__ import annotations

import compileall
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from importlib.metadata import Distribution, distribution
from pathlib import Path
from py_compile import PycInvalidationMode

from shiv.cli import main as shiv

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "lycheestall"
BINARY = ROOT / "dist" / PACKAGE
ENTRY_POINT = f"{PACKAGE}.cli:main"
INTERPRETER = "/usr/bin/env python3.11"
CHECK_TIMEOUT_S = 60
CHECK_HOST = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.1"
CHECK_PORT = 8080
POLL_INTERVAL_S = 0.05


def requirements_of(
    dist: Distribution, extras: frozenset[str]
) -> Iterator[tuple[str, frozenset[str]]]:
    """Yields the names and extras of a distribution's requirements.

    Requirements whose environment marker does not match are left out.

    Args:
        dist: The distribution.
        extras: The requested extras of the distribution.
    """
    from packaging.requirements import Requirement

    for text in dist.requires or ():
        requirement = Requirement(text)
        marker = requirement.marker
        applies = marker is None or any(
            marker.evaluate({"extra": extra}) for extra in ("", *extras)
        )
        if applies:
            yield requirement.name, frozenset(requirement.extras)


def runtime_distributions() -> dict[str, Distribution]:
    """Returns the package's runtime dependencies by normalized name."""
    by_name: dict[str, Distribution] = {}
    seen: set[tuple[str, frozenset[str]]] = set()
    pending = [(PACKAGE, frozenset[str]())]
    while pending:
        name, extras = pending.pop()
        if (name, extras) in seen:
            continue
        seen.add((name, extras))
        dist = distribution(name)
        by_name[re.sub(r"[-_.]+", "-", name).lower()] = dist
        pending.extend(requirements_of(dist, extras))
    del by_name[PACKAGE]
    return by_name


def copy_files(dist: Distribution, directory: Path) -> None:
    """Copies those files of a distribution that are in site-packages."""
    for file in dist.files or ():
        if ".." in file.parts or file.suffix == ".pyc":
            continue
        source = Path(str(dist.locate_file(file)))
        if not source.is_file():
            continue
        destination = directory / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, destination)


def stage_files(directory: Path) -> None:
    """Copies the package and its dependencies and compiles bytecode."""
    for dist in runtime_distributions().values():
        copy_files(dist, directory)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, directory / PACKAGE, ignore=ignore)
    compileall.compile_dir(
        directory,
        quiet=2,
        stripdir=str(directory),
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )


def build() -> None:
    """Builds the binary."""
    BINARY.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        site = Path(name) / "site-packages"
        stage_files(site)
        arguments = ["--site-packages", str(site), "-e", ENTRY_POINT]
        arguments += ["-p", INTERPRETER, "-o", str(BINARY)]
        shiv(arguments, standalone_mode=False)


def check_version(root: Path) -> str:
    """Runs ``--version`` with an empty unpack directory.

    Args:
        root: The unpack directory.

    Returns:
        The printed version and the unpacked size.
    """
    result = subprocess.run(
        [sys.executable, str(BINARY), "--version"],
        env=_environment(root),
        capture_output=True,
        text=True,
        timeout=CHECK_TIMEOUT_S,
        check=True,
    )
    files = [path for path in root.rglob("*") if path.is_file()]
    size_mb = sum(path.stat().st_size for path in files) / 1e6
    return f"{result.stdout.strip()}, {size_mb:.0f} MB unpacked"


def check_serve(root: Path, settings: Path) -> str:
    """Starts the daemon from the binary, checks its processes and stops it.

    Args:
        root: The unpack directory.
        settings: The daemon's settings file.

    Returns:
        A line that describes the result.

    Raises:
        RuntimeError: The daemon did not become healthy, has child processes
            or exited with an error.
    """
    command = [str(BINARY), "serve", "--settings", str(settings)]
    daemon = subprocess.Popen(
        [sys.executable, *command], env=_environment(root)
    )
    try:
        _wait_until_healthy(daemon)
        children = _children(daemon.pid)
    finally:
        daemon.send_signal(signal.SIGTERM)
        exit_code = daemon.wait(CHECK_TIMEOUT_S)
    if children:
        raise RuntimeError(f"the daemon has child processes: {children}")
    if exit_code != 0:
        raise RuntimeError(f"the daemon ended with exit code {exit_code}")
    return "serve: one process, SIGTERM ends it with exit code 0"


def _wait_until_healthy(daemon: subprocess.Popen[bytes]) -> None:
    deadline = time.monotonic() + CHECK_TIMEOUT_S
    url = f"http://{CHECK_HOST}:{CHECK_PORT + 2}/healthz"
    while time.monotonic() < deadline and daemon.poll() is None:
        try:
            with urllib.request.urlopen(url, timeout=1):
                return
        except OSError:
            time.sleep(POLL_INTERVAL_S)
    raise RuntimeError("the daemon did not become healthy")


def _children(pid: int) -> list[int]:
    children: list[int] = []
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        children += [int(child) for child in path.read_text().split()]
    return children


def _environment(root: Path) -> dict[str, str]:
    return {"PATH": os.environ["PATH"], "SHIV_ROOT": str(root)}


def _daemon_settings() -> dict[str, object]:
    return {
        "vm": "vm-1",
        "zone": "bhuj-a",
        "listen": {
            "host": CHECK_HOST,
            "callers_port": CHECK_PORT,
            "mesh_port": CHECK_PORT + 1,
            "admin_port": CHECK_PORT + 2,
        },
        "platform": {
            "log_url": f"http://{CHECK_HOST}:{CHECK_PORT + 3}",
            "vm_list_url": f"http://{CHECK_HOST}:{CHECK_PORT + 4}",
        },
        "accounts": [],
        "receipt_keys": ["00" * 32],
    }


def check() -> None:
    """Checks the binary with a temporary unpack directory."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name) / "root"
        root.mkdir()
        settings = Path(name) / "settings.json"
        settings.write_text(json.dumps(_daemon_settings()))
        print(check_version(root))
        print(check_serve(root, settings))


def main() -> int:
    """Builds the binary and checks that it runs."""
    build()
    size_mb = BINARY.stat().st_size / 1e6
    print(f"{BINARY.relative_to(ROOT)}: {size_mb:.1f} MB")
    check()
    return 0


if __name__ == "__main__":
    sys.exit(main())
