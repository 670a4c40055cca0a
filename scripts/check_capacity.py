"""Checks the arithmetic of docs/CAPACITY.md against docs/slopes.json.

Every table row whose second cell is a formula in backticks is worked
out; its figure, and its verdict against the row's limit, must follow. A
first cell in backticks names the value for later formulas.

``cpu(m, n)``, ``wire(m, n)`` and ``resident(m, n)`` are measure ``m`` at
size ``n``: seconds of processor time, bytes on the wire, bytes kept.
With ``--write`` the page gets the figures and verdicts that follow.
"""

from __future__ import annotations

import ast
import json
import math
import re
import sys
from dataclasses import dataclass
from pathlib import Path

__all__ = ["CapacityError", "check_page", "main", "rewrite_page"]

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "slopes.json"
METRIC_BY_FUNCTION = {
    "cpu": ("cpu_us", 1e-6),
    "wire": ("wire_bytes", 1.0),
    "resident": ("resident_bytes", 1.0),
}
SCALE_BY_UNIT = {
    "%": 1e-2,
    "ms": 1e-3,
    "us": 1e-6,
    "KB": 1e3,
    "KB/s": 1e3,
    "MB": 1e6,
    "MB/s": 1e6,
    "GB": 1e9,
}
SIGNIFICANT_DIGITS = 3
_FORMULA = re.compile(r"`([^`]+)`")
_FIGURE = re.compile(r"([\d.,]+) ?(.*)")


class CapacityError(Exception):
    """A formula that cannot be worked out."""


@dataclass(frozen=True, slots=True)
class Line:
    """A slope's line."""

    intercept: float
    slope: float


class Evaluator:
    """Works out formulas over named values and measured lines.

    Args:
        line_by_key: Lines by measure and metric.
    """

    def __init__(self, line_by_key: dict[tuple[str, str], Line]) -> None:
        self._line_by_key = line_by_key
        self.value_by_name: dict[str, float] = {}

    def value(self, formula: str) -> float:
        """Returns a formula's value.

        Args:
            formula: Numbers, names, ``+ - * /``, measures, ``max``,
                ``min`` and ``ceil``.
        """
        try:
            return self._value(ast.parse(formula, mode="eval").body)
        except (SyntaxError, KeyError, ZeroDivisionError) as error:
            raise CapacityError(f"{formula}: {error!r}") from error

    def _value(self, node: ast.expr) -> float:
        if isinstance(node, ast.Constant) and isinstance(
            node.value, int | float
        ):
            return float(node.value)
        if isinstance(node, ast.Name):
            return self.value_by_name[node.id]
        if isinstance(node, ast.BinOp):
            return _apply(
                node.op, self._value(node.left), self._value(node.right)
            )
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            return self._call(node.func.id, node.args)
        raise CapacityError(f"cannot work out {ast.unparse(node)}")

    def _call(self, name: str, arguments: list[ast.expr]) -> float:
        if name in METRIC_BY_FUNCTION:
            measure, size = arguments
            if not isinstance(measure, ast.Name):
                raise CapacityError(f"{name} needs a measure's name")
            metric, scale = METRIC_BY_FUNCTION[name]
            line = self._line_by_key[measure.id, metric]
            cost = line.intercept + line.slope * self._value(size)
            return max(cost, 0.0) * scale
        values = [self._value(argument) for argument in arguments]
        if name == "ceil":
            return float(math.ceil(values[0]))
        if name in ("max", "min"):
            return max(values) if name == "max" else min(values)
        raise CapacityError(f"unknown function {name}")


def _apply(operator: ast.operator, left: float, right: float) -> float:
    match operator:
        case ast.Add():
            return left + right
        case ast.Sub():
            return left - right
        case ast.Mult():
            return left * right
        case ast.Div():
            return left / right
    raise CapacityError(f"unknown operator {operator}")


def _shown(value: float, unit: str) -> str:
    scaled = value / SCALE_BY_UNIT.get(unit, 1.0)
    if scaled == round(scaled):
        return f"{scaled:,.0f} {unit}".strip()
    digits = SIGNIFICANT_DIGITS
    if scaled:
        digits -= 1 + math.floor(math.log10(abs(scaled)))
    text = f"{round(scaled, digits):,.{max(digits, 0)}f}"
    return f"{text} {unit}".strip()


def _limit(cell: str) -> float | None:
    match = _FIGURE.fullmatch(cell)
    if match is None:
        return None
    number = float(match[1].replace(",", ""))
    return number * SCALE_BY_UNIT.get(match[2], 1.0)


def _row(line: str, evaluator: Evaluator, has_limit: bool) -> str:
    """Returns a table row with the figure and verdict that follow."""
    cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
    formula = _FORMULA.fullmatch(cells[1]) if len(cells) > 2 else None
    if formula is None:
        return line
    value = evaluator.value(formula[1])
    name = _FORMULA.fullmatch(cells[0])
    if name is not None:
        evaluator.value_by_name[name[1]] = value
    figure = _FIGURE.fullmatch(cells[2])
    if figure is None:
        raise CapacityError(f"no figure in {line}")
    cells[2] = _shown(value, figure[2])
    limit = _limit(cells[3]) if has_limit else None
    if limit is not None:
        cells[4] = "within" if value <= limit else "**over**"
    return f"| {' | '.join(cells)} |"


def rewrite_page(page: str, slopes: str) -> str:
    """Returns the page with the figures and verdicts that follow.

    Args:
        page: The page's text.
        slopes: The JSON of ``bench slopes``.
    """
    line_by_key: dict[tuple[str, str], Line] = {}
    for item in json.loads(slopes)["slopes"]:
        line = Line(item["intercept"], item["slope"])
        line_by_key[item["name"], item["metric"]] = line
    evaluator = Evaluator(line_by_key)
    rows: list[str] = []
    has_limit = False
    for row in page.splitlines():
        if not row.startswith("|"):
            has_limit = False
        elif "| limit |" in row:
            has_limit = True
        else:
            rows.append(_row(row, evaluator, has_limit))
            continue
        rows.append(row)
    return "\n".join(rows) + "\n"


def check_page(page: str, slopes: str) -> list[str]:
    """Returns the lines that do not follow, with what would.

    Args:
        page: The page's text.
        slopes: The JSON of ``bench slopes``.
    """
    wrong: list[str] = []
    right = rewrite_page(page, slopes).splitlines()
    for number, (found, wanted) in enumerate(
        zip(page.splitlines(), right, strict=True), start=1
    ):
        if found != wanted:
            wrong.append(f"line {number}: {found}\n  follows: {wanted}")
    return wrong


def main() -> int:
    """Checks the page, or writes it; 1 when something does not follow."""
    page, slopes = PAGE.read_text(), SLOPES.read_text()
    if "--write" in sys.argv[1:]:
        PAGE.write_text(rewrite_page(page, slopes))
        return 0
    wrong = check_page(page, slopes)
    for message in wrong:
        print(message)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
