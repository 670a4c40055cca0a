"""Cost of a call that one VM forwards to another."""

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
from ._slopes_probe import CostSample, CountingMesh, measure_cpu_us

__all__ = ["measure_relay"]

RELAYED_CALLS = 50
CHUNK_BYTES = 180


class _StreamingOwner(CallHandler):
    """An owner that answers each call with a fixed number of chunks."""

    def __init__(self, chunks: int, clock: Any) -> None:
        self._chunks = chunks
        self._clock = clock

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Streams the answer, one chunk every 30 ms."""
        sink.start(ResponseHead(200, (("content-type", "t"),)))
        for _ in range(self._chunks):
            sink.chunk(bytes(CHUNK_BYTES))
            self._clock.advance(0.03)
        sink.finish(Completed(900, self._chunks, 0, "engine-1"))
        return _NoopHandle()


class _NoopHandle(CallHandle):
    def detach(self) -> None:
        """Does nothing: the answer is complete."""


class _CountingSink(CallSink):
    def __init__(self) -> None:
        self.received_bytes = 0
        self.outcome: Outcome | None = None

    def start(self, head: ResponseHead) -> None:
        """Ignores the response head."""

    def chunk(self, data: bytes) -> None:
        """Counts the bytes."""
        self.received_bytes += len(data)

    def finish(self, outcome: Outcome) -> None:
        """Keeps the outcome."""
        self.outcome = outcome


class _LinkedMesh(CountingMesh):
    """A mesh that delivers messages to one peer through the codec."""

    def __init__(self, vm: VmId) -> None:
        super().__init__()
        self.vm = vm
        self.peer_mesh: _LinkedMesh | None = None
        self.frame_bytes = 0

    def send(self, peer: VmId, message: Any) -> bool:
        """Encodes and decodes a message and delivers it immediately."""
        frame = encode_message(message)
        self.frame_bytes += len(frame)
        assert (
            self.peer_mesh is not None and self.peer_mesh.handler is not None
        )
        self.peer_mesh.handler(self.vm, decode_message(frame))
        return True


class _StaticCellView(CellView):
    """A cell view that assigns the partitions to the VMs in turn."""

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
        """Returns None: nothing is refused."""
        return None

    def log_unresponsive(self) -> bool:
        """Returns False: the log is available."""
        return False

    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        """Accepts everything."""
        return succeed(WriteResult(Offset(0), Verdict(True)))


def measure_relay(chunks: int) -> CostSample:
    """Measures a forwarded call, as the sum for entry VM and owner.

    The call is forwarded over the mesh and its answer streamed back, one
    frame per chunk. Sockets, HTTP and the engine are not included.

    Args:
        chunks: Number of chunks in the answer.
    """
    clock: Any = Clock()
    names = [VmId("vm-00000"), VmId("vm-00001")]
    meshes = [_LinkedMesh(name) for name in names]
    meshes[0].peer_mesh, meshes[1].peer_mesh = meshes[1], meshes[0]
    routers = [
        Router(
            vm=name,
            cell=_StaticCellView(names),
            mesh=mesh,
            owner=_StreamingOwner(chunks, clock),
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
            sink = _CountingSink()
            routers[0].handle(call, sink)
            assert isinstance(sink.outcome, Completed)
            assert sink.received_bytes == chunks * CHUNK_BYTES

    cost = measure_cpu_us(run, count=len(calls), repeats=3)
    wire = sum(mesh.frame_bytes for mesh in meshes) / len(calls) / 3
    return CostSample(cpu_us=cost, wire_bytes=wire)


def _forwarded_calls(router: Router, names: list[VmId]) -> list[Call]:
    """Returns calls of programs that the other VM owns."""
    cell = _StaticCellView(names)
    calls: list[Call] = []
    number = 0
    while len(calls) < RELAYED_CALLS:
        number += 1
        call = forwarded_call(number)
        if cell.owner_of(router.partition(call)) == names[1]:
            calls.append(call)
    return calls
