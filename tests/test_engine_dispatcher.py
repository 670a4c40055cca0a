"""The engine dispatcher over fake engines on a virtual clock."""

from __future__ import annotations

from random import Random

import pytest
from _engine_fakes import (
    CrashLog,
    FakeEngine,
    FakeRules,
    FakeStream,
    RecordingListener,
    listing_of,
    make_job,
)
from twisted.internet.task import Clock

from lycheestall._engine_dispatch import STALL_TIMEOUT_S
from lycheestall.engine_directory import EngineDirectory
from lycheestall.engine_dispatcher import EngineDispatcher
from lycheestall.ids import ProgramId, TargetId, VmId
from lycheestall.outcomes import Failed, Reason, Refused, Step
from lycheestall.targets import EngineDone, EngineRefused, HeldMemory


class World:
    """A dispatcher with three fake engines."""

    def __init__(self, names: tuple[str, ...] = ("e1", "e2", "e3")) -> None:
        self.clock = Clock()
        self.rules = FakeRules()
        self.crashes = CrashLog()
        self.engine_by_name = {name: FakeEngine(name) for name in names}
        self.directory = EngineDirectory(
            factory=lambda vm: self.engine_by_name[vm.vm]
        )
        self.directory.update(listing_of(list(names)))
        self.dispatcher = EngineDispatcher(
            engines=self.directory,
            rules=lambda: self.rules,
            clock=self.clock,
            wall_ms=lambda: 0,
            random=Random(1),
            vm=VmId("vm1"),
            crash_reporter=self.crashes.report,
            quarantined=self.crashes.quarantined,
            cell_size=lambda: 1,
        )

    def submit(self, **kwargs) -> RecordingListener:
        """Submits a job and lets one turn pass."""
        listener = RecordingListener()
        self.dispatcher.submit(make_job(**kwargs), listener)
        self.clock.advance(0)
        return listener

    def streams(self) -> list[FakeStream]:
        """Returns every stream that any engine was sent."""
        engines = self.engine_by_name.values()
        return [s for engine in engines for s in engine.streams]

    def leave(self, *names: str) -> None:
        """Marks engines as leaving in the VM list."""
        listing = listing_of(
            list(self.engine_by_name), version=2, leaving=names
        )
        self.directory.update(listing)
        self.dispatcher.engines_changed()


@pytest.fixture
def world() -> World:
    return World()


def test_a_job_streams_whole_and_ends_once(world):
    listener = world.submit()
    (stream,) = world.streams()
    stream.accept()
    stream.send(b"one ")
    stream.send(b"two")
    stream.finish()
    assert listener.data == b"one two"
    assert listener.ending == EngineDone(10, 5, 0)


def test_authority_is_checked_right_before_the_engine(world):
    refusal = Refused(Step.DISPATCH, Reason.NO_AUTHORITY)
    listener = world.submit(may_send=lambda: refusal)
    assert listener.ending is refusal
    assert world.streams() == []


def test_a_broken_stream_resumes_where_it_broke(world):
    listener = world.submit()
    (stream,) = world.streams()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"first ")
    engine.kept[stream.request.request] = stream
    stream.body += b"second"
    stream.break_off(chunks=1)
    world.clock.advance(0)
    ((request, start, resumed),) = engine.resumed
    assert (request, start) == (stream.request.request, 6)
    resumed.finish()
    assert listener.data == b"first second"
    assert isinstance(listener.ending, EngineDone)
    assert world.crashes.targets_by_fingerprint == {}


def test_a_crash_before_any_chunk_is_repeated_elsewhere(world):
    listener = world.submit()
    (stream,) = world.streams()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    stream.accept()
    engine.down = True
    stream.break_off()
    world.clock.pump([0.25, 1.0, 0.0])
    (first, second) = world.streams()
    second.accept()
    second.finish()
    assert isinstance(listener.ending, EngineDone)
    assert listener.targets[0] != listener.targets[1]
    assert list(world.crashes.targets_by_fingerprint.values()) == [
        [engine.target]
    ]


def test_a_crash_after_a_chunk_fails_and_is_not_repeated(world):
    listener = world.submit()
    (stream,) = world.streams()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"half")
    engine.down = True
    stream.break_off(chunks=1)
    world.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.ending, Failed)
    assert listener.ending.reason is Reason.TARGET_FAILED
    assert len(world.streams()) == 1


def test_a_break_that_may_not_be_repeated_fails(world):
    listener = world.submit(may_repeat=lambda: False)
    (stream,) = world.streams()
    stream.accept()
    stream.break_off()
    world.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.ending, Failed)
    assert len(world.streams()) == 1


def test_a_leaving_engine_gets_nothing_new(world):
    world.leave("e1", "e2")
    for number in range(6):
        world.submit(program=f"p{number}")
    assert {s.request.program for s in world.engine_by_name["e3"].streams}
    assert world.engine_by_name["e1"].streams == []
    assert world.engine_by_name["e2"].streams == []


def test_a_cancelled_job_stops_at_the_engine(world):
    listener = RecordingListener()
    handle = world.dispatcher.submit(make_job(), listener)
    world.clock.advance(0)
    (stream,) = world.streams()
    handle.cancel()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    assert engine.cancelled == [stream.request.request]
    assert listener.events == []


def test_a_hanging_engine_ends_the_job_at_its_deadline(world):
    listener = world.submit(deadline_s=20.0)
    (stream,) = world.streams()
    stream.accept()
    world.clock.pump([1.0] * 21)
    assert isinstance(listener.ending, Failed)
    assert listener.ending.reason is Reason.DEADLINE


def test_an_engine_that_refuses_is_passed_over(world):
    listener = world.submit()
    (stream,) = world.streams()
    stream.finish(EngineRefused(503, "full", 1.0))
    world.clock.advance(2.0)
    other = [s for s in world.streams() if s is not stream]
    assert len(other) == 1
    other[0].accept()
    other[0].finish()
    assert isinstance(listener.ending, EngineDone)


def test_an_adopted_stream_is_resumed_from_its_start(world):
    engine = world.engine_by_name["e2"]
    listener = world.submit()
    (stream,) = world.streams()
    stream.body = b"0123456789"
    engine.kept[stream.request.request] = stream
    adopted = RecordingListener()
    world.dispatcher.resume(
        make_job(), TargetId("e2"), stream.request.request, 4, adopted
    )
    world.clock.advance(0)
    engine.resumed[0][2].finish()
    assert adopted.data == b"456789"
    assert isinstance(adopted.ending, EngineDone)
    assert listener.events == []


def test_an_ended_programs_memory_is_released_until_confirmed(world):
    world.submit()
    (stream,) = world.streams()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    stream.accept()
    stream.finish()
    engine.down = True
    world.dispatcher.program_ended(ProgramId("p1"))
    assert engine.released == []
    engine.down = False
    world.clock.pump([1.0, 1.0, 1.0])
    assert engine.released == ["p1"]
    world.clock.pump([5.0, 5.0])
    assert engine.released == ["p1"]


def test_memory_of_a_vanished_vms_programs_is_found_and_released(world):
    engine = world.engine_by_name["e2"]
    engine.memory = (
        HeldMemory(ProgramId("gone/a"), "export", "x", 10),
        HeldMemory(ProgramId("p1"), "pin", "y", 10),
    )
    for _ in range(2):
        world.dispatcher.reconcile_memory(
            TargetId("e2"), engine.memory, is_live=lambda root: root == "p1"
        )
    assert engine.released == ["gone"]


def test_a_request_that_crashes_two_engines_is_quarantined(world):
    """The third engine never sees it and another program goes on."""
    listener = world.submit(program="poison", fingerprint=b"poison")
    for _ in range(2):
        (stream,) = [s for s in world.streams() if not s.result.called]
        engine = next(
            e for e in world.engine_by_name.values() if stream in e.streams
        )
        stream.accept()
        engine.down = True
        stream.break_off()
        world.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.ending, Failed)
    assert listener.ending.reason is Reason.QUARANTINED
    again = world.submit(program="poison2", fingerprint=b"poison")
    assert isinstance(again.ending, Refused)
    assert again.ending.reason is Reason.QUARANTINED
    assert len(world.streams()) == 2
    other = world.submit(program="p2")
    (stream,) = [s for s in world.streams() if not s.result.called]
    stream.accept()
    stream.finish()
    assert isinstance(other.ending, EngineDone)


def test_without_quarantine_the_poison_reaches_every_engine(world):
    """Proves the check above: the rule is broken here on purpose."""
    world.dispatcher._scheduler._state.quarantine.is_quarantined = lambda f: (
        False
    )
    world.submit(program="poison", fingerprint=b"poison")
    for _ in range(3):
        open_streams = [s for s in world.streams() if not s.result.called]
        if not open_streams:
            break
        (stream,) = open_streams
        engine = next(
            e for e in world.engine_by_name.values() if stream in e.streams
        )
        stream.accept()
        engine.down = True
        stream.break_off()
        world.clock.pump([0.25, 1.0, 0.0])
    assert len(world.streams()) == 3


def test_without_live_engines_a_job_is_refused_at_once(world):
    world.leave("e1", "e2", "e3")
    listener = world.submit()
    assert isinstance(listener.ending, Refused)
    assert listener.ending.reason is Reason.NO_TARGET
    assert listener.ending.retry_after_s > 0


def test_a_queue_that_cannot_be_met_refuses_at_once(world):
    for number in range(60):
        world.submit(program=f"p{number}")
    late = world.submit(program="late", deadline_s=10.0)
    assert isinstance(late.ending, Refused)
    assert late.ending.reason is Reason.OVERLOADED
    assert late.ending.retry_after_s > 0


def test_a_stalled_stream_is_resumed(world):
    listener = world.submit()
    (stream,) = world.streams()
    engine = next(e for e in world.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"half ")
    engine.kept[stream.request.request] = stream
    world.clock.pump([1.0] * (int(STALL_TIMEOUT_S) + 2))
    assert len(engine.resumed) == 1
    engine.resumed[0][2].send(b"rest")
    engine.resumed[0][2].finish()
    assert listener.data == b"half rest"
    assert isinstance(listener.ending, EngineDone)


def test_left_alone_by_rule_names_the_line(world):
    world.rules.alone = {"e1", "e2", "e3"}
    listener = world.submit()
    assert isinstance(listener.ending, Refused)
    assert listener.ending.reason is Reason.TARGET_ALONE
    assert listener.ending.rule == "rules:0"
