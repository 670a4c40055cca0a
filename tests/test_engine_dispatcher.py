"""Tests of the engine dispatcher with fake engines and a fake clock."""

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


class Harness:
    """A dispatcher with fake engines."""

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
        """Submits a job and runs the clock's due calls."""
        listener = RecordingListener()
        self.dispatcher.submit(make_job(**kwargs), listener)
        self.clock.advance(0)
        return listener

    def streams(self) -> list[FakeStream]:
        """Returns the streams of all engines."""
        engines = self.engine_by_name.values()
        return [s for engine in engines for s in engine.streams]

    def mark_leaving(self, *names: str) -> None:
        """Marks engines as leaving in the VM list."""
        listing = listing_of(
            list(self.engine_by_name), version=2, leaving=names
        )
        self.directory.update(listing)
        self.dispatcher.engines_changed()


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_a_job_streams_completely_and_ends_once(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    stream.accept()
    stream.send(b"one ")
    stream.send(b"two")
    stream.finish()
    assert listener.data == b"one two"
    assert listener.outcome == EngineDone(10, 5, 0)


def test_authority_is_checked_right_before_the_engine(harness):
    refusal = Refused(Step.DISPATCH, Reason.NO_AUTHORITY)
    listener = harness.submit(may_send=lambda: refusal)
    assert listener.outcome is refusal
    assert harness.streams() == []


def test_a_broken_stream_resumes_where_it_broke(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"first ")
    engine.resumable[stream.request.request] = stream
    stream.body += b"second"
    stream.break_connection(chunks=1)
    harness.clock.advance(0)
    ((request, start, resumed),) = engine.resumed
    assert (request, start) == (stream.request.request, 6)
    resumed.finish()
    assert listener.data == b"first second"
    assert isinstance(listener.outcome, EngineDone)
    assert harness.crashes.targets_by_fingerprint == {}


def test_a_job_is_retried_on_another_engine_after_an_early_crash(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    stream.accept()
    engine.down = True
    stream.break_connection()
    harness.clock.pump([0.25, 1.0, 0.0])
    (first, second) = harness.streams()
    second.accept()
    second.finish()
    assert isinstance(listener.outcome, EngineDone)
    assert listener.targets[0] != listener.targets[1]
    assert list(harness.crashes.targets_by_fingerprint.values()) == [
        [engine.target]
    ]


def test_a_job_is_not_retried_after_a_crash_past_the_first_chunk(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"half")
    engine.down = True
    stream.break_connection(chunks=1)
    harness.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.outcome, Failed)
    assert listener.outcome.reason is Reason.TARGET_FAILED
    assert len(harness.streams()) == 1


def test_a_job_that_must_not_be_retried_fails_on_a_broken_stream(harness):
    listener = harness.submit(may_repeat=lambda: False)
    (stream,) = harness.streams()
    stream.accept()
    stream.break_connection()
    harness.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.outcome, Failed)
    assert len(harness.streams()) == 1


def test_a_leaving_engine_gets_no_new_jobs(harness):
    harness.mark_leaving("e1", "e2")
    for number in range(6):
        harness.submit(program=f"p{number}")
    assert {s.request.program for s in harness.engine_by_name["e3"].streams}
    assert harness.engine_by_name["e1"].streams == []
    assert harness.engine_by_name["e2"].streams == []


def test_a_cancelled_job_stops_at_the_engine(harness):
    listener = RecordingListener()
    handle = harness.dispatcher.submit(make_job(), listener)
    harness.clock.advance(0)
    (stream,) = harness.streams()
    handle.cancel()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    assert engine.cancelled == [stream.request.request]
    assert listener.events == []


def test_a_job_on_a_hung_engine_fails_at_its_deadline(harness):
    listener = harness.submit(deadline_s=20.0)
    (stream,) = harness.streams()
    stream.accept()
    harness.clock.pump([1.0] * 21)
    assert isinstance(listener.outcome, Failed)
    assert listener.outcome.reason is Reason.DEADLINE


def test_a_refused_job_is_retried_on_another_engine(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    stream.finish(EngineRefused(503, "full", 1.0))
    harness.clock.advance(2.0)
    other = [s for s in harness.streams() if s is not stream]
    assert len(other) == 1
    other[0].accept()
    other[0].finish()
    assert isinstance(listener.outcome, EngineDone)


def test_an_adopted_stream_is_resumed_from_its_start(harness):
    engine = harness.engine_by_name["e2"]
    listener = harness.submit()
    (stream,) = harness.streams()
    stream.body = b"0123456789"
    engine.resumable[stream.request.request] = stream
    adopted = RecordingListener()
    harness.dispatcher.resume(
        make_job(), TargetId("e2"), stream.request.request, 4, adopted
    )
    harness.clock.advance(0)
    engine.resumed[0][2].finish()
    assert adopted.data == b"456789"
    assert isinstance(adopted.outcome, EngineDone)
    assert listener.events == []


def test_an_ended_programs_memory_is_released_until_confirmed(harness):
    harness.submit()
    (stream,) = harness.streams()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    stream.accept()
    stream.finish()
    engine.down = True
    harness.dispatcher.program_ended(ProgramId("p1"))
    assert engine.released == []
    engine.down = False
    harness.clock.pump([1.0, 1.0, 1.0])
    assert engine.released == ["p1"]
    harness.clock.pump([5.0, 5.0])
    assert engine.released == ["p1"]


def test_memory_of_programs_of_a_lost_vm_is_released(harness):
    engine = harness.engine_by_name["e2"]
    engine.memory = (
        HeldMemory(ProgramId("gone/a"), "export", "x", 10),
        HeldMemory(ProgramId("p1"), "pin", "y", 10),
    )
    for _ in range(2):
        harness.dispatcher.reconcile_memory(
            TargetId("e2"), engine.memory, is_live=lambda root: root == "p1"
        )
    assert engine.released == ["gone"]


def test_a_request_that_crashes_two_engines_is_quarantined(harness):
    """It never reaches the third engine; other programs still run."""
    listener = harness.submit(program="poison", fingerprint=b"poison")
    for _ in range(2):
        (stream,) = [s for s in harness.streams() if not s.result.called]
        engine = next(
            e for e in harness.engine_by_name.values() if stream in e.streams
        )
        stream.accept()
        engine.down = True
        stream.break_connection()
        harness.clock.pump([0.25, 1.0, 0.0])
    assert isinstance(listener.outcome, Failed)
    assert listener.outcome.reason is Reason.QUARANTINED
    again = harness.submit(program="poison2", fingerprint=b"poison")
    assert isinstance(again.outcome, Refused)
    assert again.outcome.reason is Reason.QUARANTINED
    assert len(harness.streams()) == 2
    other = harness.submit(program="p2")
    (stream,) = [s for s in harness.streams() if not s.result.called]
    stream.accept()
    stream.finish()
    assert isinstance(other.outcome, EngineDone)


def test_without_quarantine_a_crashing_request_reaches_every_engine(harness):
    """Shows that the test above fails when quarantine is disabled."""
    harness.dispatcher._scheduler._state.quarantine.blocks = lambda f: False
    harness.submit(program="poison", fingerprint=b"poison")
    for _ in range(3):
        open_streams = [s for s in harness.streams() if not s.result.called]
        if not open_streams:
            break
        (stream,) = open_streams
        engine = next(
            e for e in harness.engine_by_name.values() if stream in e.streams
        )
        stream.accept()
        engine.down = True
        stream.break_connection()
        harness.clock.pump([0.25, 1.0, 0.0])
    assert len(harness.streams()) == 3


def test_without_live_engines_a_job_is_refused_at_once(harness):
    harness.mark_leaving("e1", "e2", "e3")
    listener = harness.submit()
    assert isinstance(listener.outcome, Refused)
    assert listener.outcome.reason is Reason.NO_TARGET
    assert listener.outcome.retry_after_s > 0


def test_a_job_that_would_miss_its_deadline_is_refused_at_once(harness):
    for number in range(60):
        harness.submit(program=f"p{number}")
    late = harness.submit(program="late", deadline_s=10.0)
    assert isinstance(late.outcome, Refused)
    assert late.outcome.reason is Reason.OVERLOADED
    assert late.outcome.retry_after_s > 0


def test_a_stalled_stream_is_resumed(harness):
    listener = harness.submit()
    (stream,) = harness.streams()
    engine = next(e for e in harness.engine_by_name.values() if e.streams)
    stream.accept()
    stream.send(b"half ")
    engine.resumable[stream.request.request] = stream
    harness.clock.pump([1.0] * (int(STALL_TIMEOUT_S) + 2))
    assert len(engine.resumed) == 1
    engine.resumed[0][2].send(b"rest")
    engine.resumed[0][2].finish()
    assert listener.data == b"half rest"
    assert isinstance(listener.outcome, EngineDone)


def test_a_refusal_by_an_exclusion_rule_names_its_line(harness):
    harness.rules.excluded = {"e1", "e2", "e3"}
    listener = harness.submit()
    assert isinstance(listener.outcome, Refused)
    assert listener.outcome.reason is Reason.TARGET_ALONE
    assert listener.outcome.rule == "rules:0"
