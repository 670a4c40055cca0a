"""Tests of the program owner when a program moves to another VM."""

from __future__ import annotations

import orjson
import pytest
from _owner_harness import (
    PARTITION,
    OwnerHarness,
    limits,
    reason,
)

from lycheestall.calls import CallKind
from lycheestall.ids import (
    CallNumber,
)
from lycheestall.outcomes import (
    Completed,
    Failed,
    Reason,
    Step,
)


@pytest.fixture
def harness() -> OwnerHarness:
    return OwnerHarness()


def test_handover_keeps_order_history_and_budget(
    harness: OwnerHarness,
) -> None:
    harness.rules.limits = limits(calls=8)
    harness.chat("a", number=CallNumber(1))
    harness.job.run()
    running = harness.chat("a", "hello", "b", number=CallNumber(2))
    harness.job.accept()
    streaming = harness.job
    waiting = harness.chat("a", "hello", "c", number=CallNumber(3))
    harness.hand_over("s2")
    streaming.answer("more")
    assert isinstance(running.outcome, Completed)
    assert reason(waiting.outcome) is Reason.NOT_OWNER
    document = orjson.loads(harness.call(kind=CallKind.SHOW).body)
    assert document["spent"]["calls"] == 2
    again = harness.chat("a", "hello", "b", number=CallNumber(2))
    assert harness.job.job.number == 2 and not again.outcomes
    harness.job.accept()
    following = harness.chat(
        "a", "hello", "b", "more", "c", number=CallNumber(3)
    )
    harness.job.run("end")
    assert isinstance(following.outcome, Completed)
    late = harness.chat("a", "hello", "x", number=CallNumber(2))
    assert reason(late.outcome) is Reason.CALL_SUPERSEDED


def test_call_that_may_have_run_is_never_refused(
    harness: OwnerHarness,
) -> None:
    sent = harness.chat("a", number=CallNumber(1))
    job = harness.job
    assert job.job.may_send() is None
    harness.hand_over("s2")
    assert not sent.outcomes and not job.cancelled
    job.run("hello")
    assert isinstance(sent.outcome, Completed)
    following = harness.chat("a", "hello", "b", number=CallNumber(2))
    harness.job.job.may_send()
    harness.call(kind=CallKind.CANCEL)
    assert isinstance(following.outcome, Failed)
    assert following.outcome.reason is Reason.CANCELLED


def test_handover_passes_on_that_a_partition_is_unproven(
    harness: OwnerHarness,
) -> None:
    harness.cell.silent = True
    harness.chat("a", number=CallNumber(1))
    harness.job.run()
    harness.cell.waiting.clear()
    harness.cell.silent = False
    harness.take_over("s2")
    harness.hand_over("s3")
    without_receipt = harness.chat("a", "hello", "b", number=CallNumber(2))
    assert reason(without_receipt.outcome) is Reason.RECEIPT_REQUIRED


def test_handover_includes_the_newest_answer(harness: OwnerHarness) -> None:
    first = harness.chat("a", number=CallNumber(1))
    harness.job.run()
    harness.hand_over("s2")
    again = harness.chat("a", number=CallNumber(1))
    assert again.body == first.body and again.head == first.head
    assert len(harness.dispatcher.jobs) == 1


def test_failed_call_may_run_again_after_handover(
    harness: OwnerHarness,
) -> None:
    harness.chat("a", number=CallNumber(1))
    harness.job.listener.failed(Failed(Step.RELAY, Reason.TARGET_FAILED))
    harness.hand_over("s2")
    again = harness.chat("a", number=CallNumber(1))
    harness.job.run()
    assert isinstance(again.outcome, Completed)


def test_running_first_call_may_run_again_after_handover(
    harness: OwnerHarness,
) -> None:
    harness.chat("a", number=CallNumber(1))
    harness.job.accept()
    harness.hand_over("s2")
    again = harness.chat("a", number=CallNumber(1))
    harness.job.run()
    assert isinstance(again.outcome, Completed)


def test_call_repeated_with_its_own_receipt_runs(
    harness: OwnerHarness,
) -> None:
    harness.chat("a", streamed=True, number=CallNumber(1))
    harness.job.run()
    interrupted = harness.chat(
        "a", "hello", "b", streamed=True, number=CallNumber(2)
    )
    harness.job.accept()
    receipt = interrupted.header("lycheestall-receipt")
    harness.take_over("s2")
    again = harness.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    assert harness.job.job.number == 2
    harness.job.run("more")
    assert isinstance(again.outcome, Completed)
    following = harness.chat(
        "a", "hello", "b", "more", "c", number=CallNumber(3)
    )
    assert harness.job.job.number == 3 and not following.outcomes


def test_stream_is_resumed_at_its_engine(harness: OwnerHarness) -> None:
    interrupted = harness.chat("a", streamed=True)
    harness.job.accept()
    first = b'data: {"choices":[{"delta":{"content":"he"}}]}\n\n'
    harness.job.listener.chunk(first)
    receipt = interrupted.header("lycheestall-receipt")
    harness.take_over("s2")
    resumed = harness.call(
        kind=CallKind.RESUME,
        number=CallNumber(1),
        receipt=receipt,
        resume_from=len(first),
    )
    assert harness.job.target == "engine-1" and harness.job.start == 0
    harness.job.listener.chunk(first)
    harness.job.answer("llo")
    assert isinstance(resumed.outcome, Completed)
    assert resumed.body.startswith(b"data: ")
    assert b'"llo"' in resumed.body and b'"he"' not in resumed.body
    following = harness.chat("a", "hello", "b", number=CallNumber(2))
    assert harness.job.job.number == 2 and not following.outcomes
    other = harness.chat("a", "hallo", "b", number=CallNumber(3))
    harness.job.accept()
    assert reason(other.outcome) is Reason.HISTORY_MISMATCH


def test_handover_waits_for_the_record_of_an_action(
    harness: OwnerHarness,
) -> None:
    harness.cell.automatic = False
    sink = harness.order()
    harness.cell.read_back()
    states: list[dict[str, bytes]] = []
    harness.owner.quiesce(PARTITION).addCallback(states.append)
    harness.clock.advance(0.5)
    assert not states
    harness.cell.read_back()
    harness.clock.advance(0.1)
    assert states
    harness.answer_order()
    assert isinstance(sink.outcome, Completed)
