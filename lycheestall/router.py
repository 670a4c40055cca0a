"""Routes calls to the VMs that own their programs, and responses back."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .calls import Call, CallHandle, CallHandler, CallSink, ResponseHead
from .cell_view import CellView
from .clock import Clock, Timer
from .ids import PartitionId, VmId
from .mesh import Mesh
from .messages import (
    CallChunk,
    CallDetached,
    CallFinished,
    CallForwarded,
    CallStarted,
    MeshMessage,
)
from .outcomes import Completed, Failed, Outcome, Reason, Refused, Step
from .partitions import partition_of

__all__ = ["Router"]

REROUTE_DELAY_S = 0.2
MAX_REROUTE_ATTEMPTS = 15
CHUNK_FLUSH_S = 0.004
CHUNK_FLUSH_BYTES = 16_384

_REROUTED_REASONS = frozenset({Reason.NOT_OWNER, Reason.UNREACHABLE})


class Router(CallHandler):
    """Forwards calls from callers and peers to the owning VM.

    Args:
        vm: This VM.
        cell: Returns the partitions' owners.
        mesh: Connections to the other VMs.
        owner: Runs the calls of programs that this VM owns.
        partitions: Number of partitions.
        clock: Schedules retries while a partition changes its owner.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        cell: CellView,
        mesh: Mesh,
        owner: CallHandler,
        partitions: int,
        clock: Clock,
    ) -> None:
        self._vm = vm
        self._cell = cell
        self._mesh = mesh
        self._owner = owner
        self._partitions = partitions
        self._clock = clock
        self._next_exchange = 1
        self._exchange_by_id: dict[int, _Exchange] = {}
        self._served_by_id: dict[tuple[VmId, int], _ServedCall] = {}

    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Runs a caller's call on the VM that owns its program."""
        exchange = _Exchange(self, call, sink)
        exchange.attempt()
        return exchange

    def partition(self, call: Call) -> PartitionId:
        """Returns the partition a call's program belongs to."""
        return partition_of(call.account, call.program, self._partitions)

    def in_progress(self) -> int:
        """Returns the number of calls being forwarded or served."""
        return len(self._exchange_by_id) + len(self._served_by_id)

    def on_message(self, peer: VmId, message: MeshMessage) -> None:
        """Handles a call message from a peer."""
        if isinstance(message, CallForwarded):
            self._serve(peer, message)
            return
        if isinstance(message, CallDetached):
            key = (peer, message.exchange)
            served = self._served_by_id.pop(key, None)
            if served is not None:
                served.detach()
            return
        if not isinstance(message, CallStarted | CallChunk | CallFinished):
            return
        exchange = self._exchange_by_id.get(message.exchange)
        if exchange is None or exchange.peer != peer:
            return
        exchange.on_message(message)

    def on_lost(self, peer: VmId) -> None:
        """Ends the calls in progress with a peer whose connection is lost."""
        for exchange in list(self._exchange_by_id.values()):
            if exchange.peer == peer:
                exchange.peer_lost()
        for key, served in list(self._served_by_id.items()):
            if key[0] == peer:
                served.detach()
                del self._served_by_id[key]

    def _serve(self, peer: VmId, message: CallForwarded) -> None:
        partition = self.partition(message.call)
        if self._cell.owner_of(partition) != self._vm:
            refused = Refused(
                Step.FORWARD,
                Reason.NOT_OWNER,
                peer=self._vm,
                retry_after_s=REROUTE_DELAY_S,
                detail="the program's partition has moved",
            )
            self._mesh.send(
                peer, CallFinished(message.exchange, refused=refused)
            )
            return
        sink = _PeerSink(self, peer, message.exchange)
        served = _ServedCall(sink)
        self._served_by_id[peer, message.exchange] = served
        served.handle = self._owner.handle(message.call, sink)


class _Exchange(CallHandle):
    """A caller's call to this VM, run here or on a peer."""

    def __init__(self, router: Router, call: Call, sink: CallSink) -> None:
        self._router = router
        self._call = call
        self._sink = sink
        self._attempts = 0
        self._started = False
        self._deadline = router._clock.seconds() + call.deadline_s
        self._timer: Timer | None = None
        self._local: CallHandle | None = None
        self._id = 0
        self.peer: VmId | None = None

    def attempt(self) -> None:
        """Sends the call to the current owner of its program."""
        self._timer = None
        self._attempts += 1
        router = self._router
        owner = router._cell.owner_of(router.partition(self._call))
        if owner is None:
            self._on_outcome(self._no_owner_refusal())
            return
        remaining_s = self._deadline - router._clock.seconds()
        call = replace(self._call, deadline_s=max(remaining_s, 0.0))
        if owner == router._vm:
            self._local = router._owner.handle(call, _LocalSink(self))
            return
        self._id = router._next_exchange
        router._next_exchange += 1
        self.peer = owner
        router._exchange_by_id[self._id] = self
        if not router._mesh.send(owner, CallForwarded(self._id, call)):
            self._on_outcome(self._unreachable_refusal(owner))

    def detach(self) -> None:
        """Tells the owner that the caller has disconnected."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._local is not None:
            self._local.detach()
        if self.peer is not None and self._id in self._router._exchange_by_id:
            self._router._mesh.send(self.peer, CallDetached(self._id))
            del self._router._exchange_by_id[self._id]

    def on_message(
        self, message: CallStarted | CallChunk | CallFinished
    ) -> None:
        """Handles a part of the response from the owning VM."""
        if isinstance(message, CallStarted):
            self.start(message.head)
            return
        if isinstance(message, CallChunk):
            self.chunk(message.data)
            return
        outcome: Outcome | None = (
            message.completed or message.refused or message.failed
        )
        assert outcome is not None
        self._on_outcome(outcome)

    def peer_lost(self) -> None:
        """Ends the call after the connection to its owner was lost."""
        peer = self.peer or ""
        self._on_outcome(
            Failed(
                Step.FORWARD,
                Reason.VM_LOST,
                peer=peer,
                retry_after_s=1.0,
                detail="the connection to the owning VM was lost; send the "
                "call again under the same number",
            )
        )

    def start(self, head: ResponseHead) -> None:
        self._started = True
        self._sink.start(head)

    def chunk(self, data: bytes) -> None:
        self._sink.chunk(data)

    def congested(self) -> bool:
        return self._sink.congested()

    def _on_outcome(self, outcome: Outcome) -> None:
        self._router._exchange_by_id.pop(self._id, None)
        self.peer = None
        self._local = None
        if not self._should_reroute(outcome):
            self._sink.finish(outcome)
            return
        self._timer = self._router._clock.callLater(
            REROUTE_DELAY_S, self.attempt
        )

    def _should_reroute(self, outcome: Outcome) -> bool:
        if not isinstance(outcome, Refused) or self._started:
            return False
        if outcome.reason not in _REROUTED_REASONS:
            return False
        if self._attempts >= MAX_REROUTE_ATTEMPTS:
            return False
        remaining_s = self._deadline - self._router._clock.seconds()
        return remaining_s > REROUTE_DELAY_S

    def _no_owner_refusal(self) -> Refused:
        return Refused(
            Step.ROUTE,
            Reason.NOT_OWNER,
            retry_after_s=1.0,
            detail="no VM owns the program's partition at the moment",
        )

    def _unreachable_refusal(self, owner: VmId) -> Refused:
        return Refused(
            Step.FORWARD,
            Reason.UNREACHABLE,
            peer=owner,
            retry_after_s=1.0,
            detail="no connection to the VM that owns the program",
        )


class _LocalSink(CallSink):
    """Passes on the response of a call that runs on this VM."""

    def __init__(self, exchange: _Exchange) -> None:
        self._exchange = exchange

    def start(self, head: ResponseHead) -> None:
        self._exchange.start(head)

    def chunk(self, data: bytes) -> None:
        self._exchange.chunk(data)

    def finish(self, outcome: Outcome) -> None:
        self._exchange._on_outcome(outcome)

    def congested(self) -> bool:
        return self._exchange.congested()


@dataclass(slots=True)
class _ServedCall:
    """A call that a peer forwarded to this VM."""

    sink: _PeerSink
    handle: CallHandle | None = None

    def detach(self) -> None:
        self.sink.detached = True
        if self.handle is not None:
            self.handle.detach()


class _PeerSink(CallSink):
    """Sends a response to the peer that forwarded the call.

    Chunks within ``CHUNK_FLUSH_S`` are combined into one message.
    """

    def __init__(self, router: Router, peer: VmId, exchange: int) -> None:
        self._router = router
        self._peer = peer
        self._exchange = exchange
        self._parts: list[bytes] = []
        self._size = 0
        self._timer: Timer | None = None
        self.detached = False

    def start(self, head: ResponseHead) -> None:
        self._send(CallStarted(self._exchange, head))

    def chunk(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size >= CHUNK_FLUSH_BYTES:
            self._flush()
            return
        if self._timer is None:
            self._timer = self._router._clock.callLater(
                CHUNK_FLUSH_S, self._flush
            )

    def finish(self, outcome: Outcome) -> None:
        self._flush()
        self._router._served_by_id.pop((self._peer, self._exchange), None)
        self._send(_finished_message(self._exchange, outcome))

    def _flush(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._send(CallChunk(self._exchange, data))

    def _send(self, message: MeshMessage) -> None:
        if not self.detached:
            self._router._mesh.send(self._peer, message)


def _finished_message(exchange: int, outcome: Outcome) -> CallFinished:
    if isinstance(outcome, Completed):
        return CallFinished(exchange, completed=outcome)
    if isinstance(outcome, Refused):
        return CallFinished(exchange, refused=outcome)
    return CallFinished(exchange, failed=outcome)
