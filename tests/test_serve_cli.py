"""Tests of starting the daemon from the command line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest


def test_invalid_settings_prevent_the_start(tmp_path: Path) -> None:
    file = tmp_path / "vm.json"
    file.write_text('{"vm": "a", "zone": 1, "bogus": 2}')
    result = subprocess.run(
        [sys.executable, "-m", "lycheestall", "serve", "--settings", file],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "$.zone: found 1" in result.stderr
    assert "$.bogus" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("option", ["--help", "--version"])
def test_command_line_prints_help_and_version(option: str) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "lycheestall", option],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0
    assert "lycheestall" in result.stdout
