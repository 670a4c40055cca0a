"""Builds ``dist/lycheestall``: one executable file with all libraries.

The libraries are copied from the environment that runs this script, so
nothing is fetched. Bytecode is compiled here; the file unpacks itself
once into the directory named by ``SHIV_ROOT`` and writes nothing else.
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
CHECK_LIMIT_S = 60
CHECK_HOST = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.1"
CHECK_PORT = 8080
POLL_S = 0.05


def requirements_of(
    found: Distribution, extras: frozenset[str]
) -> Iterator[tuple[str, frozenset[str]]]:
    """Yields the names and extras that a distribution needs here.

    Args:
        found: The distribution.
        extras: Its extras that are wanted.
    """
    from packaging.requirements import Requirement

    for text in found.requires or ():
        requirement = Requirement(text)
        marker = requirement.marker
        wanted = marker is None or any(
            marker.evaluate({"extra": extra}) for extra in ("", *extras)
        )
        if wanted:
            yield requirement.name, frozenset(requirement.extras)


def runtime_distributions() -> dict[str, Distribution]:
    """Returns the package's dependencies at run time, by name."""
    by_name: dict[str, Distribution] = {}
    seen: set[tuple[str, frozenset[str]]] = set()
    pending = [(PACKAGE, frozenset[str]())]
    while pending:
        name, extras = pending.pop()
        if (name, extras) in seen:
            continue
        seen.add((name, extras))
        found = distribution(name)
        by_name[re.sub(r"[-_.]+", "-", name).lower()] = found
        pending.extend(requirements_of(found, extras))
    del by_name[PACKAGE]
    return by_name


def copy_files(found: Distribution, target: Path) -> None:
    """Copies a distribution's files that lie inside site-packages."""
    for file in found.files or ():
        if ".." in file.parts or file.suffix == ".pyc":
            continue
        source = Path(str(found.locate_file(file)))
        if not source.is_file():
            continue
        goal = target / file
        goal.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, goal)


def stage(target: Path) -> None:
    """Fills a directory with the package, its libraries and bytecode."""
    for found in runtime_distributions().values():
        copy_files(found, target)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, target / PACKAGE, ignore=ignored)
    compileall.compile_dir(
        target,
        quiet=2,
        stripdir=str(target),
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )


def build() -> None:
    """Builds the binary."""
    BINARY.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        site = Path(name) / "site-packages"
        stage(site)
        arguments = ["--site-packages", str(site), "-e", ENTRY_POINT]
        arguments += ["-p", INTERPRETER, "-o", str(BINARY)]
        shiv(arguments, standalone_mode=False)


def check_version(root: Path) -> str:
    """Runs ``--version`` from an empty unpack directory.

    Args:
        root: The unpack directory.

    Returns:
        What it printed and the unpacked size.
    """
    result = subprocess.run(
        [sys.executable, str(BINARY), "--version"],
        env=_environment(root),
        capture_output=True,
        text=True,
        timeout=CHECK_LIMIT_S,
        check=True,
    )
    files = [path for path in root.rglob("*") if path.is_file()]
    size_mb = sum(path.stat().st_size for path in files) / 1e6
    return f"{result.stdout.strip()}, {size_mb:.0f} MB unpacked"


def check_serve(root: Path, settings: Path) -> str:
    """Serves from the binary, looks at its processes and stops it.

    Args:
        root: The unpack directory.
        settings: The daemon's settings file.

    Returns:
        A line that says what was seen.

    Raises:
        RuntimeError: It did not serve, has a child or did not stop well.
    """
    command = [str(BINARY), "serve", "--settings", str(settings)]
    daemon = subprocess.Popen(
        [sys.executable, *command], env=_environment(root)
    )
    try:
        _until_healthy(daemon)
        children = _children(daemon.pid)
    finally:
        daemon.send_signal(signal.SIGTERM)
        code = daemon.wait(CHECK_LIMIT_S)
    if children:
        raise RuntimeError(f"the daemon has child processes: {children}")
    if code != 0:
        raise RuntimeError(f"the daemon ended with exit code {code}")
    return "serve: one process, SIGTERM ends it with exit code 0"


def _until_healthy(daemon: subprocess.Popen[bytes]) -> None:
    end = time.monotonic() + CHECK_LIMIT_S
    url = f"http://{CHECK_HOST}:{CHECK_PORT + 2}/healthz"
    while time.monotonic() < end and daemon.poll() is None:
        try:
            with urllib.request.urlopen(url, timeout=1):
                return
        except OSError:
            time.sleep(POLL_S)
    raise RuntimeError("the daemon does not answer")


def _children(pid: int) -> list[int]:
    found: list[int] = []
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        found += [int(child) for child in path.read_text().split()]
    return found


def _environment(root: Path) -> dict[str, str]:
    return {"PATH": os.environ["PATH"], "SHIV_ROOT": str(root)}


def _settings() -> dict[str, object]:
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
    """Runs the binary from an unpack directory of its own."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name) / "root"
        root.mkdir()
        settings = Path(name) / "settings.json"
        settings.write_text(json.dumps(_settings()))
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
