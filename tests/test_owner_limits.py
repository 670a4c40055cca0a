"""Tests of the owner at the limits of programs and accounts."""

from __future__ import annotations

import orjson
import pytest
from _owner_world import (
    ACCOUNT,
    MOVED,
    NOW_MS,
    ROOT,
    Owners,
    limits,
    reason,
)
from _program_fakes import (
    LINE,
)

from lycheestall.calls import CallKind
from lycheestall.ids import (
    CallNumber,
    ProgramId,
)
from lycheestall.outcomes import (
    Completed,
    Failed,
    Reason,
    Refused,
)
from lycheestall.program_ids import ledger_id
from lycheestall.rules.rule_book import AccountLimit, LimitKind


@pytest.fixture
def world() -> Owners:
    return Owners()


def test_a_program_older_than_the_state_is_unproven(world: Owners) -> None:
    world.cell.ledger.forgotten_before_ms = NOW_MS
    assert reason(world.order().outcome) is Reason.KEY_UNPROVEN
    assert not world.first.requests


def test_turn_and_time_limits_end_the_program(world: Owners) -> None:
    world.rules.limits = limits(turns=1, time_s=60.0)
    world.chat("a")
    world.job.run()
    sink = world.chat("a", "hello", "b")
    assert reason(sink.outcome) is Reason.TURN_LIMIT
    assert world.dispatcher.ended == [ROOT]
    after = world.chat("a", "hello", "b")
    assert reason(after.outcome) is Reason.PROGRAM_ENDED
    slow = ProgramId("slow")
    running = world.chat("a", program=slow)
    world.job.accept()
    world.clock.pump([2.0] * 31)
    assert reason(running.outcome) is Reason.TIME_LIMIT
    assert isinstance(running.outcome, Failed)
    ended = world.dispatcher.ended[-1]
    assert world.job.cancelled and ended == ledger_id(ACCOUNT, slow)


def test_a_vanished_program_holds_nothing(world: Owners) -> None:
    world.chat("a")
    world.job.run()
    assert world.dispatcher.paused == [ROOT]
    world.clock.pump([2.0] * 901)
    assert world.dispatcher.ended == [ROOT]
    assert world.owner.programs() == 1
    world.clock.pump([2.0] * 160)
    assert world.owner.programs() == 0
    sink = world.chat("a", "hello", "b")
    assert reason(sink.outcome) is Reason.PROGRAM_ENDED


def test_old_programs_are_forgotten_and_ended(world: Owners) -> None:
    world.chat("a")
    world.job.run()
    for hour in range(1, 26):
        world.clock.advance(3600.0)
        world.chat("a", program=ProgramId(f"later-{hour}"))
        world.job.run()
    for _ in range(60):
        world.chat("a", program=ProgramId(f"now-{_}"))
        world.job.run()
    world.clock.pump([2.0] * 200)
    assert world.cell.ledger.forgotten_before_ms > NOW_MS
    sink = world.order()
    assert reason(sink.outcome) is Reason.KEY_UNPROVEN
    assert not world.first.requests


def test_cancel_ends_calls_at_once(world: Owners) -> None:
    running = world.chat("a", number=CallNumber(1))
    world.job.accept()
    queued = world.chat("b", number=CallNumber(2))
    held = world.chat("d", number=CallNumber(4))
    world.call(kind=CallKind.CANCEL)
    assert isinstance(running.outcome, Failed)
    assert isinstance(queued.outcome, Refused)
    assert isinstance(held.outcome, Refused)
    assert world.owner.in_flight() == 0
    assert all(job.cancelled for job in world.dispatcher.jobs)
    assert world.dispatcher.ended == [ROOT]


def test_open_says_whether_the_log_knows(world: Owners) -> None:
    sink = world.call(kind=CallKind.OPEN)
    assert sink.head is not None and sink.head.status == 201
    assert orjson.loads(sink.body)["recorded"] is True
    unknown = world.call(kind=CallKind.SHOW, program=ProgramId("nobody"))
    assert reason(unknown.outcome) is Reason.PROGRAM_UNKNOWN


def test_concurrency_of_an_account_is_shared(world: Owners) -> None:
    limit = AccountLimit("c", LimitKind.CONCURRENCY, 1, 0.0, LINE)
    world.rules.shared = (limit,)
    world.chat("a")
    second = world.chat("b", program=ProgramId("other"))
    assert reason(second.outcome) is Reason.ACCOUNT_LIMIT
    world.job.run()
    third = world.chat("b", program=ProgramId("other"))
    world.job.run()
    assert isinstance(third.outcome, Completed)


def test_nothing_is_taken_without_authority(world: Owners) -> None:
    world.cell.refused = MOVED
    for sink in (world.chat("a"), world.order()):
        assert sink.outcome == MOVED
    assert not world.dispatcher.jobs and not world.cell.written


def test_a_bad_body_is_refused_with_its_place(world: Owners) -> None:
    sink = world.call(kind=CallKind.CHAT, body=b'{"messages":[{}]}')
    assert isinstance(sink.outcome, Refused)
    assert "messages[0]" in sink.outcome.detail
