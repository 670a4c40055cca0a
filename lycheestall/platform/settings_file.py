"""Reads the platform's settings file of ``name=value`` lines."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from ..entry.vm_settings import (
    Address,
    EntrySettings,
    QuotaSettings,
    SettingsProblem,
)
from ..ids import VmId, ZoneId

__all__ = ["SETTINGS_VARIABLE", "load_entry_settings", "settings_path"]

SETTINGS_VARIABLE = "LYCHEESTALL_SETTINGS"
_DEFAULT_PATH = "/etc/lycheestall/node.conf"


class _Line(NamedTuple):
    number: int
    value: str


def settings_path() -> str:
    """Returns the path of the platform's settings file."""
    return os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)


def load_entry_settings(path: str) -> EntrySettings | list[SettingsProblem]:
    """Reads and checks a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or every problem found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [SettingsProblem(path, 0, "", str(error), "a readable file")]
    reader = _Reader(path, text)
    settings = EntrySettings(
        vm=VmId(reader.text("node_name")),
        zone=ZoneId(reader.text("zone")),
        host=reader.text("ip"),
        callers=reader.address("listen.front"),
        readiness=reader.address("listen.ready"),
        metrics_port=reader.port("internal_ports", 0),
        peers_port=reader.port("internal_ports", 0) + 1,
        store=reader.address("platform.address"),
        grace_s=reader.number("bounds.grace_s", default=8.0),
        drain_s=reader.number("bounds.drain_ms", default=2000.0) / 1000.0,
        memory_mb=reader.number("limits.memory_mb", default=128.0),
        max_descriptors=reader.count("limits.max_fds", default=20_000),
        store_partitions=reader.count("platform.parts", default=1),
        store_record_bytes=reader.count(
            "platform.record_bytes", default=262_144
        ),
        first_start=reader.flag("bootstrap"),
        quotas=QuotaSettings(
            window_s=reader.number("bounds.quota_window_s", default=5.0),
            overage=reader.number("bounds.quota_overage", default=0.0),
            slack=reader.number("bounds.quota_slack", default=0.0),
        ),
        revocation_timeout_s=_revocation_timeout_s(reader),
    )
    return reader.problems or settings


def _revocation_timeout_s(reader: _Reader) -> float | None:
    timeout_s = reader.number("bounds.revoke_ms", default=5000.0) / 1000.0
    return timeout_s if reader.flag("bounds.enforce_revocation") else None


class _Reader:
    """Parses values of the file and collects all problems."""

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self.problems: list[SettingsProblem] = []
        self._by_name: dict[str, _Line] = {}
        for line_number, line in enumerate(text.splitlines(), start=1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            name, equals, value = line.partition("=")
            if not equals:
                self._add_problem(line_number, name, line, "name=value")
                continue
            self._by_name[name.strip()] = _Line(line_number, value.strip())

    def text(self, name: str) -> str:
        """Returns a required value."""
        line = self._by_name.get(name)
        if line is None or not line.value:
            self._add_problem(line.number if line else 0, name, "", "a value")
            return ""
        return line.value

    def address(self, name: str) -> Address:
        """Returns a required IP address with a port."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if host and port.isdigit():
            return Address(host, int(port))
        if value:
            self._add_problem(
                self._by_name[name].number, name, value, "HOST:PORT"
            )
        return Address("", 0)

    def port(self, name: str, index: int) -> int:
        """Returns the port at an index of a required list."""
        parts = self.text(name).split(",")
        if index < len(parts) and parts[index].isdigit():
            return int(parts[index])
        if name in self._by_name:
            self._add_problem(
                self._by_name[name].number,
                name,
                ",".join(parts),
                "a list of ports",
            )
        return 0

    def number(self, name: str, *, default: float) -> float:
        """Returns a number, or the default if it is missing."""
        line = self._by_name.get(name)
        if line is None or not line.value:
            return default
        try:
            return float(line.value)
        except ValueError:
            self._add_problem(line.number, name, line.value, "a number")
            return default

    def count(self, name: str, *, default: int) -> int:
        """Returns a whole number from 1, or the default if it is missing."""
        line = self._by_name.get(name)
        if line is None or not line.value:
            return default
        if line.value.isdecimal() and int(line.value) > 0:
            return int(line.value)
        self._add_problem(
            line.number, name, line.value, "a whole number from 1"
        )
        return default

    def flag(self, name: str) -> bool:
        """Returns whether an optional value is ``true``."""
        line = self._by_name.get(name)
        if line is None or line.value in ("", "false"):
            return False
        if line.value != "true":
            self._add_problem(line.number, name, line.value, "true or false")
        return line.value == "true"

    def _add_problem(
        self, line_number: int, name: str, found: str, expected: str
    ) -> None:
        self.problems.append(
            SettingsProblem(self._path, line_number, name, found, expected)
        )
