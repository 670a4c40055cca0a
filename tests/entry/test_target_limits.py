"""What a VM knows of the request limits that targets name."""

from __future__ import annotations

import pytest

from lycheestall.entry.http_messages import ResponseHead
from lycheestall.entry.message_metadata import RequestLimit, UnreadableLimit
from lycheestall.entry.target_limits import (
    MAX_PROCESSES,
    LimitReport,
    TargetLimits,
)
from lycheestall.entry.target_table import TargetProcess
from lycheestall.ids import TargetId
from lycheestall.platform.headers import PlatformHeaders
from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import ReceivedRequest

PROCESS = TargetProcess(TargetId("t"), 1)


def report(
    rate_per_s: float | None,
    heard_at: float,
    *,
    process: TargetProcess = PROCESS,
) -> LimitReport:
    """Returns a report about a target process."""
    return LimitReport(process, rate_per_s, heard_at)


@pytest.fixture
def limits() -> TargetLimits:
    """No limit is known yet."""
    return TargetLimits()


def test_a_limit_holds_until_the_target_names_none(
    limits: TargetLimits,
) -> None:
    assert limits.record(report(7.5, 1.0))
    assert limits.rate_per_s(PROCESS) == 7.5
    assert not limits.record(report(7.5, 2.0))
    assert limits.record(report(None, 3.0))
    assert limits.rate_per_s(PROCESS) is None
    assert not limits.limited()


def test_an_older_report_does_not_bring_a_limit_back(
    limits: TargetLimits,
) -> None:
    limits.record(report(7.5, 1.0))
    limits.record(report(None, 3.0))
    assert not limits.record(report(7.5, 2.0))
    assert limits.rate_per_s(PROCESS) is None


def test_a_new_process_of_a_target_has_no_limit(limits: TargetLimits) -> None:
    limits.record(report(7.5, 1.0))
    assert limits.rate_per_s(TargetProcess(PROCESS.target, 2)) is None


def test_the_number_of_remembered_processes_is_bounded(
    limits: TargetLimits,
) -> None:
    for number in range(MAX_PROCESSES + 10):
        process = TargetProcess(TargetId("t"), number)
        limits.record(report(1.0, number, process=process))
    assert len(limits.limited()) == MAX_PROCESSES


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"7.1", RequestLimit(7.1)),
        (b" 12 ", RequestLimit(12.0)),
        (b"0", RequestLimit(0.0)),
        (b"-1", UnreadableLimit("-1")),
        (b"inf", UnreadableLimit("inf")),
        (b"nan", UnreadableLimit("nan")),
        (b"many", UnreadableLimit("many")),
        (b"", UnreadableLimit("")),
    ],
)
def test_a_limit_is_read_from_a_response(
    value: bytes, expected: RequestLimit | UnreadableLimit
) -> None:
    headers = ((b"Server-Limit", value),)
    head = ResponseHead(200, headers, framed=True, keep_alive=True)
    assert PlatformHeaders().parse_response_headers(head).limit == expected


def test_a_response_without_the_header_names_no_limit() -> None:
    head = ResponseHead(200, (), framed=True, keep_alive=True)
    assert PlatformHeaders().parse_response_headers(head).limit is None


class LimitedTarget:
    """Names a limit that the test sets."""

    def __init__(self) -> None:
        self.limit: bytes | None = None
        self.status = 200

    def respond(self, request: ReceivedRequest) -> None:
        """Serves a request."""
        headers = ()
        if self.limit is not None:
            headers = ((b"Server-Limit", self.limit),)
        request.respond(self.status, b"whole", headers=headers)


def limited_targets(harness: EntryVmHarness) -> float:
    """Returns the VM's gauge of targets that name a limit."""
    harness.reactor.run(0.6)
    for line in harness.metrics.render().decode().splitlines():
        if "limited_targets{" in line:
            return float(line.rsplit(" ", 1)[1])
    return -1.0


def test_a_vm_counts_the_targets_that_name_a_limit(
    harness: EntryVmHarness,
) -> None:
    target = LimitedTarget()
    harness.add_target("one", target.respond)
    harness.start()
    target.limit = b"7.5"
    harness.send_request("/orders/x", method="POST")
    assert limited_targets(harness) == 1
    target.limit = b"unclear"
    harness.send_request("/orders/x", method="POST")
    assert limited_targets(harness) == 1
    target.limit = None
    harness.send_request("/orders/x", method="POST")
    assert limited_targets(harness) == 0


def test_a_target_at_a_reused_address_does_not_limit_its_predecessor(
    harness: EntryVmHarness,
) -> None:
    target = LimitedTarget()
    target.limit, target.status = b"7.5", 421
    harness.add_target("one", target.respond)
    harness.start()
    harness.send_request("/orders/x", method="POST")
    assert limited_targets(harness) == 0
