"""Tests that the examples run and print the documented output."""

from __future__ import annotations

import runpy
from pathlib import Path

import pytest

from lycheestall.rules.parser import parse_rules
from lycheestall.rules.syntax import RuleFile

EXAMPLES = Path(__file__).parent.parent / "examples"


def test_claim_race_accepts_only_the_first_claim(
    capsys: pytest.CaptureFixture[str],
) -> None:
    runpy.run_path(str(EXAMPLES / "claim_race.py"), run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    claims = [line for line in lines if "PartitionClaimed" in line]
    assert [line.split()[3] for line in claims] == [
        "accepted",
        "refused:",
        "refused:",
    ]


@pytest.mark.parametrize("name", ["snowline.rules", "bronze.rules"])
def test_example_rules_are_valid(name: str) -> None:
    text = (EXAMPLES / name).read_text()
    assert isinstance(parse_rules(text, file=name), RuleFile)
