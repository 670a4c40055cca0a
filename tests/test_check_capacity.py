"""Tests of the arithmetic check of docs/CAPACITY.md."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from check_capacity import (  # noqa: E402
    PAGE,
    SLOPES,
    CapacityError,
    check_page,
    rewrite_page,
)

SLOPES_JSON = json.dumps(
    {
        "slopes": [
            {
                "name": "heartbeat",
                "metric": "cpu_us",
                "intercept": 100.0,
                "slope": 50.0,
            }
        ]
    }
)
TABLE = """\
| name | formula | figure | from |
|---|---|---|---|
| `members` | `3 * 4` | 12 | assumption |

| what | formula | figure | limit | verdict |
|---|---|---|---|---|
| heartbeats | `9.9 * cpu(heartbeat, members)` | 0.693 % | 1.1 % | within |
"""


def test_committed_page_matches_committed_slopes() -> None:
    assert check_page(PAGE.read_text(), SLOPES.read_text()) == []


def test_matching_page_has_no_mismatches() -> None:
    assert check_page(TABLE, SLOPES_JSON) == []


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("0.693 %", "0.694 %"),
        ("| within |", "| **over** |"),
        ("| 1.1 % |", "| 0.6 % |"),
        ("`3 * 4`", "`3 * 5`"),
        ("| 12 |", "| 13 |"),
    ],
)
def test_changed_cell_is_reported(old: str, new: str) -> None:
    assert check_page(TABLE.replace(old, new), SLOPES_JSON)


def test_changed_slopes_are_reported() -> None:
    assert check_page(TABLE, SLOPES_JSON.replace("50.0", "51.0"))
    slopes = SLOPES.read_text()
    document = json.loads(slopes)
    for item in document["slopes"]:
        item["slope"] *= 2
    assert check_page(PAGE.read_text(), json.dumps(document))


def test_rewriting_fills_in_figures_and_verdicts() -> None:
    outdated = TABLE.replace("0.693 %", "1 %").replace("within", "-")
    assert rewrite_page(outdated, SLOPES_JSON) == TABLE


@pytest.mark.parametrize(
    "formula",
    ["1 / 0", "nodes", "cpu(none, 1)", "open('x')", "2 ** 3", "(", "[1]"],
)
def test_invalid_formula_raises(formula: str) -> None:
    page = TABLE.replace("3 * 4", formula)
    with pytest.raises(CapacityError):
        rewrite_page(page, SLOPES_JSON)
