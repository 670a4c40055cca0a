"""Tests of the contents of the single-file binary."""

from __future__ import annotations

from build_binary import runtime_distributions, stage_files


def test_binary_contains_runtime_dependencies_and_no_development_tools():
    names = set(runtime_distributions())
    assert {"twisted", "service-identity", "klein", "cbor2"} <= names
    assert names.isdisjoint({"pytest", "ruff", "mypy", "shiv", "lycheestall"})


def test_the_staged_package_has_bytecode_and_data(tmp_path, monkeypatch):
    monkeypatch.setattr("build_binary.runtime_distributions", dict)
    stage_files(tmp_path)
    assert (tmp_path / "lycheestall" / "rules" / "rules.lark").is_file()
    cached = (tmp_path / "lycheestall" / "__pycache__").glob("cli.*.pyc")
    assert len(list(cached)) == 1
