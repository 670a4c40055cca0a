"""Tests of the program owner at limits of programs and accounts."""

from __future__ import annotations

import orjson
import pytest
from _owner_harness import (
    ACCOUNT,
    NO_AUTHORITY,
    NOW_MS,
    ROOT,
    OwnerHarness,
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
from lycheestall.rules.rule_set import AccountLimit, LimitKind


@pytest.fixture
def harness() -> OwnerHarness:
    return OwnerHarness()


def test_action_of_program_older_than_the_ledger_is_refused(
    harness: OwnerHarness,
) -> None:
    harness.cell.ledger.forgotten_before_ms = NOW_MS
    assert reason(harness.order().outcome) is Reason.KEY_UNPROVEN
    assert not harness.first.requests


def test_turn_and_time_limits_end_the_program(harness: OwnerHarness) -> None:
    harness.rules.limits = limits(turns=1, time_s=60.0)
    harness.chat("a")
    harness.job.run()
    sink = harness.chat("a", "hello", "b")
    assert reason(sink.outcome) is Reason.TURN_LIMIT
    assert harness.dispatcher.ended == [ROOT]
    after = harness.chat("a", "hello", "b")
    assert reason(after.outcome) is Reason.PROGRAM_ENDED
    slow = ProgramId("slow")
    running = harness.chat("a", program=slow)
    harness.job.accept()
    harness.clock.pump([2.0] * 31)
    assert reason(running.outcome) is Reason.TIME_LIMIT
    assert isinstance(running.outcome, Failed)
    ended = harness.dispatcher.ended[-1]
    assert harness.job.cancelled and ended == ledger_id(ACCOUNT, slow)


def test_idle_program_is_ended_and_dropped(harness: OwnerHarness) -> None:
    harness.chat("a")
    harness.job.run()
    assert harness.dispatcher.paused == [ROOT]
    harness.clock.pump([2.0] * 901)
    assert harness.dispatcher.ended == [ROOT]
    assert harness.owner.programs() == 1
    harness.clock.pump([2.0] * 160)
    assert harness.owner.programs() == 0
    sink = harness.chat("a", "hello", "b")
    assert reason(sink.outcome) is Reason.PROGRAM_ENDED


def test_old_programs_are_dropped_from_the_ledger(
    harness: OwnerHarness,
) -> None:
    harness.chat("a")
    harness.job.run()
    for hour in range(1, 26):
        harness.clock.advance(3600.0)
        harness.chat("a", program=ProgramId(f"later-{hour}"))
        harness.job.run()
    for _ in range(60):
        harness.chat("a", program=ProgramId(f"now-{_}"))
        harness.job.run()
    harness.clock.pump([2.0] * 200)
    assert harness.cell.ledger.forgotten_before_ms > NOW_MS
    sink = harness.order()
    assert reason(sink.outcome) is Reason.KEY_UNPROVEN
    assert not harness.first.requests


def test_cancel_ends_all_calls(harness: OwnerHarness) -> None:
    running = harness.chat("a", number=CallNumber(1))
    harness.job.accept()
    queued = harness.chat("b", number=CallNumber(2))
    held = harness.chat("d", number=CallNumber(4))
    harness.call(kind=CallKind.CANCEL)
    assert isinstance(running.outcome, Failed)
    assert isinstance(queued.outcome, Refused)
    assert isinstance(held.outcome, Refused)
    assert harness.owner.in_flight() == 0
    assert all(job.cancelled for job in harness.dispatcher.jobs)
    assert harness.dispatcher.ended == [ROOT]


def test_open_tells_whether_the_program_is_recorded(
    harness: OwnerHarness,
) -> None:
    sink = harness.call(kind=CallKind.OPEN)
    assert sink.head is not None and sink.head.status == 201
    assert orjson.loads(sink.body)["recorded"] is True
    unknown = harness.call(kind=CallKind.SHOW, program=ProgramId("nobody"))
    assert reason(unknown.outcome) is Reason.PROGRAM_UNKNOWN


def test_programs_share_the_concurrency_of_their_account(
    harness: OwnerHarness,
) -> None:
    limit = AccountLimit("c", LimitKind.CONCURRENCY, 1, 0.0, LINE)
    harness.rules.shared = (limit,)
    harness.chat("a")
    second = harness.chat("b", program=ProgramId("other"))
    assert reason(second.outcome) is Reason.ACCOUNT_LIMIT
    harness.job.run()
    third = harness.chat("b", program=ProgramId("other"))
    harness.job.run()
    assert isinstance(third.outcome, Completed)


def test_calls_are_refused_without_authority(harness: OwnerHarness) -> None:
    harness.cell.refused = NO_AUTHORITY
    for sink in (harness.chat("a"), harness.order()):
        assert sink.outcome == NO_AUTHORITY
    assert not harness.dispatcher.jobs and not harness.cell.written


def test_refusal_of_invalid_body_names_the_field(
    harness: OwnerHarness,
) -> None:
    sink = harness.call(kind=CallKind.CHAT, body=b'{"messages":[{}]}')
    assert isinstance(sink.outcome, Refused)
    assert "messages[0]" in sink.outcome.detail
