"""Exit codes and output formats that all commands share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, is_dataclass
from enum import Enum, IntEnum
from typing import Any, NoReturn

import click
import orjson

__all__ = ["ExitCode", "as_json", "exit_with", "json_option", "print_table"]

json_option = click.option(
    "--json", "as_json_output", is_flag=True, help="Write JSON."
)


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    SUCCESS = 0
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4


def exit_with(code: ExitCode) -> NoReturn:
    """Exits with a code.

    Args:
        code: The exit code.
    """
    raise SystemExit(int(code))


def _encode(value: Any) -> Any:
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"no JSON for {type(value).__name__}")


def as_json(document: object) -> str:
    """Returns a document as JSON, indented by two spaces.

    Args:
        document: Dataclasses, enums, containers and primitives.
    """
    option = orjson.OPT_INDENT_2 | orjson.OPT_PASSTHROUGH_DATACLASS
    return orjson.dumps(document, default=_encode, option=option).decode()


def print_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Prints a table with aligned columns.

    Args:
        header: Column titles.
        rows: The cells of each row, one per column.
    """
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [
        max(len(cell) for cell in column)
        for column in zip(*lines, strict=True)
    ]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())
