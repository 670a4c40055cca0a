"""The ``entry`` command: runs an entry VM."""

from __future__ import annotations

import click

from ._reactor import install_reactor

__all__ = ["entry_command"]

INVALID_SETTINGS = 2


@click.command("entry")
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False),
    help="Path of the settings file; default: the platform's path.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    help="Lowest severity of log lines to write.",
)
def entry_command(
    settings_file: str | None, check: bool, log_level: str
) -> None:
    """Serves callers until SIGTERM, then shuts down gracefully."""
    install_reactor()
    from .entry.entry_process import run_entry
    from .entry.vm_settings import EntrySettings
    from .platform.adapter import platform_adapter
    from .platform.settings_file import load_entry_settings, settings_path

    path = settings_file or settings_path()
    loaded = load_entry_settings(path)
    if not isinstance(loaded, EntrySettings):
        for problem in loaded:
            click.echo(str(problem), err=True)
        raise SystemExit(INVALID_SETTINGS)
    if check:
        click.echo(f"{loaded.vm}: settings are valid")
        return
    raise SystemExit(
        run_entry(
            loaded,
            platform_adapter(),
            log_level=log_level,
            load_settings=lambda: load_entry_settings(path),
        )
    )
