"""Reads the platform's settings file, lines of ``a.b=value``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from ..entry.vm_settings import Address, EntrySettings, SettingsProblem
from ..ids import VmId, ZoneId

__all__ = ["SETTINGS_VARIABLE", "load_entry_settings", "settings_path"]

SETTINGS_VARIABLE = "LYCHEESTALL_SETTINGS"
_DEFAULT_PATH = "/etc/lycheestall/node.conf"


class _Line(NamedTuple):
    number: int
    value: str


def settings_path() -> str:
    """Returns where the platform has put the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)


def load_entry_settings(path: str) -> EntrySettings | list[SettingsProblem]:
    """Reads and checks a settings file.

    Args:
        path: Where it is.

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
    )
    return reader.problems or settings


class _Reader:
    """Typed access to the lines; collects problems."""

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self.problems: list[SettingsProblem] = []
        self._by_name: dict[str, _Line] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            name, equals, value = line.partition("=")
            if not equals:
                self._problem(number, name, line, "name=value")
                continue
            self._by_name[name.strip()] = _Line(number, value.strip())

    def text(self, name: str) -> str:
        """Returns a value that must be there."""
        line = self._by_name.get(name)
        if line is None or not line.value:
            self._problem(line.number if line else 0, name, "", "a value")
            return ""
        return line.value

    def address(self, name: str) -> Address:
        """Returns an IP address and port."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if host and port.isdigit():
            return Address(host, int(port))
        if value:
            self._problem(self._by_name[name].number, name, value, "HOST:PORT")
        return Address("", 0)

    def port(self, name: str, index: int) -> int:
        """Returns a port of a list."""
        parts = self.text(name).split(",")
        if index < len(parts) and parts[index].isdigit():
            return int(parts[index])
        if name in self._by_name:
            self._problem(
                self._by_name[name].number, name, ",".join(parts), "ports"
            )
        return 0

    def number(self, name: str, *, default: float) -> float:
        """Returns a number, or the default where there is none."""
        line = self._by_name.get(name)
        if line is None or not line.value:
            return default
        try:
            return float(line.value)
        except ValueError:
            self._problem(line.number, name, line.value, "a number")
            return default

    def _problem(
        self, number: int, name: str, found: str, expected: str
    ) -> None:
        self.problems.append(
            SettingsProblem(self._path, number, name, found, expected)
        )
