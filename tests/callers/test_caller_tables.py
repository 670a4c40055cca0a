"""The list of tables that are keyed by what callers choose."""

from __future__ import annotations

import re
from collections.abc import Sized
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.crashes.crash_reporter import DOUBT_S, CrashReporter
from lycheestall.entry.crashes.crash_reports import CrashReports
from lycheestall.entry.membership import Members
from lycheestall.entry.origin_journal import OriginJournal
from lycheestall.entry.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from lycheestall.entry.target_table import TargetRegistration, TargetTable
from lycheestall.ids import SoftwareVersion, TargetId, ZoneId
from lycheestall.logs import get_logger

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs/design/callers.md"
PACKAGES = [ROOT / "lycheestall/entry", ROOT / "lycheestall/conversations"]
ROW = re.compile(r"^\| `([\w/]+\.py)` `(\w+)` \| [^|]+ \| ([^|]+) \|", re.M)
TABLE = re.compile(
    r"self\.(\w+): (?:dict|OrderedDict|set|list|deque)\[\s*"
    r"(?:ProgramId|StreamKey|ConversationTurnId|TurnId|TurnRef|SessionId|"
    r"AffinityKey|CallerConnection)\b"
)
OVERFILL = 12_000
TARGET = TargetRegistration(
    TargetId("one"),
    started_ms=1,
    service=ServiceId("app"),
    host="10.1.0.1",
    port=80,
    zone=ZoneId("zone-a"),
    software_version=SoftwareVersion("v1"),
    slots=8,
    draining=False,
)
ORIGIN = StreamOrigin(ServiceId("engines"), SoftwareVersion("v1"))


def sources() -> dict[str, str]:
    """Returns the text of each module by the last parts of its path."""
    return {
        path.relative_to(package).as_posix(): path.read_text()
        for package in PACKAGES
        for path in package.rglob("*.py")
    }


def listed() -> dict[tuple[str, str], str]:
    """Returns the bound of each table of the page."""
    rows = ROW.findall(PAGE.read_text())
    return {(file, name): bound for file, name, bound in rows}


# Guards against a new table that callers can fill without a bound.
def test_every_table_with_a_key_of_callers_is_listed() -> None:
    found = {
        (file, name)
        for file, text in sources().items()
        for name in TABLE.findall(text)
    }
    assert found - listed().keys() == set()


def test_every_listed_table_exists() -> None:
    texts = sources()
    for file, name in listed():
        assert f"self.{name}" in texts[file], (file, name)


def fill_crash_reports() -> CrashReports:
    reports = CrashReports(Clock())
    for number in range(OVERFILL):
        reports.record_crash(str(number), TARGET.process)
    return reports


def fill_crash_reporter() -> CrashReporter:
    clock = Clock()
    table = TargetTable()
    table.register(TARGET)
    contact: Any = SimpleNamespace(heard_since=lambda target, at: True)
    reporter = CrashReporter(
        clock,
        table=table,
        contact=lambda: contact,
        report=lambda fingerprint, process: None,
        logger=get_logger(),
    )
    for number in range(OVERFILL):
        reporter.connection_lost(TARGET.target, str(number))
    clock.advance(DOUBT_S)
    return reporter


def fill_stream_origins() -> StreamOrigins:
    origins = StreamOrigins()
    for number in range(OVERFILL):
        origins.add(stream_key(b"%d" % number), ORIGIN)
    return origins


def fill_origin_journal() -> OriginJournal:
    store: Any = None
    journal = OriginJournal(
        origins=StreamOrigins(),
        members=Members(),
        store=store,
        clock=Clock(),
        logger=get_logger(),
    )
    for number in range(OVERFILL):
        journal.add(stream_key(b"%d" % number), ORIGIN)
    return journal


FILLED = {
    ("crashes/crash_reports.py", "_by_fingerprint"): fill_crash_reports,
    ("crashes/crash_reports.py", "_unwritten"): fill_crash_reports,
    ("crashes/crash_reporter.py", "_undecided"): fill_crash_reporter,
    ("stream_origins.py", "_by_key"): fill_stream_origins,
    ("origin_journal.py", "_pending"): fill_origin_journal,
}


@pytest.mark.parametrize("table", FILLED, ids="/".join)
def test_a_table_stays_within_its_bound(table: tuple[str, str]) -> None:
    entries: Sized = getattr(FILLED[table](), table[1])
    assert len(entries) == int(listed()[table].replace(",", ""))
