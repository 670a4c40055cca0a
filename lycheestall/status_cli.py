"""The ``status`` and ``program`` commands."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import click

from .admin_client import AdminClient, AdminResult, admin_options
from .cli_output import (
    ExitCode,
    as_json,
    exit_with,
    json_option,
    print_table,
)

__all__ = ["program_group", "status_command"]

_INVALID_STATUSES = frozenset({400, 401, 404})


@click.command("status")
@admin_options
@json_option
def status_command(url: str, key: str, as_json_output: bool) -> None:
    """Shows VMs, partition owners, and targets with their exclusions."""
    document = _fetch(AdminClient(url, key), "/admin/status")
    if as_json_output:
        click.echo(as_json(document))
        return
    _print_vms(document)
    _print_partitions(document)
    _print_targets(document)


@click.group("program")
def program_group() -> None:
    """Shows the state of a program."""


@program_group.command("show")
@click.argument("program")
@admin_options
@json_option
def show_command(
    program: str, url: str, key: str, as_json_output: bool
) -> None:
    """Shows PROGRAM's turns, budget, and where each call ran and why."""
    document = _fetch(AdminClient(url, key), f"/admin/programs/{program}")
    if as_json_output:
        click.echo(as_json(document))
        return
    for name, value in document.items():
        if isinstance(value, list):
            continue
        click.echo(f"{name}: {value}")
    for name, value in document.items():
        if isinstance(value, list) and value:
            click.echo(f"\n{name}")
            _print_items(value)


def _fetch(client: AdminClient, path: str) -> dict[str, Any]:
    result = client.get(path)
    document = result.document
    if result.status != 200 or not isinstance(document, dict):
        click.echo(f"status {result.status}: {_message(result)}", err=True)
        invalid = result.status in _INVALID_STATUSES
        exit_with(ExitCode.INVALID if invalid else ExitCode.UNKNOWN)
    return document


def _message(result: AdminResult) -> str:
    if result.error:
        return result.error
    document = result.document
    if isinstance(document, Mapping) and "error" in document:
        return str(document["error"].get("message", document["error"]))
    return str(document)


def _print_items(items: list[Any]) -> None:
    if not all(isinstance(item, dict) for item in items):
        for item in items:
            click.echo(f"  {item}")
        return
    header = list(items[0])
    print_table(header, [[item.get(k) for k in header] for item in items])


def _print_vms(document: dict[str, Any]) -> None:
    header = (
        "vm", "zone", "ready", "authority_left_s", "rules_version",
        "partitions_owned", "programs", "calls",
    )  # fmt: skip
    rows = [[vm[name] for name in header] for vm in document["vms"]]
    print_table(header, rows)
    for vm in document["silent"]:
        click.echo(f"{vm}: no reply")


def _print_partitions(document: dict[str, Any]) -> None:
    numbers_by_owner: dict[str, list[int]] = {}
    for partition in document["partitions"]:
        owner = partition["owner"] or "nobody"
        numbers_by_owner.setdefault(owner, []).append(partition["partition"])
    click.echo()
    for owner, numbers in sorted(numbers_by_owner.items()):
        click.echo(f"{owner} owns {' '.join(map(str, numbers))}")


def _print_targets(document: dict[str, Any]) -> None:
    click.echo()
    header = (
        "target", "role", "group", "zone", "running", "waiting", "leaving",
        "kept_from_work",
    )  # fmt: skip
    rows = [[item[name] for name in header] for item in document["targets"]]
    print_table(header, rows)
