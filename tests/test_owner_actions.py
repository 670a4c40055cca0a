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
def harness() -> OwnerHarness:
    return OwnerHarness()


def test_resent_action_runs_once(harness: OwnerHarness) -> None:
    first, second = harness.order(), harness.order()
    harness.answer_order()
    third = harness.order()
    harness.take_over("s2")
    fourth = harness.order()
    for sink in (first, second, third, fourth):
        assert isinstance(sink.outcome, Completed)
        assert sink.body == b'{"order":1}'
        assert sink.head is not None and sink.head.status == 201
    assert len(harness.first.requests) == 1 and not harness.second.requests
    assert reason(harness.order(body=b"[]").outcome) is Reason.KEY_REUSED


def test_unresolved_intent_is_not_sent_again(harness: OwnerHarness) -> None:
    harness.order()
    harness.take_over("s2")
    sink = harness.order()
    assert reason(sink.outcome) is Reason.MAY_HAVE_RUN
    assert isinstance(sink.outcome, Failed)
    harness.first.record = LookupResult(
        LookupState.RAN, ActionDone(201, "text/plain", b"ran")
    )
    resolved = harness.order()
    assert isinstance(resolved.outcome, Completed) and resolved.body == b"ran"
    assert len(harness.first.requests) == 1 and not harness.second.requests


def test_key_closed_by_the_target_is_refused(harness: OwnerHarness) -> None:
    sink = harness.order()
    harness.first.record = LookupResult(LookupState.NOT_RUN)
    harness.first.answers[0].callback(ActionUnknown("reset"))
    assert isinstance(sink.outcome, Refused)
    assert sink.outcome.needs == "a new idempotency key"
    again = harness.order()
    assert isinstance(again.outcome, Refused)
    assert len(harness.first.requests) == 1


def test_late_intent_is_voided_and_not_sent(harness: OwnerHarness) -> None:
    harness.order("k0")
    harness.answer_order()
    harness.cell.automatic = False
    sink = harness.order()
    harness.clock.advance(2.0)
    assert reason(sink.outcome) is Reason.LOG_UNAVAILABLE
    assert reason(harness.order().outcome) is Reason.LOG_UNAVAILABLE
    harness.cell.automatic = True
    harness.cell.read_back()
    assert isinstance(harness.cell.written[-1], IntentVoided)
    assert len(harness.first.requests) == 1 and not harness.second.requests
    again = harness.order()
    harness.answer_order()
    assert isinstance(again.outcome, Completed)
    assert len(harness.first.requests) == 2 and not harness.second.requests


def test_action_is_not_sent_after_losing_authority(
    harness: OwnerHarness,
) -> None:
    harness.cell.automatic = False
    sink = harness.order()
    harness.cell.read_back()
    harness.cell.refused = NO_AUTHORITY
    harness.cell.read_back()
    assert sink.outcome == NO_AUTHORITY
    assert not harness.first.requests
    assert isinstance(harness.cell.written[-1], IntentVoided)


def test_action_is_not_sent_if_authority_ends_while_connecting(
    harness: OwnerHarness,
) -> None:
    harness.first.connecting = opened = Deferred()
    sink = harness.order()
    harness.cell.refused = NO_AUTHORITY
    opened.callback(None)
    assert isinstance(sink.outcome, Refused)
    assert not harness.first.requests and not harness.second.requests
    assert isinstance(harness.cell.written[-1], IntentVoided)


def test_unreachable_target_is_replaced(harness: OwnerHarness) -> None:
    harness.rules.attempts = 2
    sink = harness.order()
    harness.first.answers[0].callback(ActionNotSent("refused"))
    harness.answer_order(runner=1)
    assert isinstance(sink.outcome, Completed)
    intents = [
        record.target
        for record in harness.cell.written
        if isinstance(record, IntentRecorded)
    ]
    assert intents == ["runner-1", "runner-2"]


def test_unreachable_action_may_reuse_its_number(
    harness: OwnerHarness,
) -> None:
    sink = harness.order(number=CallNumber(1))
    harness.first.answers[0].callback(ActionNotSent("refused"))
    assert reason(sink.outcome) is Reason.UNREACHABLE
    again = harness.order(number=CallNumber(1))
    harness.answer_order(runner=1)
    assert isinstance(again.outcome, Completed)


def test_idempotent_action_is_retried_without_the_log(
    harness: OwnerHarness,
) -> None:
    harness.rules.attempts = 2
    harness.cell.silent = True
    sink = harness.order("", operation="GET /runs?x=1")
    harness.first.answers[0].callback(ActionUnknown("reset"))
    harness.answer_order(200, runner=1)
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
    harness: OwnerHarness, overrides: dict[str, object], expected: Reason
) -> None:
    sink = harness.order(**overrides)  # type: ignore[arg-type]
    assert reason(sink.outcome) is expected
    assert not harness.first.requests
