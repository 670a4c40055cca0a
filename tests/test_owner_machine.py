"""A caller that keeps the rules, against owners that come and go.

Each loss of an owner may cost a quarter of the budget, so that their
number is bounded here.

The machine sends calls in order, sends them again when they end without
an answer, and goes on with the newest receipt. Owners are lost or hand
over, the log falls silent, engines and runners fail. What the engines
and the runners saw is checked, never the owner's own books.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson
import pytest
from _owner_world import MOVED, Owners, chat_body, limits
from _program_fakes import FakeJob, FakeSink
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from twisted.internet.defer import Deferred

from lycheestall._refusals import receipt_required
from lycheestall.actions import ActionProtocol
from lycheestall.calls import CallKind
from lycheestall.chat_calls import ChatCalls
from lycheestall.ids import CallNumber
from lycheestall.outcomes import (
    Completed,
    Failed,
    Outcome,
    Reason,
    Refused,
    Step,
)
from lycheestall.targets import (
    ActionAnswer,
    ActionDone,
    ActionNotSent,
    ActionUnknown,
)

CALLS = 600
MOST_LOSSES = 3
BROKEN = Failed(Step.RELAY, Reason.TARGET_FAILED)
BUSY = Refused(Step.PLACE, Reason.OVERLOADED, retry_after_s=1.0)
UNFAIR = {
    Reason.HISTORY_MISMATCH,
    Reason.RECEIPT_REQUIRED,
    Reason.CALL_SUPERSEDED,
    Reason.KEY_REUSED,
    Reason.KEY_UNPROVEN,
    Reason.BAD_REQUEST,
    Reason.PROGRAM_ENDED,
    Reason.PROGRAM_UNKNOWN,
}


@dataclass
class _Step:
    """The caller's present call: a chat or an order."""

    number: int
    key: str = ""
    sinks: list[FakeSink] = field(default_factory=list)


def _refused(sink: FakeSink) -> bool:
    return isinstance(sink.outcome, Refused)


class _OwnerMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = Owners()
        self.world.rules.limits = limits(calls=CALLS)
        self.texts: list[str] = []
        opened = self.world.call(kind=CallKind.OPEN)
        self.receipt = opened.header("lycheestall-receipt")
        self.step: _Step | None = None
        self.number = 0
        self.accepted: list[int] = []
        self.cost = 0
        self.losses = 0
        self.live: list[FakeJob] = []
        self.streaming: list[FakeJob] = []
        self.seen_jobs = 0
        self.runs: dict[str, int] = {}
        self.unsettled: set[str] = set()
        self.not_run: set[str] = set()

    def look(self) -> None:
        """Takes up new jobs and what became of the present call."""
        jobs = self.world.dispatcher.jobs
        self.live.extend(jobs[self.seen_jobs :])
        self.seen_jobs = len(jobs)
        if self.step is None or not self.step.sinks:
            return
        outcome = self.step.sinks[-1].outcome
        if isinstance(outcome, Completed):
            self.completed(self.step)
        elif isinstance(outcome, Refused | Failed):
            assert outcome.reason not in UNFAIR, outcome
            self.ended(self.step, outcome)

    def completed(self, step: _Step) -> None:
        sink = step.sinks[-1]
        self.receipt = sink.header("lycheestall-receipt") or self.receipt
        if not step.key:
            document = orjson.loads(sink.body)
            text = document["choices"][0]["message"]["content"]
            assert text.startswith(f"{step.number}:")
            self.texts.append(text)
        self.step = None

    def ended(self, step: _Step, outcome: Outcome) -> None:
        key = step.key
        if not key:
            return
        if isinstance(outcome, Refused):
            if all(_refused(sink) for sink in step.sinks):
                assert self.runs.get(key, 0) == 0
                self.not_run.add(key)
            return
        if outcome.reason is Reason.MAY_HAVE_RUN:
            self.unsettled.add(key)
            self.step = None

    @precondition(lambda self: self.step is None)
    @rule(order=st.booleans())
    def next_call(self, order: bool) -> None:
        self.number += 1
        self.step = _Step(self.number, f"k{self.number}" if order else "")
        if not order:
            self.texts.append(f"ask {self.number}")
        self.send()

    @precondition(lambda self: self.step is not None)
    @rule()
    def send_again(self) -> None:
        self.send()

    def send(self) -> None:
        step = self.step
        assert step is not None
        parts = {"number": CallNumber(step.number), "receipt": self.receipt}
        self.not_run.discard(step.key)
        if step.key:
            step.sinks.append(self.world.order(step.key, **parts))
        else:
            step.sinks.append(self.world.chat(*self.texts, **parts))
        self.look()

    @precondition(lambda self: self.live)
    @rule(data=st.data(), ending=st.sampled_from(["answer", "fail", "busy"]))
    def run_job(self, data: st.DataObject, ending: str) -> None:
        index = data.draw(st.integers(0, len(self.live) - 1))
        self.run_one(self.live.pop(index), ending)

    def run_one(self, job: FakeJob, ending: str) -> None:
        if job.cancelled:
            return
        halted = job.job.may_send()
        if halted is not None:
            job.listener.refused(halted)
            self.look()
            return
        if ending == "busy":
            job.listener.refused(BUSY)
            self.look()
            return
        number = job.job.number
        assert all(before <= number for before in self.accepted)
        self.accepted.append(number)
        self.cost += 1
        messages = orjson.loads(job.job.body)["messages"]
        wanted = orjson.loads(chat_body(*self.texts))["messages"]
        assert messages == wanted[: len(messages)]
        job.accept()
        if ending == "fail":
            job.listener.failed(BROKEN)
        else:
            self.streaming.append(job)
        self.look()

    @precondition(lambda self: self.streaming)
    @rule(whole=st.booleans())
    def end_stream(self, whole: bool) -> None:
        job = self.streaming.pop(0)
        if job.cancelled:
            return
        if whole:
            job.answer(f"{job.job.number}:{self.seen_jobs}")
        else:
            job.listener.failed(BROKEN)
        self.look()

    def waiting(self) -> list[tuple[str, Deferred[ActionAnswer], bool]]:
        found: list[tuple[str, Deferred[ActionAnswer], bool]] = []
        for runner in (self.world.first, self.world.second):
            pairs = zip(runner.requests, runner.answers, strict=True)
            found.extend(
                (str(request.key), answer, True)
                for request, answer in pairs
                if not answer.called
            )
        return found

    @precondition(lambda self: self.waiting())
    @rule(ending=st.sampled_from(["done", "lost", "lost unrun", "unsent"]))
    def answer_order(self, ending: str) -> None:
        key, answer, _ = self.waiting()[0]
        if ending in ("done", "lost"):
            assert key not in self.not_run
            self.runs[key] = self.runs.get(key, 0) + 1
            self.cost += 1
        assert self.runs.get(key, 0) <= 1, "ran twice"
        if ending == "done":
            answer.callback(ActionDone(201, "text/plain", key.encode()))
        elif ending == "unsent":
            answer.callback(ActionNotSent("refused"))
        else:
            answer.callback(ActionUnknown("reset"))
        self.look()

    @rule(fault=st.sampled_from(["silent", "held back", "halted"]))
    def disturb(self, fault: str) -> None:
        cell = self.world.cell
        cell.silent = fault == "silent"
        cell.automatic = fault != "held back"
        cell.refused = MOVED if fault == "halted" else None

    @rule()
    def calm(self) -> None:
        cell = self.world.cell
        cell.silent, cell.automatic, cell.refused = False, True, None
        cell.read_back()
        self.world.clock.advance(3.0)
        self.look()

    @rule(order=st.booleans())
    def whole_turn(self, order: bool) -> None:
        """In calm, the present call or a new one gets its answer."""
        self.calm()
        if self.step is None:
            self.next_call(order)
        for _ in range(4):
            step = self.step
            if step is None:
                return
            self.send()
            self.calm()
            self.run_everything()
        assert self.step is None, [s.outcome for s in self.step.sinks]

    def run_everything(self) -> None:
        while self.live:
            job = self.live.pop(0)
            self.run_one(job, "answer")
        while self.streaming:
            self.end_stream(whole=True)
        while self.waiting():
            self.answer_order("done")

    @precondition(lambda self: self.world.cell.waiting)
    @rule()
    def read_back(self) -> None:
        self.world.cell.read_back()
        self.look()

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def wait(self, seconds: float) -> None:
        self.world.clock.advance(seconds)
        self.look()

    @precondition(lambda self: self.losses < MOST_LOSSES)
    @rule()
    def lose_owner(self) -> None:
        self.losses += 1
        self.streaming.clear()
        self.live.clear()
        self.world.cell.refused = None
        self.world.take_over(f"t{self.seen_jobs}-{self.world.cell.offset}")
        self.look()

    @precondition(lambda self: not self.world.cell.waiting)
    @rule()
    def hand_over(self) -> None:
        self.world.cell.refused = None
        self.world.hand_over(f"h{self.seen_jobs}-{self.world.cell.offset}")
        self.look()

    @invariant()
    def promises(self) -> None:
        assert all(count <= 1 for count in self.runs.values())
        assert self.cost <= CALLS
        for sink in self.step.sinks if self.step else []:
            assert len(sink.outcomes) <= 1


def _run(examples: int = 150) -> None:
    run_state_machine_as_test(
        _OwnerMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            phases=(Phase.generate,),
        ),
    )


def test_owners_keep_every_promise_to_a_fair_caller() -> None:
    _run()


def test_a_protocol_that_sends_open_intents_again_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def resend(self: ActionProtocol) -> None:
        self._effects.send()

    monkeypatch.setattr(ActionProtocol, "adopt", resend)
    with pytest.raises(AssertionError):
        _run(400)


def test_a_successor_that_takes_no_receipts_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refused = receipt_required("broken on purpose")
    monkeypatch.setattr(ChatCalls, "_adopt", lambda *_: refused)
    with pytest.raises(AssertionError):
        _run(400)
