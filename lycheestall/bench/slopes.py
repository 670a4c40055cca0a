"""Measures costs over size and fits slopes to them.

Every measure runs the product's own code at three sizes or more.
``docs/CAPACITY.md`` works out the size of two years from the slopes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass

import click
import structlog

from ..cli_output import as_json, json_option, print_table
from ._slopes_cell import measure_control, measure_join
from ._slopes_fit import Line, fit_line
from ._slopes_path import (
    measure_append,
    measure_chunk_frame,
    measure_forward_frame,
    measure_load_frame,
    measure_placement,
    measure_vm_list,
)
from ._slopes_probe import Reading
from ._slopes_program import (
    measure_handover,
    measure_history,
    measure_live_programs,
)
from ._slopes_relay import measure_relay
from ._slopes_rules import (
    measure_lookup,
    measure_publication,
    measure_rule_change,
    measure_rules,
    measure_rules_by_accounts,
)
from ._slopes_state import (
    measure_checkpoint,
    measure_fold,
    measure_portions,
    measure_programs,
)

__all__ = ["MEASURES", "Measure", "Slope", "run_slopes", "slopes_command"]

METRICS = ("cpu_us", "wire_bytes", "resident_bytes")


@dataclass(frozen=True, slots=True)
class Measure:
    """One cost over one size.

    Attributes:
        name: Names it in the output.
        unit: What the size counts.
        sizes: At least three sizes, ascending.
        run: Returns the cost at a size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    run: Callable[[int], Reading]


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured cost with its line.

    Attributes:
        name: The measure's name.
        metric: ``cpu_us``, ``wire_bytes`` or ``resident_bytes``.
        unit: What the size counts.
        sizes: The sizes measured.
        values: The cost at each size.
        intercept: The line's value at size 0.
        slope: Cost of each further unit.
        residual: Largest relative distance of a value from the line.
    """

    name: str
    metric: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float


MEASURES = (
    Measure(
        "control_second", "member", (10, 100, 500, 2_000), measure_control
    ),
    Measure("join", "member", (10, 100, 1_000), measure_join),
    Measure(
        "program_state", "program", (1_000, 20_000, 200_000), measure_programs
    ),
    Measure(
        "live_program", "program", (100, 1_000, 5_000), measure_live_programs
    ),
    Measure("handover", "program", (10, 100, 1_000), measure_handover),
    Measure(
        "history",
        "byte",
        (10_000, 100_000, 1_000_000, 2_400_000),
        measure_history,
    ),
    Measure("fold", "program", (10, 100, 1_000, 5_000), measure_fold),
    Measure(
        "checkpoint", "program", (1_000, 5_000, 20_000), measure_checkpoint
    ),
    Measure("portions", "account", (10, 100, 310), measure_portions),
    Measure("rules_new", "line", (300, 1_000, 3_000), measure_rules),
    Measure("rules_change", "line", (300, 1_000, 3_000), measure_rule_change),
    Measure("rule_lookup", "line", (300, 1_000, 3_000), measure_lookup),
    Measure(
        "rule_lookup_accounts",
        "account",
        (10, 100, 310),
        measure_rules_by_accounts,
    ),
    Measure("publication", "VM", (12, 120, 1_700), measure_publication),
    Measure(
        "placement", "target", (10, 100, 1_000, 10_000), measure_placement
    ),
    Measure("vm_list", "entry", (10, 1_000, 12_000), measure_vm_list),
    Measure("append", "record", (1, 10, 100, 500), measure_append),
    Measure("chunk_frame", "byte", (64, 512, 4_096), measure_chunk_frame),
    Measure(
        "forward_frame",
        "byte",
        (1_000, 10_000, 100_000),
        measure_forward_frame,
    ),
    Measure("load_frame", "report", (1, 10, 100), measure_load_frame),
    Measure("relay", "chunk", (1, 10, 100, 300), measure_relay),
)


def run_slopes(
    measures: Iterable[Measure] = MEASURES,
    *,
    on_reading: Callable[[str, int, Reading], None] | None = None,
) -> list[Slope]:
    """Runs measures and fits their lines.

    Args:
        measures: What to run.
        on_reading: Hears of each reading.
    """
    slopes: list[Slope] = []
    for measure in measures:
        readings: list[Reading] = []
        for size in measure.sizes:
            reading = measure.run(size)
            readings.append(reading)
            if on_reading is not None:
                on_reading(measure.name, size, reading)
        slopes.extend(_fitted(measure, readings))
    return slopes


def _fitted(measure: Measure, readings: Sequence[Reading]) -> list[Slope]:
    found: list[Slope] = []
    for metric in METRICS:
        values = [getattr(reading, metric) for reading in readings]
        if any(value is None for value in values):
            continue
        line: Line = fit_line(measure.sizes, values)
        found.append(
            Slope(
                measure.name,
                metric,
                measure.unit,
                measure.sizes,
                tuple(values),
                line.intercept,
                line.slope,
                line.residual,
            )
        )
    return found


def _print(slopes: Sequence[Slope]) -> None:
    rows: list[tuple[object, ...]] = []
    for item in slopes:
        samples = "  ".join(
            f"{size}: {value:,.0f}"
            for size, value in zip(item.sizes, item.values, strict=True)
        )
        rows.append(
            (
                item.name,
                item.metric,
                f"{item.intercept:,.2f}",
                f"{item.slope:,.4f}",
                item.unit,
                f"{item.residual:.0%}",
                samples,
            )
        )
    header = ("measure", "metric", "fixed", "each", "unit", "residual")
    print_table((*header, "samples"), rows)


@click.command("slopes")
@click.option(
    "--only", multiple=True, help="A measure's name; may be repeated."
)
@json_option
def slopes_command(only: tuple[str, ...], as_json_output: bool) -> None:
    """Measures costs per member, program, record, rule, target, chunk."""
    names = {measure.name for measure in MEASURES}
    for name in only:
        if name not in names:
            raise click.BadParameter(f"no measure {name}; one of {names}")
    wanted = [m for m in MEASURES if not only or m.name in only]
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    try:
        slopes = run_slopes(wanted)
    finally:
        structlog.configure(**before)
    if as_json_output:
        click.echo(as_json({"slopes": [asdict(slope) for slope in slopes]}))
        return
    _print(slopes)
