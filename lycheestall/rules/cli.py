"""The ``rules`` commands."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ..admin_client import AdminClient, admin_options
from ..cli_output import ExitCode, as_json, exit_with, json_option
from ._daemon_output import (
    fetch_rules,
    print_changes,
    print_history,
    print_outcome,
)
from .compare import compare_files
from .explain import ExplainQuestion, explain
from .match import IndexedRuleSet
from .parser import RuleError, parse_rules
from .syntax import RuleFile

__all__ = ["rules_group"]


@click.group("rules")
def rules_group() -> None:
    """Checks, publishes, shows and explains rules."""


def _read_text(file: str) -> str:
    try:
        if file == "-":
            return sys.stdin.buffer.read().decode()
        return Path(file).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {type(error).__name__}: {error}", err=True)
        exit_with(ExitCode.INVALID)


def _report(errors: tuple[RuleError, ...], as_json_output: bool) -> NoReturn:
    if as_json_output:
        click.echo(as_json({"errors": errors}))
    for error in () if as_json_output else errors:
        click.echo(str(error), err=True)
    exit_with(ExitCode.INVALID)


def _read_rules(file: str, as_json_output: bool) -> tuple[str, RuleFile]:
    text = _read_text(file)
    parsed = parse_rules(text, file=file)
    if not isinstance(parsed, RuleFile):
        _report(parsed, as_json_output)
    return text, parsed


@rules_group.command("check")
@click.argument("file")
@json_option
def check(file: str, as_json_output: bool) -> None:
    """Checks FILE and reports all errors with their positions."""
    _, rules = _read_rules(file, as_json_output)
    if as_json_output:
        click.echo(as_json({"errors": [], "rules": len(rules.rules)}))
        return
    click.echo(f"{file}: {len(rules.rules)} rules, no mistakes")


@rules_group.command("publish")
@click.argument("file")
@click.option(
    "--base",
    type=int,
    required=True,
    help="The version FILE was made from; -1 when none is in force.",
)
@click.option(
    "--operator",
    envvar="LYCHEESTALL_OPERATOR",
    default=None,
    help="Who publishes; the login name by default.",
)
@admin_options
@json_option
def publish(
    file: str,
    base: int,
    operator: str | None,
    url: str,
    key: str,
    as_json_output: bool,
) -> None:
    """Publishes FILE if version BASE is still in force."""
    text, _ = _read_rules(file, as_json_output)
    body = {
        "base": base,
        "text": text,
        "operator": operator or getpass.getuser(),
    }
    answer = AdminClient(url, key).post("/admin/rules", body)
    exit_with(print_outcome(answer, as_json_output))


@rules_group.command("show")
@admin_options
@json_option
def show(url: str, key: str, as_json_output: bool) -> None:
    """Shows the rules in force and their version."""
    document = fetch_rules(AdminClient(url, key))
    if as_json_output:
        click.echo(as_json(document))
        return
    state = "current" if document["current"] else "this VM may lag"
    head = f"# version {document['version']}, {state}"
    click.echo(f"{head}, published by {document['operator'] or 'nobody'}")
    click.echo(document["text"], nl=False)


@rules_group.command("diff")
@click.argument("file")
@admin_options
@json_option
def diff(file: str, url: str, key: str, as_json_output: bool) -> None:
    """Shows how FILE differs from the rules in force."""
    _, rules = _read_rules(file, as_json_output)
    document = fetch_rules(AdminClient(url, key))
    parsed = parse_rules(document["text"], file="in force")
    if not isinstance(parsed, RuleFile):
        click.echo("this release cannot read the rules in force", err=True)
        exit_with(ExitCode.UNKNOWN)
    change = compare_files(parsed, rules)
    if as_json_output:
        version = document["version"]
        click.echo(as_json({"version": version, "change": change}))
        return
    click.echo(f"against version {document['version']}:")
    print_changes(change.added, change.removed, change.reordered)


@rules_group.command("history")
@admin_options
@json_option
def history(url: str, key: str, as_json_output: bool) -> None:
    """Shows the audit trail: who changed what, when, and where."""
    answer = AdminClient(url, key).get("/admin/rules/history")
    exit_with(print_history(answer, as_json_output))


@rules_group.command("explain")
@click.argument("file")
@click.option("--account", default="", help="The account that pays.")
@click.option("--class", "program_class", default="", help="Its class.")
@click.option("--application", default="", help="An application group.")
@click.option("--operation", default="", help="Such as 'POST /orders'.")
@click.option("--target", default="", help="A target.")
@click.option("--group", default="", help="The target's group.")
@click.option("--at", default="", help="Time, such as 2026-06-01T22:00Z.")
@click.option("--load", default=0.0, help="The target's load, 0 to 1.")
@click.option("--errors", default=0.0, help="Its share of errors, 0 to 1.")
@json_option
def explain_command(file: str, as_json_output: bool, **options: Any) -> None:
    """Shows the values and lines of FILE for a program, call or target."""
    _, rules = _read_rules(file, as_json_output)
    try:
        question = ExplainQuestion.from_options(**options)
    except ValueError as error:
        click.echo(f"--at: {error}", err=True)
        exit_with(ExitCode.INVALID)
    answers = explain(IndexedRuleSet(rules), question)
    if as_json_output:
        click.echo(as_json({"answers": answers}))
        return
    for answer in answers:
        line = answer.line
        where = f"{file}:{line.number}" if line.number else "default"
        click.echo(f"{answer.subject}: {answer.value}")
        click.echo(f"    {where}: {line.text}  # {line.member}")
