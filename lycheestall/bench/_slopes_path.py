"""Costs of the steps of a call: placement, append, VM list, frames."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from .._http_client import HttpClient, HttpResponse
from ..calls import (
    Call,
    CallKind,
)
from ..codec import decode_message, decode_record, encode_message
from ..dispatch import ChatJob
from ..dispatch_commands import JobKey, SendJob
from ..engine_directory import EngineEntry
from ..engine_scheduler import EngineScheduler
from ..fold import Verdict
from ..ids import (
    AccountId,
    IdempotencyKey,
    ModelName,
    Offset,
    PartitionId,
    ProgramId,
    SessionId,
    StreamName,
    TargetId,
    VmId,
    ZoneId,
)
from ..log_writer import LogWriter
from ..messages import CallChunk, CallForwarded, Heartbeat, StreamOffsets
from ..platform_services import VmEntry, VmListing, VmRole
from ..records import IntentRecorded, Record
from ..rules.match import EMPTY_RULES
from ..targets import EngineDone, LoadReport
from ..vm_list_http import HttpVmList, vm_entry_to_json
from ._slopes_probe import CostSample, MemoryLog, measure_cpu_us

__all__ = [
    "forwarded_call",
    "measure_append",
    "measure_chunk_frame",
    "measure_forward_frame",
    "measure_load_frame",
    "measure_placement",
    "measure_vm_list",
]

MAX_JOBS = 20
MAX_JOBS_TIMES_TARGETS = 20_000
FRAMES = 500
APPENDS = 5
PROMPT_BYTES = 2_000
FLUSH_S = 0.02


def measure_placement(targets: int) -> CostSample:
    """Measures the scheduler's cost of one job, from submit to answer.

    Args:
        targets: Number of engines in the cell.
    """
    scheduler = EngineScheduler(
        vm=VmId("vm-00000"),
        seed=1,
        rules=lambda: EMPTY_RULES,
        quarantined=lambda _: False,
        cell_size=lambda: 1,
        wall_ms=lambda: 0,
    )
    entries = [
        EngineEntry(TargetId(f"engine-{number:05}"), ZoneId("z"), "g")
        for number in range(targets)
    ]
    scheduler.set_engines(entries, 0.0)
    keys = iter(range(1, 1_000_000))
    jobs = min(MAX_JOBS, MAX_JOBS_TIMES_TARGETS // targets)

    def run() -> None:
        for _ in range(jobs):
            number = next(keys)
            key = JobKey(number)
            now = 1.0 + number / 1_000
            sent = scheduler.submit(key, _job(number), now)
            assert any(isinstance(command, SendJob) for command in sent)
            scheduler.job_accepted(key, now)
            scheduler.job_started(key, now)
            scheduler.job_done(key, EngineDone(900, 200, 0), now + 0.5)

    return CostSample(cpu_us=measure_cpu_us(run, count=jobs, repeats=3))


def _job(number: int) -> ChatJob:
    program = ProgramId(f"program-{number % 50}")
    return ChatJob(
        program=program,
        root=program,
        account=AccountId(f"account-{number % 10}"),
        program_class="planning",
        number=number,
        model=ModelName("m"),
        body=b"{}",
        prompt_tokens=900,
        max_tokens=200,
        fingerprint=bytes(32),
        deadline_s=1e9,
        epoch=1,
        may_send=lambda: None,
        may_repeat=lambda: True,
    )


def measure_append(records: int) -> CostSample:
    """Measures one append, including reading it back and confirming it.

    Args:
        records: Number of intent records in the append.
    """
    clock: Any = Clock()
    log = MemoryLog()
    writer = LogWriter(
        StreamName("cell"),
        SessionId("vm-00000.1.abcd"),
        log,
        clock,
        append_via_peer=lambda _stream, _payloads: False,
    )
    body = IntentRecorded(
        ProgramId("pr-018bcfe56800-0123456789abcdef-0123456789abcdef01234567"),
        PartitionId(3),
        Offset(7),
        IdempotencyKey("order-1234"),
        bytes(32),
        TargetId("orders-1"),
        7,
    )

    def run() -> None:
        for _ in range(APPENDS):
            start = len(log.entries)
            for _ in range(records):
                writer.submit(body)
            clock.advance(FLUSH_S)
            for entry in log.entries[start:]:
                record = decode_record(entry.payload)
                assert isinstance(record, Record)
                writer.on_folded(entry.offset, record, Verdict(True))
            assert writer.pending == 0

    cost = measure_cpu_us(run, count=APPENDS)
    wire = sum(len(entry.payload) for entry in log.entries[-records:])
    return CostSample(cpu_us=cost, wire_bytes=wire)


class _FixedResponseClient(HttpClient):
    """An HTTP client that returns the same body for every request."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def request(self, *_: Any, **__: Any) -> HttpResponse:
        """Returns a response with the fixed body."""
        return HttpResponse(200, Headers(), self._body)


def measure_vm_list(entries: int) -> CostSample:
    """Measures one fetch of the platform's VM list.

    Args:
        entries: Number of VMs and targets on the list.
    """
    items = [
        vm_entry_to_json(
            VmEntry(
                VmId(f"engine-{number:05}"),
                VmRole.ENGINE,
                ZoneId("guj-west-bhuj-a"),
                "10.120.130.140",
                8_080,
                group="planning",
            )
        )
        for number in range(entries)
    ]
    body = json.dumps({"version": 7, "vms": items}).encode()
    vm_list = HttpVmList(_FixedResponseClient(body), "http://10.0.0.1")

    def run() -> None:
        fetched = ensureDeferred(vm_list.fetch())
        assert isinstance(fetched.result, VmListing)

    return CostSample(cpu_us=measure_cpu_us(run), wire_bytes=len(body))


def measure_chunk_frame(size: int) -> CostSample:
    """Measures encoding and decoding of one answer chunk.

    Args:
        size: Length of the chunk in bytes.
    """
    message = CallChunk(1_000, bytes(size))

    def run() -> None:
        for _ in range(FRAMES):
            decode_message(encode_message(message))

    return CostSample(
        cpu_us=measure_cpu_us(run, count=FRAMES),
        wire_bytes=len(encode_message(message)),
    )


def measure_forward_frame(size: int) -> CostSample:
    """Measures encoding and decoding of a forwarded call.

    Args:
        size: Length of the request body in bytes.
    """
    message = CallForwarded(1_000, forwarded_call(1, size))

    def run() -> None:
        for _ in range(FRAMES):
            decode_message(encode_message(message))

    return CostSample(
        cpu_us=measure_cpu_us(run, count=FRAMES),
        wire_bytes=len(encode_message(message)),
    )


def measure_load_frame(reports: int) -> CostSample:
    """Measures encoding and decoding of a heartbeat with load reports.

    Args:
        reports: Number of load reports in the heartbeat.
    """
    report = LoadReport(
        TargetId("engine-00001"), 12, 3, 0.61, 900.0, (ModelName("model-1"),)
    )
    offsets = StreamOffsets(StreamName("cell"), Offset(10_000), Offset(10_000))
    message = Heartbeat(
        1_000, SessionId("vm-00000.1.abcd"), (offsets,), (report,) * reports
    )

    def run() -> None:
        for _ in range(FRAMES):
            decode_message(encode_message(message))

    return CostSample(
        cpu_us=measure_cpu_us(run, count=FRAMES),
        wire_bytes=len(encode_message(message)),
    )


def forwarded_call(number: int, size: int = PROMPT_BYTES) -> Call:
    """Returns a chat call of a program.

    Args:
        number: Number in the program's id.
        size: Length of the request body in bytes.
    """
    return Call(
        kind=CallKind.CHAT,
        account=AccountId("account-0001"),
        program=ProgramId(f"program-{number}"),
        model=ModelName("m"),
        body=bytes(size),
        streamed=True,
        program_class="planning",
    )
