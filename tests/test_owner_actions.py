"""Tests of the program owner with actions that must not run twice."""

from __future__ import annotations

import pytest
from _owner_harness import (
    NO_AUTHORITY,
    PROGRAM,
    OwnerHarness,
    reason,
)
from twisted.internet.defer import Deferred

from lycheestall.ids import (
    AccountId,
    CallNumber,
    ProgramId,
)
from lycheestall.outcomes import (
    Completed,
    Failed,
    Reason,
    Refused,
)
from lycheestall.records import IntentRecorded, IntentVoided
from lycheestall.targets import (
    ActionDone,
    ActionNotSent,
    ActionUnknown,
    LookupResult,
    LookupState,
)


@pytest.fixture
def world() -> OwnerHarness:
    return OwnerHarness()


def test_resent_action_runs_once(world: OwnerHarness) -> None:
    first, second = world.order(), world.order()
    world.answer_order()
    third = world.order()
    world.take_over("s2")
    fourth = world.order()
    for sink in (first, second, third, fourth):
        assert isinstance(sink.outcome, Completed)
        assert sink.body == b'{"order":1}'
        assert sink.head is not None and sink.head.status == 201
    assert len(world.first.requests) == 1 and not world.second.requests
    assert reason(world.order(body=b"[]").outcome) is Reason.KEY_REUSED


def test_unresolved_intent_is_not_sent_again(world: OwnerHarness) -> None:
    world.order()
    world.take_over("s2")
    sink = world.order()
    assert reason(sink.outcome) is Reason.MAY_HAVE_RUN
    assert isinstance(sink.outcome, Failed)
    world.first.record = LookupResult(
        LookupState.RAN, ActionDone(201, "text/plain", b"ran")
    )
    resolved = world.order()
    assert isinstance(resolved.outcome, Completed) and resolved.body == b"ran"
    assert len(world.first.requests) == 1 and not world.second.requests


def test_key_closed_by_the_target_is_refused(world: OwnerHarness) -> None:
    sink = world.order()
    world.first.record = LookupResult(LookupState.NOT_RUN)
    world.first.answers[0].callback(ActionUnknown("reset"))
    assert isinstance(sink.outcome, Refused)
    assert sink.outcome.needs == "a new idempotency key"
    again = world.order()
    assert isinstance(again.outcome, Refused)
    assert len(world.first.requests) == 1


def test_late_intent_is_voided_and_not_sent(world: OwnerHarness) -> None:
    world.order("k0")
    world.answer_order()
    world.cell.automatic = False
    sink = world.order()
    world.clock.advance(2.0)
    assert reason(sink.outcome) is Reason.LOG_UNAVAILABLE
    assert reason(world.order().outcome) is Reason.LOG_UNAVAILABLE
    world.cell.automatic = True
    world.cell.read_back()
    assert isinstance(world.cell.written[-1], IntentVoided)
    assert len(world.first.requests) == 1 and not world.second.requests
    again = world.order()
    world.answer_order()
    assert isinstance(again.outcome, Completed)
    assert len(world.first.requests) == 2 and not world.second.requests


def test_action_is_not_sent_after_losing_authority(
    world: OwnerHarness,
) -> None:
    world.cell.automatic = False
    sink = world.order()
    world.cell.read_back()
    world.cell.refused = NO_AUTHORITY
    world.cell.read_back()
    assert sink.outcome == NO_AUTHORITY
    assert not world.first.requests
    assert isinstance(world.cell.written[-1], IntentVoided)


def test_action_is_not_sent_if_authority_ends_while_connecting(
    world: OwnerHarness,
) -> None:
    world.first.connecting = opened = Deferred()
    sink = world.order()
    world.cell.refused = NO_AUTHORITY
    opened.callback(None)
    assert isinstance(sink.outcome, Refused)
    assert not world.first.requests and not world.second.requests
    assert isinstance(world.cell.written[-1], IntentVoided)


def test_unreachable_target_is_replaced(world: OwnerHarness) -> None:
    world.rules.attempts = 2
    sink = world.order()
    world.first.answers[0].callback(ActionNotSent("refused"))
    world.answer_order(runner=1)
    assert isinstance(sink.outcome, Completed)
    intents = [
        record.target
        for record in world.cell.written
        if isinstance(record, IntentRecorded)
    ]
    assert intents == ["runner-1", "runner-2"]


def test_unreachable_action_may_reuse_its_number(
    world: OwnerHarness,
) -> None:
    sink = world.order(number=CallNumber(1))
    world.first.answers[0].callback(ActionNotSent("refused"))
    assert reason(sink.outcome) is Reason.UNREACHABLE
    again = world.order(number=CallNumber(1))
    world.answer_order(runner=1)
    assert isinstance(again.outcome, Completed)


def test_idempotent_action_is_retried_without_the_log(
    world: OwnerHarness,
) -> None:
    world.rules.attempts = 2
    world.cell.silent = True
    sink = world.order("", operation="GET /runs?x=1")
    world.first.answers[0].callback(ActionUnknown("reset"))
    world.answer_order(200, runner=1)
    assert isinstance(sink.outcome, Completed)


@pytest.mark.parametrize(
    ("overrides", "expected"),
    [
        ({"key": ""}, Reason.KEY_MISSING),
        ({"program": ProgramId("chosen")}, Reason.KEY_UNPROVEN),
        ({"program": ProgramId(PROGRAM[:-1] + "x")}, Reason.KEY_UNPROVEN),
        ({"account": AccountId("other")}, Reason.PROGRAM_UNKNOWN),
    ],
)
def test_action_with_unusable_key_or_program_is_refused(
    world: OwnerHarness, overrides: dict[str, object], expected: Reason
) -> None:
    sink = world.order(**overrides)  # type: ignore[arg-type]
    assert reason(sink.outcome) is expected
    assert not world.first.requests
