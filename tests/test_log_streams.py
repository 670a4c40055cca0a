"""Tests of reading and writing log streams."""

from __future__ import annotations

from fake_cell_parts import RecordingLedger, RecordingPortions
from fake_log import FakeLog
from fake_network import FakeNetwork
from simulation import Simulation

from lycheestall.cell_fold import CellFold
from lycheestall.cell_view import WriteResult
from lycheestall.checkpoints import CheckpointAssembler, split_checkpoint
from lycheestall.codec import decode_record, encode_record
from lycheestall.ids import Offset, SessionId, StreamName, VmId, ZoneId
from lycheestall.log_reader import LogReader
from lycheestall.log_streams import LogStreams
from lycheestall.log_writer import LogWriter
from lycheestall.records import (
    NO_OFFSET,
    Record,
    SessionJoined,
    SessionRenewed,
)

STREAM = StreamName("cell")
SESSION = SessionId("a-1")


class Follower:
    """One VM's log streams, without a cell agent."""

    def __init__(
        self, simulation: Simulation, log: FakeLog, net: FakeNetwork, vm: str
    ):
        simulation.start_node(vm)
        self.mesh = net.mesh(VmId(vm), ZoneId("z"))
        self.streams = LogStreams(
            log.client(vm), simulation.clock_by_node[vm], self.mesh
        )
        self.fold = CellFold(RecordingLedger(), RecordingPortions())
        self.offsets: list[int] = []
        self.reader: LogReader = self.streams.follow(
            STREAM,
            self.fold,
            on_folded=lambda offset, record, verdict: self.offsets.append(
                offset
            ),
            on_loaded=lambda: None,
        )
        self.mesh.on_message(self.streams.on_message)
        self.streams.start()

    def open_writer(self) -> LogWriter:
        """Opens a writer and submits its session's join record."""
        writer = self.streams.open_writer(STREAM, SESSION)
        writer.submit(
            SessionJoined(VmId("a"), ZoneId("z"), "127.0.0.1", 1, "0")
        )
        return writer


def make_followers(
    *vms: str,
) -> tuple[Simulation, FakeLog, FakeNetwork, list[Follower]]:
    simulation = Simulation(1)
    log, net = FakeLog(simulation), FakeNetwork(simulation)
    followers = [Follower(simulation, log, net, vm) for vm in vms]
    for follower in followers:
        follower.mesh.set_peers({VmId(vm): ("", 1) for vm in vms})
    simulation.run_for(1.0)
    return simulation, log, net, followers


def test_lost_responses_and_late_duplicates_keep_the_record_order() -> None:
    simulation, log, _, (follower,) = make_followers("a")
    log.lose_responses(0.0, 20.0)
    log.duplicate_late(0.0, 20.0, 2.5)
    writer = follower.open_writer()
    results: list[WriteResult] = []
    for number in range(40):
        body = SessionRenewed(Offset(number))
        writer.submit(body).addCallback(results.append)
        simulation.run_for(0.3)
    simulation.run_for(10.0)
    assert [result.verdict.accepted for result in results] == [True] * 40
    offsets = [result.offset for result in results]
    assert offsets == sorted(offsets)
    session = follower.fold.sessions.by_id[SESSION]
    assert session.acknowledged == 39


def test_record_is_not_done_before_it_is_read_back() -> None:
    simulation, log, _, (follower,) = make_followers("a")
    writer = follower.open_writer()
    simulation.run_for(1.0)
    log.outage(simulation.now, simulation.now + 5.0)
    results: list[WriteResult] = []
    writer.submit(SessionRenewed()).addCallback(results.append)
    simulation.run_for(4.0)
    assert results == []
    assert writer.oldest_age_s() > 3.9
    simulation.run_for(6.0)
    assert len(results) == 1


def test_closed_or_full_writer_rejects_immediately() -> None:
    simulation, log, _, (follower,) = make_followers("a")
    log.outage(simulation.now)
    writer = LogWriter(
        STREAM,
        SESSION,
        log.client("a"),
        simulation.clock_by_node["a"],
        append_via_peer=lambda stream, payloads: False,
        max_pending=2,
    )
    results: list[WriteResult] = []
    for _ in range(3):
        writer.submit(SessionRenewed()).addCallback(results.append)
    assert [result.offset for result in results] == [NO_OFFSET]
    writer.close("ended")
    assert [result.verdict.reason for result in results[1:]] == ["ended"] * 2


def test_peer_reads_and_appends_when_the_log_is_unreachable() -> None:
    simulation, log, _, (isolated, other) = make_followers("a", "b")
    log.outage(simulation.now, nodes=["a"])
    writer = isolated.open_writer()
    simulation.run_for(5.0)
    results: list[WriteResult] = []
    writer.submit(SessionRenewed()).addCallback(results.append)
    simulation.run_for(3.0)
    assert [result.verdict.accepted for result in results] == [True]
    assert isolated.offsets == other.offsets


def test_reader_stops_at_a_record_of_a_newer_format() -> None:
    simulation, log, _, (follower,) = make_followers("a")
    newer = Record(SESSION, 1, SessionRenewed(), 99)
    log.write(STREAM, [b"no record", encode_record(newer), b"later"])
    simulation.run_for(2.0)
    assert follower.reader.unreadable_format == 99
    assert follower.reader.folded == 0
    assert follower.reader.newest == 2


def test_checkpoint_is_reassembled_among_incomplete_ones() -> None:
    data = bytes(range(256)) * 3000
    parts = split_checkpoint(Offset(7), data)
    assert len(parts) == 3
    assembler = CheckpointAssembler()
    assembled = []
    for writer, part in [
        ("x", parts[0]),
        ("y", parts[0]),
        ("x", parts[2]),
        ("y", parts[1]),
        ("y", parts[2]),
    ]:
        record = Record(SessionId(writer), 1, part)
        decoded = decode_record(encode_record(record))
        assert isinstance(decoded, Record)
        assembled.append(assembler.add(Offset(9), decoded))
    assert assembled[:4] == [None] * 4
    assert assembled[4] is not None
    assert assembled[4].data == data
