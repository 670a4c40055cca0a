"""Tests that the checker of each guarantee detects its violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lycheestall.budget import Budget, Reserved
from lycheestall.engine_poller import EnginePoller
from lycheestall.fold import Verdict
from lycheestall.ids import RequestId
from lycheestall.ledger import Ledger
from lycheestall.outcomes import Reason, Refused, Step
from tests.fake_callers import WrongAnswer
from tests.fault_table import FaultRun, inject_fault, new_fault_run
from tests.guarantees import Observations, violated_guarantees

STEP_LIMIT_S = 30.0
RUN_LIMIT_S = 120.0


def run_fault(step: str, fault: str) -> Observations:
    """Injects a fault at a step and returns the observations."""
    fault_run = new_fault_run(7)
    assert inject_fault(fault_run, step, fault, limit_s=STEP_LIMIT_S)
    fault_run.deployment.run_to_end(RUN_LIMIT_S)
    return fault_run.deployment.collect_observations()


@pytest.fixture(scope="module")
def faultless_run() -> FaultRun:
    """Returns a run without a fault, in which every guarantee holds."""
    fault_run = new_fault_run(7)
    fault_run.deployment.run_to_end(RUN_LIMIT_S)
    assert (
        violated_guarantees(fault_run.deployment.collect_observations()) == {}
    )
    return fault_run


def test_detects_second_run_of_a_key(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Ledger, "find_intent", lambda *_: None)
    monkeypatch.setattr(Ledger, "_record_intent", lambda *_: _accepted())
    assert "at_most_once" in violated_guarantees(
        run_fault("action_running", "owner_killed")
    )


def test_detects_exceeded_token_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def reserve(self: Budget, amount: object, limits: object) -> object:
        self._next_id += 1
        self._reserved_by_id[self._next_id] = amount  # type: ignore
        return Reserved(self._next_id)  # type: ignore

    monkeypatch.setattr(Budget, "reserve", reserve)
    fault_run = new_fault_run(7)
    fault_run.deployment.run_to_end(RUN_LIMIT_S)
    observations = fault_run.deployment.collect_observations()
    observations.token_budget = 100
    assert "budget" in violated_guarantees(observations)


def test_detects_memory_held_for_lost_owners(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def skip_reconciliation(self: EnginePoller) -> None:
        """Releases no memory on the engines."""

    monkeypatch.setattr(EnginePoller, "reconcile_memory", skip_reconciliation)
    assert "memory" in violated_guarantees(
        run_fault("call_streaming", "owner_killed")
    )


def test_detects_refusal_of_a_call_that_ran(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    attempt = next(a for a in faultless_run.watched.attempts if a.number == 1)
    outcome = attempt.outcome
    attempt.outcome = Refused(Step.ROUTE, Reason.NO_AUTHORITY)
    try:
        assert list(violated_guarantees(observations)) == ["refusals"]
    finally:
        attempt.outcome = outcome


def test_detects_calls_out_of_order(faultless_run: FaultRun) -> None:
    engine = next(
        engine
        for engine in faultless_run.deployment.engine_by_name.values()
        if engine.arrivals
    )
    first = engine.arrivals[0]
    repeated = replace(first, at=faultless_run.deployment.simulation.now)
    engine.arrivals.append(repeated)
    try:
        assert "order" in violated_guarantees(
            faultless_run.deployment.collect_observations()
        )
    finally:
        engine.arrivals.remove(repeated)


def test_detects_history_of_another_program(faultless_run: FaultRun) -> None:
    arrivals = faultless_run.deployment.collect_observations().arrivals()
    first, other = arrivals[0], arrivals[1]
    assert first.request.program != other.request.program
    engine = faultless_run.deployment.engine_by_name[first.target]
    mixed = replace(
        first,
        request=replace(
            first.request,
            body=other.request.body,
            request=RequestId("mixed"),
        ),
    )
    engine.arrivals.append(mixed)
    try:
        assert "history" in violated_guarantees(
            faultless_run.deployment.collect_observations()
        )
    finally:
        engine.arrivals.remove(mixed)


def test_detects_incomplete_answer(faultless_run: FaultRun) -> None:
    wrong_answer = WrongAnswer(
        faultless_run.watched.program, 1, "half", "half an answer"
    )
    faultless_run.watched.wrong_answers.append(wrong_answer)
    try:
        assert "answers" in violated_guarantees(
            faultless_run.deployment.collect_observations()
        )
    finally:
        faultless_run.watched.wrong_answers.remove(wrong_answer)


def test_detects_completed_action_that_never_ran(
    faultless_run: FaultRun,
) -> None:
    runs = {}
    for application in faultless_run.deployment.application_by_name.values():
        runs[application] = application.runs_by_key.pop("watched", 0)
    try:
        violations = violated_guarantees(
            faultless_run.deployment.collect_observations()
        )
        assert "completed_actions" in violations
    finally:
        for application, count in runs.items():
            if count:
                application.runs_by_key["watched"] = count


def test_detects_requests_to_a_leaving_target(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    target = observations.arrivals()[0].target
    observations.leaving_visible_at[target] = -10.0
    try:
        assert "leaving" in violated_guarantees(observations)
    finally:
        del observations.leaving_visible_at[target]


def test_detects_call_interrupted_by_a_drain(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    observations.cut_by_drain.append(faultless_run.watched.attempts[0])
    try:
        assert "graceful" in violated_guarantees(observations)
    finally:
        observations.cut_by_drain.clear()


def test_detects_decreasing_rules_version(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    applied = next(iter(observations.rules_applied.values()))
    applied.append((faultless_run.deployment.simulation.now, -1))
    try:
        assert "rules" in violated_guarantees(observations)
    finally:
        applied.pop()


def test_detects_rules_that_apply_too_late(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    observations.accepted_rules[10_000] = 0.0
    try:
        assert "rules" in violated_guarantees(observations)
    finally:
        del observations.accepted_rules[10_000]


def test_detects_exceeded_turn_limit(faultless_run: FaultRun) -> None:
    observations = faultless_run.deployment.collect_observations()
    limit = observations.turn_limit
    observations.turn_limit = 1
    try:
        assert "budget" in violated_guarantees(observations)
    finally:
        observations.turn_limit = limit


def _accepted() -> Verdict:
    return Verdict(True)
