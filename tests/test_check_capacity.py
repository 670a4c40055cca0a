"""Tests of the check of the capacity page's arithmetic."""

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

LINES = json.dumps(
    {
        "slopes": [
            {
                "name": "beat",
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
| `members` | `3 * 4` | 12 | a letter |

| what | formula | figure | limit | verdict |
|---|---|---|---|---|
| beats | `9.9 * cpu(beat, members)` | 0.693 % | 1.1 % | within |
"""


def test_committed_page_follows_from_committed_slopes() -> None:
    assert check_page(PAGE.read_text(), SLOPES.read_text()) == []


def test_right_page_is_left_as_it_is() -> None:
    assert check_page(TABLE, LINES) == []


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
def test_what_does_not_follow_is_found(old: str, new: str) -> None:
    assert check_page(TABLE.replace(old, new), LINES)


def test_other_slopes_are_found() -> None:
    assert check_page(TABLE, LINES.replace("50.0", "51.0"))
    slopes = SLOPES.read_text()
    document = json.loads(slopes)
    for item in document["slopes"]:
        item["slope"] *= 2
    assert check_page(PAGE.read_text(), json.dumps(document))


def test_rewriting_gives_figures_and_verdicts() -> None:
    blank = TABLE.replace("0.693 %", "1 %").replace("within", "-")
    assert rewrite_page(blank, LINES) == TABLE


@pytest.mark.parametrize(
    "formula",
    ["1 / 0", "nodes", "cpu(none, 1)", "open('x')", "2 ** 3", "(", "[1]"],
)
def test_bad_formula_is_an_error(formula: str) -> None:
    page = TABLE.replace("3 * 4", formula)
    with pytest.raises(CapacityError):
        rewrite_page(page, LINES)
