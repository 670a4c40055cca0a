"""The ``entry`` commands: run an entry VM, check a configuration."""

from __future__ import annotations

from pathlib import Path

import click

from ._reactor import install_reactor

__all__ = ["entry_command"]

INVALID_SETTINGS = 2
INVALID_CONFIGURATION = 2


@click.group("entry", invoke_without_command=True)
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
@click.pass_context
def entry_command(
    context: click.Context,
    settings_file: str | None,
    check: bool,
    log_level: str,
) -> None:
    """Serves callers until SIGTERM, then shuts down gracefully."""
    if context.invoked_subcommand is not None:
        return
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


@entry_command.command("check-configuration")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check_configuration(file: str) -> None:
    """Checks the accounts of the configuration in FILE.

    Prints each account with the marks by which logs name its keys, and every
    fault with how VMs read it. Exit code 2 if there are faults.
    """
    from .entry.accounts import mark_of
    from .entry.record_decoder import UnreadableRecord
    from .platform.store_records import PlatformRecordDecoder

    decoded = PlatformRecordDecoder().decode_configuration(
        Path(file).read_bytes()
    )
    if isinstance(decoded, UnreadableRecord):
        click.echo(f"{file}: unreadable: {decoded.reason}", err=True)
        raise SystemExit(INVALID_CONFIGURATION)
    for account in decoded.accounts:
        marks = " ".join(mark_of(digest) for digest in account.key_digests)
        click.echo(f"{account.account}: {marks or 'no keys'}")
    for problem in decoded.account_problems:
        click.echo(f"{file}: {problem}", err=True)
    faults = len(decoded.account_problems)
    click.echo(
        f"{file}: version {decoded.version}, "
        f"{len(decoded.accounts)} accounts, {faults} faults"
    )
    if faults:
        raise SystemExit(INVALID_CONFIGURATION)
