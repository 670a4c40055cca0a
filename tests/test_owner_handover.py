"""Tests of the owner when a program moves to another VM."""

from __future__ import annotations

import orjson
import pytest
from _owner_world import (
    PLACE,
    Owners,
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
def world() -> Owners:
    return Owners()


def test_a_handover_keeps_order_history_and_budget(world: Owners) -> None:
    world.rules.limits = limits(calls=8)
    world.chat("a", number=CallNumber(1))
    world.job.run()
    running = world.chat("a", "hello", "b", number=CallNumber(2))
    world.job.accept()
    streaming = world.job
    waiting = world.chat("a", "hello", "c", number=CallNumber(3))
    world.hand_over("s2")
    streaming.answer("more")
    assert isinstance(running.outcome, Completed)
    assert reason(waiting.outcome) is Reason.NOT_OWNER
    document = orjson.loads(world.call(kind=CallKind.SHOW).body)
    assert document["spent"]["calls"] == 2
    again = world.chat("a", "hello", "b", number=CallNumber(2))
    assert world.job.job.number == 2 and not again.outcomes
    world.job.accept()
    on = world.chat("a", "hello", "b", "more", "c", number=CallNumber(3))
    world.job.run("end")
    assert isinstance(on.outcome, Completed)
    late = world.chat("a", "hello", "x", number=CallNumber(2))
    assert reason(late.outcome) is Reason.CALL_SUPERSEDED


def test_a_call_on_its_way_to_an_engine_is_never_called_not_run(
    world: Owners,
) -> None:
    sent = world.chat("a", number=CallNumber(1))
    job = world.job
    assert job.job.may_send() is None
    world.hand_over("s2")
    assert not sent.outcomes and not job.cancelled
    job.run("hello")
    assert isinstance(sent.outcome, Completed)
    on = world.chat("a", "hello", "b", number=CallNumber(2))
    world.job.job.may_send()
    world.call(kind=CallKind.CANCEL)
    assert isinstance(on.outcome, Failed)
    assert on.outcome.reason is Reason.CANCELLED


def test_a_handover_passes_on_that_programs_are_unproven(
    world: Owners,
) -> None:
    world.cell.silent = True
    world.chat("a", number=CallNumber(1))
    world.job.run()
    world.cell.waiting.clear()
    world.cell.silent = False
    world.take_over("s2")
    world.hand_over("s3")
    bare = world.chat("a", "hello", "b", number=CallNumber(2))
    assert reason(bare.outcome) is Reason.RECEIPT_REQUIRED


def test_a_handover_takes_the_newest_answer_along(world: Owners) -> None:
    first = world.chat("a", number=CallNumber(1))
    world.job.run()
    world.hand_over("s2")
    again = world.chat("a", number=CallNumber(1))
    assert again.body == first.body and again.head == first.head
    assert len(world.dispatcher.jobs) == 1


def test_a_failed_call_may_run_again_after_a_handover(
    world: Owners,
) -> None:
    world.chat("a", number=CallNumber(1))
    world.job.listener.failed(Failed(Step.RELAY, Reason.TARGET_FAILED))
    world.hand_over("s2")
    again = world.chat("a", number=CallNumber(1))
    world.job.run()
    assert isinstance(again.outcome, Completed)


def test_a_first_call_under_way_may_run_again_after_a_handover(
    world: Owners,
) -> None:
    world.chat("a", number=CallNumber(1))
    world.job.accept()
    world.hand_over("s2")
    again = world.chat("a", number=CallNumber(1))
    world.job.run()
    assert isinstance(again.outcome, Completed)


def test_a_call_repeated_with_its_own_receipt_goes_on(
    world: Owners,
) -> None:
    world.chat("a", streamed=True, number=CallNumber(1))
    world.job.run()
    cut = world.chat("a", "hello", "b", streamed=True, number=CallNumber(2))
    world.job.accept()
    receipt = cut.header("lycheestall-receipt")
    world.take_over("s2")
    again = world.chat(
        "a", "hello", "b", number=CallNumber(2), receipt=receipt
    )
    assert world.job.job.number == 2
    world.job.run("more")
    assert isinstance(again.outcome, Completed)
    on = world.chat("a", "hello", "b", "more", "c", number=CallNumber(3))
    assert world.job.job.number == 3 and not on.outcomes


def test_a_stream_is_taken_up_from_its_engine(world: Owners) -> None:
    cut = world.chat("a", streamed=True)
    world.job.accept()
    first = b'data: {"choices":[{"delta":{"content":"he"}}]}\n\n'
    world.job.listener.chunk(first)
    receipt = cut.header("lycheestall-receipt")
    world.take_over("s2")
    resumed = world.call(
        kind=CallKind.RESUME,
        number=CallNumber(1),
        receipt=receipt,
        resume_from=len(first),
    )
    assert world.job.target == "engine-1" and world.job.start == 0
    world.job.listener.chunk(first)
    world.job.answer("llo")
    assert isinstance(resumed.outcome, Completed)
    assert resumed.body.startswith(b"data: ")
    assert b'"llo"' in resumed.body and b'"he"' not in resumed.body
    on = world.chat("a", "hello", "b", number=CallNumber(2))
    assert world.job.job.number == 2 and not on.outcomes
    other = world.chat("a", "hallo", "b", number=CallNumber(3))
    world.job.accept()
    assert reason(other.outcome) is Reason.HISTORY_MISMATCH


def test_a_handover_waits_for_the_record_of_an_action(
    world: Owners,
) -> None:
    world.cell.automatic = False
    sink = world.order()
    world.cell.read_back()
    states: list[dict[str, bytes]] = []
    world.owner.quiesce(PLACE).addCallback(states.append)
    world.clock.advance(0.5)
    assert not states
    world.cell.read_back()
    world.clock.advance(0.1)
    assert states
    world.answer_order()
    assert isinstance(sink.outcome, Completed)
