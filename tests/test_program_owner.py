"""Tests of the program owner: call order, answers, history, budgets."""

from __future__ import annotations

import orjson
import pytest
from _owner_harness import (
    PROGRAM,
    OwnerHarness,
    limits,
    reason,
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
    Step,
)
from lycheestall.settings import TuningSettings


@pytest.fixture
def harness() -> OwnerHarness:
    return OwnerHarness()


def test_chat_answer_is_complete(harness: OwnerHarness) -> None:
    sink = harness.chat("plan")
    harness.job.run("hello")
    assert isinstance(sink.outcome, Completed)
    document = orjson.loads(sink.body)
    assert document["choices"][0]["message"]["content"] == "hello"
    assert sink.header("lycheestall-call") == "1"
    assert sink.header("lycheestall-outcome") == "completed"


def test_streamed_answer_is_relayed_and_resumed(
    harness: OwnerHarness,
) -> None:
    sink = harness.chat("plan", streamed=True)
    harness.job.accept()
    harness.job.listener.chunk(b'data: {"choices":[]}\n\n')
    assert harness.handle is not None
    harness.handle.detach()
    harness.job.answer("hello")
    resumed = harness.call(
        kind=CallKind.RESUME,
        number=CallNumber(1),
        resume_from=len(sink.body),
    )
    assert isinstance(resumed.outcome, Completed)
    assert not sink.outcomes
    assert (sink.body + resumed.body).count(b"data: [DONE]") == 1


def test_slow_reader_gets_the_complete_answer(harness: OwnerHarness) -> None:
    sink = harness.chat("plan")
    sink.slow_reader = True
    harness.job.run("x" * 200_000)
    assert not sink.outcomes
    sink.slow_reader = False
    harness.clock.advance(0.1)
    assert isinstance(sink.outcome, Completed)
    assert len(sink.body) > 200_000


def test_call_waits_until_an_engine_accepted_the_previous_one(
    harness: OwnerHarness,
) -> None:
    harness.chat("b", number=CallNumber(2))
    assert not harness.dispatcher.jobs
    harness.chat("a", number=CallNumber(1))
    assert len(harness.dispatcher.jobs) == 1
    harness.job.accept()
    assert [job.job.number for job in harness.dispatcher.jobs] == [1, 2]


def test_call_after_gap_is_refused(harness: OwnerHarness) -> None:
    sink = harness.chat("b", number=CallNumber(2))
    harness.clock.advance(TuningSettings().gap_hold_s)
    assert reason(sink.outcome) is Reason.CALL_GAP
    assert not harness.dispatcher.jobs


def test_repeated_number_gets_the_same_answer(harness: OwnerHarness) -> None:
    first = harness.chat("a", number=CallNumber(1))
    second = harness.chat("a", number=CallNumber(1))
    harness.job.run("hello")
    third = harness.chat("a", number=CallNumber(1))
    assert first.body == second.body == third.body
    assert len(harness.dispatcher.jobs) == 1
    other = harness.chat("other", number=CallNumber(1))
    assert reason(other.outcome) is Reason.CALL_SUPERSEDED


def test_failed_call_runs_again_unless_a_later_call_was_accepted(
    harness: OwnerHarness,
) -> None:
    broken = Failed(Step.RELAY, Reason.TARGET_FAILED)
    harness.chat("a", number=CallNumber(1))
    harness.job.listener.failed(broken)
    again = harness.chat("a", number=CallNumber(1))
    harness.job.listener.failed(broken)
    harness.chat("a", "b", number=CallNumber(2))
    harness.job.accept()
    late = harness.chat("a", number=CallNumber(1))
    assert reason(again.outcome) is Reason.TARGET_FAILED
    assert reason(late.outcome) is Reason.TARGET_FAILED
    assert [job.job.number for job in harness.dispatcher.jobs] == [1, 1, 2]


def test_messages_must_extend_the_answered_turns(
    harness: OwnerHarness,
) -> None:
    harness.chat("a")
    harness.job.run("hello")
    good = harness.chat("a", "hello", "b")
    harness.job.run("more")
    assert isinstance(good.outcome, Completed)
    stale = harness.chat("a", "hello", "c")
    edited = harness.chat("a", "hallo", "b", "more", "c")
    assert reason(stale.outcome) is Reason.HISTORY_MISMATCH
    assert reason(edited.outcome) is Reason.HISTORY_MISMATCH
    assert len(harness.dispatcher.jobs) == 2
    branch = harness.chat("summary", new_branch=True)
    harness.job.run("go on")
    assert isinstance(branch.outcome, Completed)
    old = harness.chat("a", "hello", "b", "more", "c")
    assert reason(old.outcome) is Reason.HISTORY_MISMATCH


def test_sub_agents_run_concurrently_on_the_shared_budget(
    harness: OwnerHarness,
) -> None:
    harness.rules.limits = limits(calls=2)
    harness.chat("a")
    harness.chat("s", program=ProgramId(f"{PROGRAM}/helper"))
    third = harness.chat("t", program=ProgramId(f"{PROGRAM}/other"))
    assert len(harness.dispatcher.jobs) == 2
    refused = third.outcome
    assert reason(refused) is Reason.BUDGET_SPENT
    assert isinstance(refused, Refused)
    assert refused.rule == "line 7 asked by pass crew"


def test_upper_bound_is_reserved_and_settled(harness: OwnerHarness) -> None:
    harness.rules.limits = limits(tokens=400)
    held = [
        harness.chat("a", program=ProgramId(f"{PROGRAM}/{name}"))
        for name in range(9)
    ]
    refused = [sink for sink in held if sink.outcomes]
    assert refused and reason(refused[0].outcome) is Reason.BUDGET_SPENT
    for job in list(harness.dispatcher.jobs):
        job.run("x", tokens_out=1)
    again = harness.chat("a", program=ProgramId(f"{PROGRAM}/again"))
    harness.job.run()
    assert isinstance(again.outcome, Completed)


def test_only_the_unrecorded_allowance_is_left_without_log(
    harness: OwnerHarness,
) -> None:
    harness.rules.limits = limits(calls=16)
    harness.cell.silent = True
    sinks = [harness.chat("a", number=CallNumber(1))]
    harness.job.run()
    for number in (2, 3):
        sinks.append(
            harness.chat(*("a", "hello") * (number - 1), "a", number=number)
        )
        if not sinks[-1].outcomes:
            harness.job.run()
    assert [type(sink.outcome) for sink in sinks[:2]] == [Completed] * 2
    assert reason(sinks[2].outcome) is Reason.LOG_UNAVAILABLE
    order = harness.order()
    assert reason(order.outcome) is Reason.LOG_UNAVAILABLE
    assert not harness.first.requests


def test_takeover_counts_the_drawn_budget_as_spent(
    harness: OwnerHarness,
) -> None:
    harness.rules.limits = limits(calls=8)
    first = harness.chat("a", number=CallNumber(1))
    harness.job.run()
    receipt = first.header("lycheestall-receipt")
    harness.take_over("s2")
    document = orjson.loads(harness.call(kind=CallKind.SHOW).body)
    assert document["spent"]["calls"] == document["drawn"]["calls"] == 2
    without_receipt = harness.chat("a", "hello", "b", number=CallNumber(2))
    assert reason(without_receipt.outcome) is Reason.RECEIPT_REQUIRED
    assert (
        isinstance(without_receipt.outcome, Refused)
        and without_receipt.outcome.needs == "receipt"
    )
    wrong = harness.chat(
        "a", "hallo", "b", number=CallNumber(2), receipt=receipt
    )
    assert reason(wrong.outcome) is Reason.HISTORY_MISMATCH
    proven = harness.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    harness.job.run("fine")
    assert isinstance(proven.outcome, Completed)


def test_receipt_of_stream_head_proves_the_history(
    harness: OwnerHarness,
) -> None:
    first = harness.chat("a", streamed=True)
    harness.job.run()
    receipt = first.header("lycheestall-receipt")
    harness.take_over("s2")
    wrong = harness.chat("b", number=CallNumber(2), receipt=receipt)
    assert reason(wrong.outcome) is Reason.HISTORY_MISMATCH
    proven = harness.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    harness.job.run("fine")
    assert isinstance(proven.outcome, Completed)


def test_receipt_of_another_program_is_refused(harness: OwnerHarness) -> None:
    other = ProgramId("chosen")
    first = harness.chat("a", program=other)
    harness.job.run()
    receipt = first.header("lycheestall-receipt")
    harness.take_over("s2")
    sink = harness.chat("a", "hello", "b", receipt=receipt)
    assert reason(sink.outcome) is Reason.RECEIPT_REQUIRED
