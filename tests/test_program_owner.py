"""Tests of the owner's side with small fakes round it."""

from __future__ import annotations

import orjson
import pytest
from _owner_world import (
    ACCOUNT,
    MOVED,
    NOW_MS,
    PLACE,
    PROGRAM,
    ROOT,
    Owners,
    limits,
)
from _program_fakes import (
    LINE,
)
from twisted.internet.defer import Deferred

from lycheestall.calls import CallKind
from lycheestall.ids import (
    AccountId,
    CallNumber,
    ProgramId,
)
from lycheestall.outcomes import (
    Completed,
    Failed,
    Outcome,
    Reason,
    Refused,
    Step,
)
from lycheestall.program_ids import ledger_id
from lycheestall.records import IntentRecorded, IntentVoided
from lycheestall.rules.rule_book import AccountLimit, LimitKind
from lycheestall.settings import TuningSettings
from lycheestall.targets import (
    ActionDone,
    ActionNotSent,
    ActionUnknown,
    LookupAnswer,
    LookupState,
)


@pytest.fixture
def world() -> Owners:
    return Owners()


def reason(outcome: Outcome | None) -> Reason:
    assert isinstance(outcome, Refused | Failed)
    return outcome.reason


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


def test_order_runs_once_whatever_is_sent_again(world: Owners) -> None:
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


def test_an_open_intent_is_never_sent_again(world: Owners) -> None:
    world.order()
    world.take_over("s2")
    sink = world.order()
    assert reason(sink.outcome) is Reason.MAY_HAVE_RUN
    assert isinstance(sink.outcome, Failed)
    world.first.record = LookupAnswer(
        LookupState.RAN, ActionDone(201, "text/plain", b"ran")
    )
    settled = world.order()
    assert isinstance(settled.outcome, Completed) and settled.body == b"ran"
    assert len(world.first.requests) == 1 and not world.second.requests


def test_a_key_that_the_target_closed_is_not_run(world: Owners) -> None:
    sink = world.order()
    world.first.record = LookupAnswer(LookupState.NOT_RUN)
    world.first.answers[0].callback(ActionUnknown("reset"))
    assert isinstance(sink.outcome, Refused)
    assert sink.outcome.needs == "a new idempotency key"
    again = world.order()
    assert isinstance(again.outcome, Refused)
    assert len(world.first.requests) == 1


def test_a_late_record_is_voided_and_not_sent(world: Owners) -> None:
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


def test_authority_lost_before_the_send_is_not_run(world: Owners) -> None:
    world.cell.automatic = False
    sink = world.order()
    world.cell.read_back()
    world.cell.refused = MOVED
    world.cell.read_back()
    assert sink.outcome == MOVED
    assert not world.first.requests
    assert isinstance(world.cell.written[-1], IntentVoided)


def test_authority_lost_while_connecting_is_not_run(world: Owners) -> None:
    world.first.connecting = opened = Deferred()
    sink = world.order()
    world.cell.refused = MOVED
    opened.callback(None)
    assert isinstance(sink.outcome, Refused)
    assert not world.first.requests and not world.second.requests
    assert isinstance(world.cell.written[-1], IntentVoided)


def test_a_runner_out_of_reach_is_replaced(world: Owners) -> None:
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


def test_an_unreachable_order_may_be_sent_again_under_its_number(
    world: Owners,
) -> None:
    sink = world.order(number=CallNumber(1))
    world.first.answers[0].callback(ActionNotSent("refused"))
    assert reason(sink.outcome) is Reason.UNREACHABLE
    again = world.order(number=CallNumber(1))
    world.answer_order(runner=1)
    assert isinstance(again.outcome, Completed)


def test_an_idempotent_call_is_repeated_and_needs_no_log(
    world: Owners,
) -> None:
    world.rules.attempts = 2
    world.cell.silent = True
    sink = world.order("", operation="GET /runs?x=1")
    world.first.answers[0].callback(ActionUnknown("reset"))
    world.answer_order(200, runner=1)
    assert isinstance(sink.outcome, Completed)


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        ({"key": ""}, Reason.KEY_MISSING),
        ({"program": ProgramId("chosen")}, Reason.KEY_UNPROVEN),
        ({"program": ProgramId(PROGRAM[:-1] + "x")}, Reason.KEY_UNPROVEN),
        ({"account": AccountId("other")}, Reason.PROGRAM_UNKNOWN),
    ],
)
def test_orders_without_proof_are_refused(
    world: Owners, parts: dict[str, object], expected: Reason
) -> None:
    sink = world.order(**parts)  # type: ignore[arg-type]
    assert reason(sink.outcome) is expected
    assert not world.first.requests


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
