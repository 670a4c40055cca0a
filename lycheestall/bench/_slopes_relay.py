"""The cost of a call that one VM forwards to another."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from ..calls import Call, CallHandle, CallHandler, CallSink, ResponseHead
from ..cell_view import CellView, WriteResult
from ..codec import decode_message, encode_message
from ..fold import Verdict
from ..ids import Offset, PartitionId, SessionId, VmId
from ..outcomes import Completed, Outcome, Refused
from ..records import CellRecord
from ..router import Router
from ._slopes_path import forwarded_call
from ._slopes_probe import CountingMesh, Reading, cpu_us

__all__ = ["measure_relay"]

RELAYED_CALLS = 50
CHUNK_BYTES = 180


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

    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        """Accepts everything."""
        return succeed(WriteResult(Offset(0), Verdict(True)))


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
        call = forwarded_call(number)
        if cell.owner_of(router.partition(call)) == names[1]:
            calls.append(call)
    return calls
