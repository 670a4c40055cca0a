"""The ``serve`` command, which runs the daemon."""

from __future__ import annotations

import click

from ._reactor import install_reactor

__all__ = ["serve_command"]


@click.command("serve")
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The JSON settings file.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    help="Lowest severity of the log lines to write.",
)
def serve_command(settings_file: str, log_level: str) -> None:
    """Runs the daemon until SIGTERM, then shuts down gracefully."""
    install_reactor()
    from .daemon import run_daemon

    raise SystemExit(run_daemon(settings_file, log_level=log_level))
