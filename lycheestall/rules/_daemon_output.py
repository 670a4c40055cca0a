"""Prints daemon responses for the ``rules`` commands."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

import click

from ..admin_client import AdminClient, AdminResult
from ..cli_output import ExitCode, as_json, exit_with
from .compare import ChangedLine

__all__ = [
    "fetch_rules",
    "print_changes",
    "print_history",
    "print_outcome",
]

_CODE_BY_OUTCOME = {
    "published": ExitCode.SUCCESS,
    "conflict": ExitCode.CONFLICT,
    "blocked": ExitCode.CONFLICT,
    "invalid": ExitCode.INVALID,
    "unreachable": ExitCode.UNKNOWN,
    "unknown": ExitCode.UNKNOWN,
}
_UNAUTHORIZED = 401
_BAD_REQUEST = 400


def _failed(answer: AdminResult) -> ExitCode:
    """Prints the error of a failed response and returns the exit code."""
    message = answer.error
    document = answer.document
    if not message and isinstance(document, Mapping):
        message = str(document.get("error", document))
    click.echo(f"status {answer.status}: {message}", err=True)
    if answer.status in (_UNAUTHORIZED, _BAD_REQUEST):
        return ExitCode.INVALID
    return ExitCode.UNKNOWN


def fetch_rules(client: AdminClient) -> dict[str, Any]:
    """Returns the rules in force; exits the command on failure.

    Args:
        client: Client of the daemon's admin API.
    """
    answer = client.get("/admin/rules")
    document = answer.document
    if not isinstance(document, dict) or "text" not in document:
        exit_with(_failed(answer))
    return document


def print_changes(
    added: Sequence[ChangedLine],
    removed: Sequence[ChangedLine],
    reordered: bool,
) -> None:
    """Prints changed lines, removed ones first.

    Args:
        added: Added lines.
        removed: Removed lines.
        reordered: Whether only the order of the lines changes.
    """
    for sign, lines in (("-", removed), ("+", added)):
        for line in lines:
            click.echo(f"  {sign} {line.text}  # {line.member}")
    if reordered:
        click.echo("  the same rules in another order")
    if not added and not removed and not reordered:
        click.echo("  no difference")


def _lines(documents: Sequence[Mapping[str, Any]]) -> list[ChangedLine]:
    return [
        ChangedLine(item["number"], item["text"], item["member"])
        for item in documents
    ]


def print_outcome(answer: AdminResult, as_json_output: bool) -> ExitCode:
    """Prints a publication's outcome.

    Args:
        answer: The daemon's response to the publish request.
        as_json_output: Whether to print JSON.

    Returns:
        The exit code of the command.
    """
    document = answer.document
    if not isinstance(document, Mapping) or "outcome" not in document:
        return _failed(answer)
    if as_json_output:
        click.echo(as_json(document))
        return _CODE_BY_OUTCOME[document["outcome"]]
    outcome, detail = document["outcome"], document["detail"]
    if outcome == "published":
        suffix = ", as an earlier publication" if detail["already"] else ""
        click.echo(f"version {detail['version']} is published{suffix}")
        if detail["in_force"] != detail["version"]:
            click.echo(f"version {detail['in_force']} is in force by now")
    elif outcome == "conflict":
        click.echo(
            f"conflict: version {detail['version']} by "
            f"{detail['operator'] or 'nobody'} is in force, "
            f"not {detail['base']}; against it:",
        )
    else:
        reason = detail.get("why") or detail.get("detail") or detail
        click.echo(f"{outcome}: {reason}", err=True)
    if outcome in ("published", "conflict"):
        print_changes(
            _lines(detail["added"]), _lines(detail["removed"]), False
        )
    return _CODE_BY_OUTCOME[outcome]


def print_history(answer: AdminResult, as_json_output: bool) -> ExitCode:
    """Prints the audit trail.

    Args:
        answer: The daemon's response.
        as_json_output: Whether to print JSON.

    Returns:
        The exit code of the command.
    """
    document = answer.document
    if not isinstance(document, Mapping) or "entries" not in document:
        return _failed(answer)
    if as_json_output:
        click.echo(as_json(document))
        return ExitCode.SUCCESS
    for entry in document["entries"]:
        _print_entry(entry)
    return ExitCode.SUCCESS


def _print_entry(entry: Mapping[str, Any]) -> None:
    why = f": {entry['why']}" if entry["why"] else ""
    click.echo(
        f"{entry['offset']}  {_time(entry['proposed_ms'])}  "
        f"{entry['operator']}  on {entry['base']}  {entry['decision']}{why}"
    )
    if entry["decision"] != "accepted":
        return
    print_changes(
        _lines(entry["added"]), _lines(entry["removed"]), entry["reordered"]
    )
    if entry["more_lines"]:
        click.echo(f"  and {entry['more_lines']} lines more")
    for applied in entry["applied"]:
        at = _time(applied["applied_ms"])
        click.echo(f"  in force on {applied['vm']} at {at}")
    if not entry["applied"] and entry["applied_count"]:
        at = _time(entry["last_applied_ms"])
        click.echo(f"  in force on {entry['applied_count']} VMs by {at}")


def _time(at_ms: int) -> str:
    moment = datetime.fromtimestamp(at_ms / 1000, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
