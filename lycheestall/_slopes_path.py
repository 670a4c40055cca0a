"""Costs on a call's path: placement, append, frames, relay."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from ._slopes_probe import CountingMesh, MemoryLog, Reading, cpu_us
from .calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
    ResponseHead,
)
from .cell_view import CellView, Folded
from .codec import decode_message, decode_record, encode_message
from .dispatch import ChatJob
from .dispatch_commands import JobKey, SendJob
from .engine_directory import EngineEntry
from .engine_scheduler import EngineScheduler
from .fold import Verdict
from .ids import (
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
from .log_writer import LogWriter
from .messages import CallChunk, CallForwarded
from .outcomes import Completed, Outcome, Refused
from .records import CellRecord, IntentRecorded, Record
from .router import Router
from .rules_match import EMPTY_RULES
from .targets import EngineDone

__all__ = [
    "measure_append",
    "measure_chunk_frame",
    "measure_forward_frame",
    "measure_placement",
    "measure_relay",
]

JOBS = 20
FRAMES = 500
APPENDS = 5
RELAYED_CALLS = 50
CHUNK_BYTES = 180
PROMPT_BYTES = 2_000
FLUSH_S = 0.02


def measure_placement(targets: int) -> Reading:
    """Returns what one job costs the scheduler, from queue to answer.

    Args:
        targets: Engines of the cell.
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

    def run() -> None:
        for _ in range(JOBS):
            number = next(keys)
            key = JobKey(number)
            now = 1.0 + number / 1_000
            sent = scheduler.submit(key, _job(number), now)
            assert any(isinstance(command, SendJob) for command in sent)
            scheduler.accepted(key, now)
            scheduler.started(key, now)
            scheduler.done(key, EngineDone(900, 200, 0), now + 0.5)

    return Reading(cpu_us=cpu_us(run, count=JOBS, repeats=3))


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


def measure_append(records: int) -> Reading:
    """Returns what one append costs: written, read back and settled.

    Args:
        records: Intents that share the append.
    """
    clock: Any = Clock()
    log = MemoryLog()
    writer = LogWriter(
        StreamName("cell"),
        SessionId("vm-00000.1.abcd"),
        log,
        clock,
        relay=lambda _stream, _payloads: False,
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
                writer.folded(entry.offset, record, Verdict(True))
            assert writer.pending == 0

    cost = cpu_us(run, count=APPENDS)
    wire = sum(len(entry.payload) for entry in log.entries[-records:])
    return Reading(cpu_us=cost, wire_bytes=wire)


def measure_chunk_frame(size: int) -> Reading:
    """Returns what one chunk's frame costs, encoded and decoded.

    Args:
        size: Bytes of the answer body in it.
    """
    message = CallChunk(1_000, bytes(size))

    def run() -> None:
        for _ in range(FRAMES):
            decode_message(encode_message(message))

    return Reading(
        cpu_us=cpu_us(run, count=FRAMES),
        wire_bytes=len(encode_message(message)),
    )


def measure_forward_frame(size: int) -> Reading:
    """Returns what a forwarded call's frame costs, both ways.

    Args:
        size: Bytes of the request body.
    """
    message = CallForwarded(1_000, _call(1, size))

    def run() -> None:
        for _ in range(FRAMES):
            decode_message(encode_message(message))

    return Reading(
        cpu_us=cpu_us(run, count=FRAMES),
        wire_bytes=len(encode_message(message)),
    )


def _call(number: int, size: int = PROMPT_BYTES) -> Call:
    return Call(
        kind=CallKind.CHAT,
        account=AccountId("account-0001"),
        program=ProgramId(f"program-{number}"),
        model=ModelName("m"),
        body=bytes(size),
        streamed=True,
        program_class="planning",
    )


class _Answering(CallHandler):
    """An owner that answers each call with so many chunks."""

    def __init__(self, chunks: int, clock: Any) -> None:
        self._chunks = chunks
        self._clock = clock

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Streams the answer, a chunk each 30 ms."""
        sink.start(ResponseHead(200, (("content-type", "t"),)))
        for _ in range(self._chunks):
            sink.chunk(bytes(CHUNK_BYTES))
            self._clock.advance(0.03)
        sink.finish(Completed(900, self._chunks, 0, "engine-1"))
        return _Handle()


class _Handle(CallHandle):
    def detach(self) -> None:
        """Has nothing to stop."""


class _Sink(CallSink):
    def __init__(self) -> None:
        self.size = 0
        self.outcome: Outcome | None = None

    def start(self, head: ResponseHead) -> None:
        """Takes the head."""

    def chunk(self, data: bytes) -> None:
        """Counts the bytes."""
        self.size += len(data)

    def finish(self, outcome: Outcome) -> None:
        """Takes the outcome."""
        self.outcome = outcome


class _LinkedMesh(CountingMesh):
    """Carries frames to another mesh at once, through the codec."""

    def __init__(self, vm: VmId) -> None:
        super().__init__()
        self.vm = vm
        self.other: _LinkedMesh | None = None
        self.frame_bytes = 0

    def send(self, peer: VmId, message: Any) -> bool:
        """Encodes, decodes and delivers."""
        frame = encode_message(message)
        self.frame_bytes += len(frame)
        assert self.other is not None and self.other.handler is not None
        self.other.handler(self.vm, decode_message(frame))
        return True


class _FixedCell(CellView):
    """Two VMs that own the even and the odd partitions."""

    def __init__(self, vms: list[VmId]) -> None:
        self._vms = vms

    @property
    def session(self) -> SessionId:
        """Returns a fixed session."""
        return SessionId("vm-00000.1.abcd")

    def owner_of(self, partition: PartitionId) -> VmId | None:
        """Returns the owner."""
        return self._vms[partition % len(self._vms)]

    def epoch_of(self, partition: PartitionId) -> Offset:
        """Returns a fixed epoch."""
        return Offset(1)

    def refusal(self, partition: PartitionId) -> Refused | None:
        """Refuses nothing."""
        return None

    def log_silent(self) -> bool:
        """Hears the log."""
        return False

    def submit(self, body: CellRecord) -> Deferred[Folded]:
        """Accepts everything."""
        return succeed(Folded(Offset(0), Verdict(True)))


def measure_relay(chunks: int) -> Reading:
    """Returns what one call costs two VMs: entry and owner.

    The call is forwarded over the mesh and its answer streams back, one
    frame a chunk; sockets, HTTP and the engine's side are not in it.

    Args:
        chunks: Chunks of the answer.
    """
    clock: Any = Clock()
    names = [VmId("vm-00000"), VmId("vm-00001")]
    meshes = [_LinkedMesh(name) for name in names]
    meshes[0].other, meshes[1].other = meshes[1], meshes[0]
    routers = [
        Router(
            vm=name,
            cell=_FixedCell(names),
            mesh=mesh,
            owner=_Answering(chunks, clock),
            partitions=64,
            clock=clock,
        )
        for name, mesh in zip(names, meshes, strict=True)
    ]
    for mesh, router in zip(meshes, routers, strict=True):
        mesh.on_message(router.on_message)
    calls = _forwarded_calls(routers[0], names)

    def run() -> None:
        for call in calls:
            sink = _Sink()
            routers[0].handle(call, sink)
            assert isinstance(sink.outcome, Completed)
            assert sink.size == chunks * CHUNK_BYTES

    cost = cpu_us(run, count=len(calls), repeats=3)
    wire = sum(mesh.frame_bytes for mesh in meshes) / len(calls) / 3
    return Reading(cpu_us=cost, wire_bytes=wire)


def _forwarded_calls(router: Router, names: list[VmId]) -> list[Call]:
    """Returns calls of programs that the other VM owns."""
    cell = _FixedCell(names)
    calls: list[Call] = []
    number = 0
    while len(calls) < RELAYED_CALLS:
        number += 1
        call = _call(number)
        if cell.owner_of(router.partition(call)) == names[1]:
            calls.append(call)
    return calls
