"""The command line; each group of commands lives in a module of its own."""

from __future__ import annotations

import click

from . import __version__
from .bench_cli import bench_group
from .bench_load_cli import load_command
from .bench_slopes import slopes_command
from .rules_cli import rules_group
from .sandbox_cli import sandbox_command
from .serve_cli import serve_command
from .settings_cli import settings_group
from .status_cli import program_group, status_command

__all__ = ["main"]


@click.group()
@click.version_option(__version__, prog_name="lycheestall")
def main() -> None:
    """Schedules agent programs: a daemon, its rules and its tools."""


main.add_command(program_group)
main.add_command(rules_group)
bench_group.add_command(load_command)
bench_group.add_command(slopes_command)
main.add_command(bench_group)
main.add_command(sandbox_command)
main.add_command(serve_command)
main.add_command(settings_group)
main.add_command(status_command)
