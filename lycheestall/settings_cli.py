"""The ``settings`` commands."""

from __future__ import annotations

from typing import NoReturn

import click

from .cli_output import (
    ExitCode,
    as_json,
    exit_with,
    json_option,
    print_table,
)
from .settings import Settings
from .settings_check import SettingsError, load_settings
from .settings_description import describe_settings

__all__ = ["settings_group"]


@click.group("settings")
def settings_group() -> None:
    """Checks and describes a daemon's settings."""


def _report(
    errors: tuple[SettingsError, ...], as_json_output: bool
) -> NoReturn:
    if as_json_output:
        click.echo(as_json({"errors": errors}))
    for error in () if as_json_output else errors:
        click.echo(str(error), err=True)
    exit_with(ExitCode.INVALID)


@settings_group.command("check")
@click.argument("file")
@json_option
def check(file: str, as_json_output: bool) -> None:
    """Checks FILE and shows every error with its JSON path."""
    found = load_settings(file)
    if not isinstance(found, Settings):
        _report(found, as_json_output)
    if as_json_output:
        click.echo(as_json({"errors": []}))
        return
    click.echo(f"{file}: settings of {found.vm} in {found.zone}, no errors")


@settings_group.command("show")
@click.argument("file", required=False)
@json_option
def show(file: str | None, as_json_output: bool) -> None:
    """Shows all settings with defaults and units, and FILE's values."""
    settings: Settings | None = None
    if file is not None:
        found = load_settings(file)
        if not isinstance(found, Settings):
            _report(found, as_json_output)
        settings = found
    described = describe_settings(settings)
    if as_json_output:
        click.echo(as_json({"settings": described}))
        return
    print_table(
        ("setting", "value", "default", "unit", "meaning"),
        [
            (item.path, item.value, item.default, item.unit, item.meaning)
            for item in described
        ],
    )
