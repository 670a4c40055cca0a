"""Checks the arithmetic of docs/CAPACITY.md against docs/slopes.json.

The formula in every table row whose second cell is in backticks is
evaluated. The row's figure, and its verdict if the table has a limit
column, must match the result. A first cell in backticks names the value
for use in later formulas.

``cpu(m, n)``, ``wire(m, n)`` and ``resident(m, n)`` return measure ``m`` at
size ``n``: seconds of CPU time, bytes sent over the network, bytes of
resident memory. With ``--write``, the figures and verdicts on the page are
replaced by the computed ones.
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
_QUANTITY = re.compile(r"([\d.,]+) ?(.*)")


class CapacityError(Exception):
    """A formula cannot be evaluated, or a row has no figure."""


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line fitted to the measurements of a metric."""

    intercept: float
    slope: float


class Evaluator:
    """Evaluates formulas over named values and fitted measurements.

    Args:
        fit_by_metric: Linear fits by name of the measure and metric.
    """

    def __init__(
        self, fit_by_metric: dict[tuple[str, str], LinearFit]
    ) -> None:
        self._fit_by_metric = fit_by_metric
        self.value_by_name: dict[str, float] = {}

    def evaluate(self, formula: str) -> float:
        """Evaluates a formula.

        Args:
            formula: May contain numbers, names, ``+ - * /``, ``cpu``,
                ``wire``, ``resident``, ``max``, ``min`` and ``ceil``.
        """
        try:
            return self._evaluate_node(ast.parse(formula, mode="eval").body)
        except (SyntaxError, KeyError, ZeroDivisionError) as error:
            raise CapacityError(f"{formula}: {error!r}") from error

    def _evaluate_node(self, node: ast.expr) -> float:
        if isinstance(node, ast.Constant) and isinstance(
            node.value, int | float
        ):
            return float(node.value)
        if isinstance(node, ast.Name):
            return self.value_by_name[node.id]
        if isinstance(node, ast.BinOp):
            return _apply_operator(
                node.op,
                self._evaluate_node(node.left),
                self._evaluate_node(node.right),
            )
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            return self._evaluate_call(node.func.id, node.args)
        raise CapacityError(f"unsupported expression: {ast.unparse(node)}")

    def _evaluate_call(self, name: str, arguments: list[ast.expr]) -> float:
        if name in METRIC_BY_FUNCTION:
            measure, size = arguments
            if not isinstance(measure, ast.Name):
                raise CapacityError(
                    f"the first argument of {name} must name a measure"
                )
            metric, scale = METRIC_BY_FUNCTION[name]
            fit = self._fit_by_metric[measure.id, metric]
            cost = fit.intercept + fit.slope * self._evaluate_node(size)
            return max(cost, 0.0) * scale
        values = [self._evaluate_node(argument) for argument in arguments]
        if name == "ceil":
            return float(math.ceil(values[0]))
        if name in ("max", "min"):
            return max(values) if name == "max" else min(values)
        raise CapacityError(f"unknown function: {name}")


def _apply_operator(
    operator: ast.operator, left: float, right: float
) -> float:
    match operator:
        case ast.Add():
            return left + right
        case ast.Sub():
            return left - right
        case ast.Mult():
            return left * right
        case ast.Div():
            return left / right
    raise CapacityError(f"unsupported operator: {operator}")


def _format_value(value: float, unit: str) -> str:
    scaled = value / SCALE_BY_UNIT.get(unit, 1.0)
    if scaled == round(scaled):
        return f"{scaled:,.0f} {unit}".strip()
    digits = SIGNIFICANT_DIGITS
    if scaled:
        digits -= 1 + math.floor(math.log10(abs(scaled)))
    text = f"{round(scaled, digits):,.{max(digits, 0)}f}"
    return f"{text} {unit}".strip()


def _parse_limit(cell: str) -> float | None:
    match = _QUANTITY.fullmatch(cell)
    if match is None:
        return None
    number = float(match[1].replace(",", ""))
    return number * SCALE_BY_UNIT.get(match[2], 1.0)


def _rewrite_row(line: str, evaluator: Evaluator, has_limit: bool) -> str:
    """Returns a table row with the computed figure and verdict."""
    cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
    formula = _FORMULA.fullmatch(cells[1]) if len(cells) > 2 else None
    if formula is None:
        return line
    value = evaluator.evaluate(formula[1])
    name = _FORMULA.fullmatch(cells[0])
    if name is not None:
        evaluator.value_by_name[name[1]] = value
    figure = _QUANTITY.fullmatch(cells[2])
    if figure is None:
        raise CapacityError(f"row has no figure: {line}")
    cells[2] = _format_value(value, figure[2])
    limit = _parse_limit(cells[3]) if has_limit else None
    if limit is not None:
        cells[4] = "within" if value <= limit else "**over**"
    return f"| {' | '.join(cells)} |"


def rewrite_page(page: str, slopes: str) -> str:
    """Returns the page with the computed figures and verdicts.

    Args:
        page: The page's text.
        slopes: The JSON output of ``bench slopes``.
    """
    fit_by_metric: dict[tuple[str, str], LinearFit] = {}
    for item in json.loads(slopes)["slopes"]:
        fit = LinearFit(item["intercept"], item["slope"])
        fit_by_metric[item["name"], item["metric"]] = fit
    evaluator = Evaluator(fit_by_metric)
    rows: list[str] = []
    has_limit = False
    for row in page.splitlines():
        if not row.startswith("|"):
            has_limit = False
        elif "| limit |" in row:
            has_limit = True
        else:
            rows.append(_rewrite_row(row, evaluator, has_limit))
            continue
        rows.append(row)
    return "\n".join(rows) + "\n"


def check_page(page: str, slopes: str) -> list[str]:
    """Returns a message for each line that differs from the computed one.

    Args:
        page: The page's text.
        slopes: The JSON output of ``bench slopes``.
    """
    mismatches: list[str] = []
    expected_page = rewrite_page(page, slopes).splitlines()
    for number, (found, expected) in enumerate(
        zip(page.splitlines(), expected_page, strict=True), start=1
    ):
        if found != expected:
            mismatches.append(
                f"line {number}: {found}\n  expected: {expected}"
            )
    return mismatches


def main() -> int:
    """Checks or rewrites the page; returns 1 if the check fails."""
    page, slopes = PAGE.read_text(), SLOPES.read_text()
    if "--write" in sys.argv[1:]:
        PAGE.write_text(rewrite_page(page, slopes))
        return 0
    mismatches = check_page(page, slopes)
    for message in mismatches:
        print(message)
    return 1 if mismatches else 0


if __name__ == "__main__":
    sys.exit(main())
