"""Tests of the owner: order, answers, history and budgets of calls."""

from __future__ import annotations

import orjson
import pytest
from _owner_world import (
    PROGRAM,
    Owners,
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
def world() -> Owners:
    return Owners()


def test_chat_answer_is_whole(world: Owners) -> None:
    sink = world.chat("plan")
    world.job.run("hello")
    assert isinstance(sink.outcome, Completed)
    document = orjson.loads(sink.body)
    assert document["choices"][0]["message"]["content"] == "hello"
    assert sink.header("lycheestall-call") == "1"
    assert sink.header("lycheestall-outcome") == "completed"


def test_streamed_answer_is_passed_through_and_resumed(
    world: Owners,
) -> None:
    sink = world.chat("plan", streamed=True)
    world.job.accept()
    world.job.listener.chunk(b'data: {"choices":[]}\n\n')
    assert world.handle is not None
    world.handle.detach()
    world.job.answer("hello")
    resumed = world.call(
        kind=CallKind.RESUME,
        number=CallNumber(1),
        resume_from=len(sink.body),
    )
    assert isinstance(resumed.outcome, Completed)
    assert not sink.outcomes
    assert (sink.body + resumed.body).count(b"data: [DONE]") == 1


def test_a_slow_reader_gets_the_whole_answer_later(world: Owners) -> None:
    sink = world.chat("plan")
    sink.full = True
    world.job.run("x" * 200_000)
    assert not sink.outcomes
    sink.full = False
    world.clock.advance(0.1)
    assert isinstance(sink.outcome, Completed)
    assert len(sink.body) > 200_000


def test_next_call_waits_until_an_engine_has_the_one_before(
    world: Owners,
) -> None:
    world.chat("b", number=CallNumber(2))
    assert not world.dispatcher.jobs
    world.chat("a", number=CallNumber(1))
    assert len(world.dispatcher.jobs) == 1
    world.job.accept()
    assert [job.job.number for job in world.dispatcher.jobs] == [1, 2]


def test_a_gap_is_refused_as_not_run(world: Owners) -> None:
    sink = world.chat("b", number=CallNumber(2))
    world.clock.advance(TuningSettings().gap_hold_s)
    assert reason(sink.outcome) is Reason.CALL_GAP
    assert not world.dispatcher.jobs


def test_a_number_sent_again_gets_the_same_answer(world: Owners) -> None:
    first = world.chat("a", number=CallNumber(1))
    second = world.chat("a", number=CallNumber(1))
    world.job.run("hello")
    third = world.chat("a", number=CallNumber(1))
    assert first.body == second.body == third.body
    assert len(world.dispatcher.jobs) == 1
    other = world.chat("other", number=CallNumber(1))
    assert reason(other.outcome) is Reason.CALL_SUPERSEDED


def test_a_failed_call_runs_again_unless_a_later_one_went_on(
    world: Owners,
) -> None:
    broken = Failed(Step.RELAY, Reason.TARGET_FAILED)
    world.chat("a", number=CallNumber(1))
    world.job.listener.failed(broken)
    again = world.chat("a", number=CallNumber(1))
    world.job.listener.failed(broken)
    world.chat("a", "b", number=CallNumber(2))
    world.job.accept()
    late = world.chat("a", number=CallNumber(1))
    assert reason(again.outcome) is Reason.TARGET_FAILED
    assert reason(late.outcome) is Reason.TARGET_FAILED
    assert [job.job.number for job in world.dispatcher.jobs] == [1, 1, 2]


def test_history_has_to_extend_the_answered_turns(world: Owners) -> None:
    world.chat("a")
    world.job.run("hello")
    good = world.chat("a", "hello", "b")
    world.job.run("more")
    assert isinstance(good.outcome, Completed)
    stale = world.chat("a", "hello", "c")
    edited = world.chat("a", "hallo", "b", "more", "c")
    assert reason(stale.outcome) is Reason.HISTORY_MISMATCH
    assert reason(edited.outcome) is Reason.HISTORY_MISMATCH
    assert len(world.dispatcher.jobs) == 2
    branch = world.chat("summary", new_branch=True)
    world.job.run("go on")
    assert isinstance(branch.outcome, Completed)
    old = world.chat("a", "hello", "b", "more", "c")
    assert reason(old.outcome) is Reason.HISTORY_MISMATCH


def test_sub_agents_run_beside_their_parent_on_its_budget(
    world: Owners,
) -> None:
    world.rules.limits = limits(calls=2)
    world.chat("a")
    world.chat("s", program=ProgramId(f"{PROGRAM}/helper"))
    third = world.chat("t", program=ProgramId(f"{PROGRAM}/other"))
    assert len(world.dispatcher.jobs) == 2
    refused = third.outcome
    assert reason(refused) is Reason.BUDGET_SPENT
    assert isinstance(refused, Refused)
    assert refused.rule == "line 7 asked by pass crew"


def test_budget_is_reserved_whole_and_settled(world: Owners) -> None:
    world.rules.limits = limits(tokens=400)
    held = [
        world.chat("a", program=ProgramId(f"{PROGRAM}/{name}"))
        for name in range(9)
    ]
    refused = [sink for sink in held if sink.outcomes]
    assert refused and reason(refused[0].outcome) is Reason.BUDGET_SPENT
    for job in list(world.dispatcher.jobs):
        job.run("x", tokens_out=1)
    again = world.chat("a", program=ProgramId(f"{PROGRAM}/again"))
    world.job.run()
    assert isinstance(again.outcome, Completed)


def test_silent_log_leaves_the_allowance_and_no_more(
    world: Owners,
) -> None:
    world.rules.limits = limits(calls=16)
    world.cell.silent = True
    sinks = [world.chat("a", number=CallNumber(1))]
    world.job.run()
    for number in (2, 3):
        sinks.append(
            world.chat(*("a", "hello") * (number - 1), "a", number=number)
        )
        if not sinks[-1].outcomes:
            world.job.run()
    assert [type(sink.outcome) for sink in sinks[:2]] == [Completed] * 2
    assert reason(sinks[2].outcome) is Reason.LOG_UNAVAILABLE
    order = world.order()
    assert reason(order.outcome) is Reason.LOG_UNAVAILABLE
    assert not world.first.requests


def test_a_takeover_counts_the_drawn_budget_as_spent(
    world: Owners,
) -> None:
    world.rules.limits = limits(calls=8)
    first = world.chat("a", number=CallNumber(1))
    world.job.run()
    receipt = first.header("lycheestall-receipt")
    world.take_over("s2")
    document = orjson.loads(world.call(kind=CallKind.SHOW).body)
    assert document["spent"]["calls"] == document["drawn"]["calls"] == 2
    bare = world.chat("a", "hello", "b", number=CallNumber(2))
    assert reason(bare.outcome) is Reason.RECEIPT_REQUIRED
    assert (
        isinstance(bare.outcome, Refused) and bare.outcome.needs == "receipt"
    )
    wrong = world.chat(
        "a", "hallo", "b", number=CallNumber(2), receipt=receipt
    )
    assert reason(wrong.outcome) is Reason.HISTORY_MISMATCH
    proven = world.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    world.job.run("fine")
    assert isinstance(proven.outcome, Completed)


def test_the_head_of_a_stream_proves_the_history_up_to_its_answer(
    world: Owners,
) -> None:
    first = world.chat("a", streamed=True)
    world.job.run()
    receipt = first.header("lycheestall-receipt")
    world.take_over("s2")
    wrong = world.chat("b", number=CallNumber(2), receipt=receipt)
    assert reason(wrong.outcome) is Reason.HISTORY_MISMATCH
    proven = world.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    world.job.run("fine")
    assert isinstance(proven.outcome, Completed)


def test_another_programs_receipt_is_refused(world: Owners) -> None:
    other = ProgramId("chosen")
    first = world.chat("a", program=other)
    world.job.run()
    receipt = first.header("lycheestall-receipt")
    world.take_over("s2")
    sink = world.chat("a", "hello", "b", receipt=receipt)
    assert reason(sink.outcome) is Reason.RECEIPT_REQUIRED
