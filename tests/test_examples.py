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


def test_kept_conversation_puts_the_whole_prompt_together(
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = EXAMPLES / "kept_conversation.py"
    runpy.run_path(str(path), run_name="__main__")
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "missing: turn-1"
    assert lines[1] == (
        "prompt: b'The chair sinks. Check the valve.\\n"
        "It leaks. Replace the seal.\\nWhich size?'"
    )
    assert lines[-1] == "turns left: 0"


@pytest.mark.parametrize("name", ["snowline.rules", "bronze.rules"])
def test_example_rules_are_valid(name: str) -> None:
    text = (EXAMPLES / name).read_text()
    assert isinstance(parse_rules(text, file=name), RuleFile)
