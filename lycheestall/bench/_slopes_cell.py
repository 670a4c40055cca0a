"""Costs of cell membership for one VM, by number of members."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from ..cell_agent import CellAgent
from ..cell_dependencies import CellDependencies
from ..cell_fold import CellFold
from ..cell_session import CellIdentity
from ..cell_view import PartitionWatcher
from ..codec import decode_message, encode_message, encode_record
from ..ids import Offset, PartitionId, SessionId, StreamName, VmId, ZoneId
from ..ledger import Ledger
from ..messages import Heartbeat, HeartbeatReply, MeshMessage, StreamOffsets
from ..portions import Portions
from ..records import Record, RecordBody, SessionJoined, SessionRenewed
from ..settings import TuningSettings
from ._slopes_probe import CostSample, CountingMesh, MemoryLog

__all__ = ["measure_control", "measure_join"]

STREAM = StreamName("cell")
ZONES = 3
WARM_UP_S = 1
MEASURED_S = 2
STEP_S = 0.25
TICKS_PER_HEARTBEAT = 2


class _NoopWatcher(PartitionWatcher):
    def partition_gained(
        self,
        partition: PartitionId,
        epoch: Offset,
        *,
        program_states: dict[str, bytes],
        may_miss_programs: bool,
    ) -> None:
        """Does nothing."""

    def partition_lost(self, partition: PartitionId) -> None:
        """Does nothing."""

    def quiesce(self, partition: PartitionId) -> Deferred[dict[str, bytes]]:
        """Returns no program states."""
        return succeed({})


class _SimulatedCell:
    """A cell with one real agent and simulated other members.

    Attributes:
        cpu_ns: Processor time measured since it was reset.
        wire_bytes: Bytes sent and received since it was reset.
    """

    def __init__(self, members: int) -> None:
        clock: Any = Clock()
        self.clock = clock
        self.log = MemoryLog()
        self.mesh = CountingMesh()
        self.peers = [f"vm-{number:05}" for number in range(1, members)]
        self._sequence = 0
        self._heartbeat_number = 0
        self.cpu_ns = 0
        self.wire_bytes = 0
        self.agent = CellAgent(
            CellIdentity(VmId("vm-00000"), ZoneId("z-0"), "10.0.0.1", 1, "0"),
            STREAM,
            CellFold(Ledger(), Portions()),
            _NoopWatcher(),
            CellDependencies(
                clock=self.clock,
                log=self.log,
                mesh=self.mesh,
                new_session=lambda: SessionId("vm-00000.1.abcd"),
            ),
            tuning=TuningSettings(),
        )
        self._append_records([_join_record(name) for name in self.peers])
        self.agent.start()

    def _append_records(self, bodies: list[RecordBody]) -> None:
        """Appends one record of each peer to the log."""
        self._sequence += 1
        payloads: list[bytes] = []
        for name, body in zip(self.peers, bodies, strict=True):
            record = Record(_session(name), self._sequence, body)
            payloads.append(encode_record(record))
        if payloads:
            self.log.write(payloads)

    def run_second(self) -> None:
        """Simulates one second of renewals and heartbeats of all members."""
        end = Offset(len(self.log.entries) - 1)
        renewal = SessionRenewed(end)
        self._timed_append([renewal for _ in self.peers])
        for tick in range(round(1 / STEP_S)):
            if tick % TICKS_PER_HEARTBEAT == 0:
                self._send_heartbeats()
            self._timed(lambda: self.clock.advance(STEP_S))
            self._answer_heartbeats()

    def _timed_append(self, bodies: list[RecordBody]) -> None:
        start = time.process_time_ns()
        size = self.log.appended_bytes
        self._append_records(bodies)
        self.cpu_ns += time.process_time_ns() - start
        self.wire_bytes += self.log.appended_bytes - size

    def _timed(self, run: object) -> None:
        assert callable(run)
        size = self.log.appended_bytes
        start = time.process_time_ns()
        run()
        self.cpu_ns += time.process_time_ns() - start
        self.wire_bytes += sum(len(frame) for frame in self.mesh.frames)
        self.wire_bytes += self.log.appended_bytes - size
        self.mesh.frames.clear()

    def _send_heartbeats(self) -> None:
        self._heartbeat_number += 1
        for name in self.peers:
            self._deliver(
                name,
                Heartbeat(
                    self._heartbeat_number, _session(name), self._streams()
                ),
            )

    def _answer_heartbeats(self) -> None:
        for peer, message in self.mesh.take_sent():
            if isinstance(message, Heartbeat):
                reply = HeartbeatReply(
                    message.number, _session(peer), self._streams()
                )
                self._deliver(peer, reply)

    def _deliver(self, peer: str, message: MeshMessage) -> None:
        frame = encode_message(message)
        self.wire_bytes += len(frame)
        handler = self.mesh.handler
        assert handler is not None
        self._timed(lambda: handler(VmId(peer), decode_message(frame)))

    def _streams(self) -> tuple[StreamOffsets, ...]:
        end = Offset(len(self.log.entries) - 1)
        return (StreamOffsets(STREAM, end, end),)


def _join_record(name: str) -> SessionJoined:
    zone = ZoneId(f"z-{int(name[-5:]) % ZONES}")
    return SessionJoined(VmId(name), zone, "10.0.0.1", 1, "0", Offset(-1))


def _session(name: str) -> SessionId:
    return SessionId(f"{name}.1.abcd")


def measure_control(members: int) -> CostSample:
    """Measures one second of cell membership of one VM.

    Covers heartbeats and replies exchanged with all members, reading all
    members' renewals from the log, and the agent's own timers.

    Args:
        members: Number of VMs in the cell.
    """
    cell = _SimulatedCell(members)
    for _ in range(WARM_UP_S):
        cell.run_second()
    best = float("inf")
    for _ in range(MEASURED_S):
        cell.cpu_ns = cell.wire_bytes = 0
        cell.run_second()
        best = min(best, cell.cpu_ns / 1_000)
    assert len(cell.agent.fold.sessions.by_id) == members
    return CostSample(cpu_us=best, wire_bytes=cell.wire_bytes)


def measure_join(members: int) -> CostSample:
    """Measures how long another VM takes to fold the restart of a VM.

    Args:
        members: Number of VMs in the cell.
    """
    fold = CellFold(Ledger(), Portions())
    offset = 0
    for number in range(members):
        name = f"vm-{number:05}"
        record = Record(_session(name), 1, _join_record(name))
        fold.apply(Offset(offset), record)
        offset += 1
        for sequence, known in enumerate(list(fold.sessions.by_id)):
            if number % 50 or sequence % 2:
                continue
            offset += 1
            renewed = SessionRenewed(Offset(offset - 1))
            fold.apply(Offset(offset), Record(known, number + 2, renewed))
    best = float("inf")
    size = 0
    for number in range(5):
        session = SessionId(f"vm-00001.{number + 2}.abcd")
        joined = SessionJoined(
            VmId("vm-00001"),
            ZoneId("z-0"),
            "10.0.0.1",
            1,
            "0",
            Offset(offset),
        )
        record = Record(session, 1, joined)
        size = len(encode_record(record))
        start = time.process_time_ns()
        offset += 1
        fold.apply(Offset(offset), record)
        best = min(best, (time.process_time_ns() - start) / 1_000)
    return CostSample(cpu_us=best, wire_bytes=size)
