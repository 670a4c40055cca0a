"""State machine test of program owners that fail and hand over.

A caller that follows the protocol sends calls in order, repeats a call
that ended without an answer, and passes on the newest receipt.
Meanwhile owners fail or hand over, the log stops returning records, and
engines and runners fail. The checks use what the engines and runners
received, never the owner's own state.

The number of owner failures is bounded, since each may cost a quarter of
the budget.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson
import pytest
from _owner_harness import NO_AUTHORITY, OwnerHarness, chat_body, limits
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
    ActionDone,
    ActionNotSent,
    ActionResult,
    ActionUnknown,
)

CALLS = 600
MAX_OWNER_FAILURES = 3
TARGET_FAILED = Failed(Step.RELAY, Reason.TARGET_FAILED)
OVERLOADED = Refused(Step.PLACE, Reason.OVERLOADED, retry_after_s=1.0)
UNEXPECTED_REASONS = {
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
class _PendingCall:
    """The caller's current call: a chat call or an action."""

    number: int
    key: str = ""
    sinks: list[FakeSink] = field(default_factory=list)


def _refused(sink: FakeSink) -> bool:
    return isinstance(sink.outcome, Refused)


class _OwnerMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.harness = OwnerHarness()
        self.harness.rules.limits = limits(calls=CALLS)
        self.texts: list[str] = []
        opened = self.harness.call(kind=CallKind.OPEN)
        self.receipt = opened.header("lycheestall-receipt")
        self.pending: _PendingCall | None = None
        self.number = 0
        self.accepted: list[int] = []
        self.cost = 0
        self.owner_failures = 0
        self.open_jobs: list[FakeJob] = []
        self.streams: list[FakeJob] = []
        self.seen_jobs = 0
        self.runs_by_key: dict[str, int] = {}
        self.unsettled: set[str] = set()
        self.not_run: set[str] = set()

    def observe(self) -> None:
        """Collects new jobs and the outcome of the current call."""
        jobs = self.harness.dispatcher.jobs
        self.open_jobs.extend(jobs[self.seen_jobs :])
        self.seen_jobs = len(jobs)
        if self.pending is None or not self.pending.sinks:
            return
        outcome = self.pending.sinks[-1].outcome
        if isinstance(outcome, Completed):
            self.completed(self.pending)
        elif isinstance(outcome, Refused | Failed):
            assert outcome.reason not in UNEXPECTED_REASONS, outcome
            self.ended(self.pending, outcome)

    def completed(self, pending: _PendingCall) -> None:
        sink = pending.sinks[-1]
        self.receipt = sink.header("lycheestall-receipt") or self.receipt
        if not pending.key:
            document = orjson.loads(sink.body)
            text = document["choices"][0]["message"]["content"]
            assert text.startswith(f"{pending.number}:")
            self.texts.append(text)
        self.pending = None

    def ended(self, pending: _PendingCall, outcome: Outcome) -> None:
        key = pending.key
        if not key:
            return
        if isinstance(outcome, Refused):
            if all(_refused(sink) for sink in pending.sinks):
                assert self.runs_by_key.get(key, 0) == 0
                self.not_run.add(key)
            return
        if outcome.reason is Reason.MAY_HAVE_RUN:
            self.unsettled.add(key)
            self.pending = None

    @precondition(lambda self: self.pending is None)
    @rule(order=st.booleans())
    def next_call(self, order: bool) -> None:
        self.number += 1
        self.pending = _PendingCall(
            self.number, f"k{self.number}" if order else ""
        )
        if not order:
            self.texts.append(f"ask {self.number}")
        self.send()

    @precondition(lambda self: self.pending is not None)
    @rule()
    def send_again(self) -> None:
        self.send()

    def send(self) -> None:
        pending = self.pending
        assert pending is not None
        parts = {"number": CallNumber(pending.number), "receipt": self.receipt}
        self.not_run.discard(pending.key)
        if pending.key:
            pending.sinks.append(self.harness.order(pending.key, **parts))
        else:
            pending.sinks.append(self.harness.chat(*self.texts, **parts))
        self.observe()

    @precondition(lambda self: self.open_jobs)
    @rule(data=st.data(), ending=st.sampled_from(["answer", "fail", "busy"]))
    def run_job(self, data: st.DataObject, ending: str) -> None:
        index = data.draw(st.integers(0, len(self.open_jobs) - 1))
        self.run_one(self.open_jobs.pop(index), ending)

    def run_one(self, job: FakeJob, ending: str) -> None:
        if job.cancelled:
            return
        refused_send = job.job.may_send()
        if refused_send is not None:
            job.listener.refused(refused_send)
            self.observe()
            return
        if ending == "busy":
            job.listener.refused(OVERLOADED)
            self.observe()
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
            job.listener.failed(TARGET_FAILED)
        else:
            self.streams.append(job)
        self.observe()

    @precondition(lambda self: self.streams)
    @rule(complete=st.booleans())
    def end_stream(self, complete: bool) -> None:
        job = self.streams.pop(0)
        if job.cancelled:
            return
        if complete:
            job.answer(f"{job.job.number}:{self.seen_jobs}")
        else:
            job.listener.failed(TARGET_FAILED)
        self.observe()

    def unanswered_actions(
        self,
    ) -> list[tuple[str, Deferred[ActionResult], bool]]:
        found: list[tuple[str, Deferred[ActionResult], bool]] = []
        for runner in (self.harness.first, self.harness.second):
            pairs = zip(runner.requests, runner.answers, strict=True)
            found.extend(
                (str(request.key), answer, True)
                for request, answer in pairs
                if not answer.called
            )
        return found

    @precondition(lambda self: self.unanswered_actions())
    @rule(ending=st.sampled_from(["done", "lost", "lost unrun", "unsent"]))
    def answer_order(self, ending: str) -> None:
        key, answer, _ = self.unanswered_actions()[0]
        if ending in ("done", "lost"):
            assert key not in self.not_run
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
            self.cost += 1
        assert self.runs_by_key.get(key, 0) <= 1, "ran twice"
        if ending == "done":
            answer.callback(ActionDone(201, "text/plain", key.encode()))
        elif ending == "unsent":
            answer.callback(ActionNotSent("refused"))
        else:
            answer.callback(ActionUnknown("reset"))
        self.observe()

    @rule(fault=st.sampled_from(["silent", "held back", "halted"]))
    def inject_fault(self, fault: str) -> None:
        cell = self.harness.cell
        cell.silent = fault == "silent"
        cell.automatic = fault != "held back"
        cell.refused = NO_AUTHORITY if fault == "halted" else None

    @rule()
    def clear_faults(self) -> None:
        cell = self.harness.cell
        cell.silent, cell.automatic, cell.refused = False, True, None
        cell.read_back()
        self.harness.clock.advance(3.0)
        self.observe()

    @rule(order=st.booleans())
    def complete_call(self, order: bool) -> None:
        """Without faults, the current or a new call is answered."""
        self.clear_faults()
        if self.pending is None:
            self.next_call(order)
        for _ in range(4):
            pending = self.pending
            if pending is None:
                return
            self.send()
            self.clear_faults()
            self.answer_everything()
        assert self.pending is None, [s.outcome for s in self.pending.sinks]

    def answer_everything(self) -> None:
        while self.open_jobs:
            job = self.open_jobs.pop(0)
            self.run_one(job, "answer")
        while self.streams:
            self.end_stream(complete=True)
        while self.unanswered_actions():
            self.answer_order("done")

    @precondition(lambda self: self.harness.cell.waiting)
    @rule()
    def read_back(self) -> None:
        self.harness.cell.read_back()
        self.observe()

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def wait(self, seconds: float) -> None:
        self.harness.clock.advance(seconds)
        self.observe()

    @precondition(lambda self: self.owner_failures < MAX_OWNER_FAILURES)
    @rule()
    def fail_owner(self) -> None:
        self.owner_failures += 1
        self.streams.clear()
        self.open_jobs.clear()
        self.harness.cell.refused = None
        self.harness.take_over(f"t{self.seen_jobs}-{self.harness.cell.offset}")
        self.observe()

    @precondition(lambda self: not self.harness.cell.waiting)
    @rule()
    def hand_over(self) -> None:
        self.harness.cell.refused = None
        self.harness.hand_over(f"h{self.seen_jobs}-{self.harness.cell.offset}")
        self.observe()

    @invariant()
    def guarantees(self) -> None:
        assert all(count <= 1 for count in self.runs_by_key.values())
        assert self.cost <= CALLS
        for sink in self.pending.sinks if self.pending else []:
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


def test_owner_keeps_guarantees_to_a_correct_caller() -> None:
    _run()


def test_resending_an_open_intent_fails_the_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def resend(self: ActionProtocol) -> None:
        self._effects.send()

    monkeypatch.setattr(ActionProtocol, "recover", resend)
    with pytest.raises(AssertionError):
        _run(400)


def test_rejecting_all_receipts_fails_the_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refused = receipt_required("broken on purpose")
    monkeypatch.setattr(ChatCalls, "_apply_receipt", lambda *_: refused)
    with pytest.raises(AssertionError):
        _run(400)
