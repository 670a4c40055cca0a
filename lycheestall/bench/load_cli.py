"""The ``bench load`` command."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from .._reactor import install_reactor

__all__ = ["load_command"]

EXIT_INVALID = 2
EXIT_UNFINISHED = 1


@click.command("load")
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file: base URLs, workloads, seed.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def load_command(settings_file: Path, as_json: bool) -> None:
    """Runs many programs over HTTP and reports outcomes and latencies."""
    install_reactor()
    from twisted.internet import reactor
    from twisted.internet.defer import ensureDeferred

    from .load import LoadBench, load_settings

    running_reactor: Any = reactor
    try:
        settings = load_settings(settings_file.read_bytes())
    except (OSError, ValueError) as error:
        click.echo(f"{settings_file}: {error}", err=True)
        sys.exit(EXIT_INVALID)
    bench = LoadBench(settings, running_reactor)
    failures: list[Any] = []

    def start() -> None:
        done = ensureDeferred(bench.run())
        done.addErrback(failures.append)
        done.addBoth(lambda _: running_reactor.stop())

    running_reactor.callWhenRunning(start)
    running_reactor.run()
    for failure in failures:
        click.echo(failure.getTraceback(), err=True)
    summary = bench.report.summary()
    _print(summary, as_json)
    all_finished = summary["programs_finished"] == summary["programs"]
    sys.exit(0 if all_finished and not failures else EXIT_UNFINISHED)


def _print(summary: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(summary))
        return
    for name, value in summary.items():
        if not isinstance(value, dict):
            click.echo(f"{name:<32}{value}")
            continue
        for part, item in value.items():
            click.echo(f"{name:<32}{part}: {item}")
