"""Measures costs at several sizes and fits lines to them.

Every measure runs production code at three sizes or more.
``docs/CAPACITY.md`` projects the capacity needed in two years from them.
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
from ._slopes_probe import CostSample
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
    """A benchmark of costs that depend on one size.

    Attributes:
        name: The name in the output.
        unit: The unit of the size.
        sizes: At least three sizes, ascending.
        run: Measures the costs at a size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    run: Callable[[int], CostSample]


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured cost with its fitted line.

    Attributes:
        name: The measure's name.
        metric: ``cpu_us``, ``wire_bytes`` or ``resident_bytes``.
        unit: The unit of the size.
        sizes: The sizes measured.
        values: The cost at each size.
        intercept: The value of the line at size 0.
        slope: The cost of each additional unit.
        residual: The largest relative deviation of a value from the line.
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
    on_sample: Callable[[str, int, CostSample], None] | None = None,
) -> list[Slope]:
    """Runs measures and fits lines to their costs.

    Args:
        measures: The measures to run.
        on_sample: Called with name, size and costs of each sample.
    """
    slopes: list[Slope] = []
    for measure in measures:
        samples: list[CostSample] = []
        for size in measure.sizes:
            sample = measure.run(size)
            samples.append(sample)
            if on_sample is not None:
                on_sample(measure.name, size, sample)
        slopes.extend(_fit_slopes(measure, samples))
    return slopes


def _fit_slopes(
    measure: Measure, samples: Sequence[CostSample]
) -> list[Slope]:
    slopes: list[Slope] = []
    for metric in METRICS:
        values = [getattr(sample, metric) for sample in samples]
        if any(value is None for value in values):
            continue
        line: Line = fit_line(measure.sizes, values)
        slopes.append(
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
    return slopes


def _print_slopes(slopes: Sequence[Slope]) -> None:
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
    "--only",
    multiple=True,
    help="Name of a measure; may be given several times.",
)
@json_option
def slopes_command(only: tuple[str, ...], as_json_output: bool) -> None:
    """Measures costs per member, program, record, rule, target, chunk."""
    names = {measure.name for measure in MEASURES}
    for name in only:
        if name not in names:
            raise click.BadParameter(
                f"unknown measure {name}; expected one of {names}"
            )
    selected = [m for m in MEASURES if not only or m.name in only]
    previous_config = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    try:
        slopes = run_slopes(selected)
    finally:
        structlog.configure(**previous_config)
    if as_json_output:
        click.echo(as_json({"slopes": [asdict(slope) for slope in slopes]}))
        return
    _print_slopes(slopes)
