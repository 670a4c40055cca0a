"""Each promise's checker, shown to fail when its rule is broken."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lycheestall.budget import Budget, Reserved
from lycheestall.engine_poller import EnginePoller
from lycheestall.fold import Verdict
from lycheestall.ids import RequestId
from lycheestall.ledger import Ledger
from lycheestall.outcomes import Reason, Refused, Step
from tests.fake_callers import Wrong
from tests.fault_table import Scene, new_scene, strike
from tests.promises import Evidence, broken_promises

LIMIT_S = 30.0
RUN_LIMIT_S = 120.0


def run(step: str, fault: str) -> Evidence:
    """Returns the evidence of one cell of the matrix."""
    scene = new_scene(7)
    assert strike(scene, step, fault, limit_s=LIMIT_S)
    scene.system.run_to_end(RUN_LIMIT_S)
    return scene.system.judge()


@pytest.fixture(scope="module")
def kept() -> Scene:
    """Returns a run without a fault that kept every promise."""
    scene = new_scene(7)
    scene.system.run_to_end(RUN_LIMIT_S)
    assert broken_promises(scene.system.judge()) == {}
    return scene


def test_two_runs_of_a_key_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Ledger, "find_intent", lambda *_: None)
    monkeypatch.setattr(Ledger, "_record_intent", lambda *_: _accepted())
    assert "at_most_once" in broken_promises(
        run("action_running", "owner_killed")
    )


def test_overspending_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def reserve(self: Budget, amount: object, limits: object) -> object:
        self._next_id += 1
        self._reserved_by_id[self._next_id] = amount  # type: ignore
        return Reserved(self._next_id)  # type: ignore

    monkeypatch.setattr(Budget, "reserve", reserve)
    scene = new_scene(7)
    scene.system.run_to_end(RUN_LIMIT_S)
    evidence = scene.system.judge()
    evidence.token_budget = 100
    assert "budget" in broken_promises(evidence)


def test_memory_of_dead_owners_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def nothing(self: EnginePoller) -> None:
        """Leaves engines as they are."""

    monkeypatch.setattr(EnginePoller, "reconcile_memory", nothing)
    assert "memory" in broken_promises(run("call_streaming", "owner_killed"))


def test_a_refusal_of_a_call_that_ran_is_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    attempt = next(a for a in kept.watched.attempts if a.number == 1)
    told = attempt.outcome
    attempt.outcome = Refused(Step.ROUTE, Reason.NO_AUTHORITY)
    try:
        assert list(broken_promises(evidence)) == ["refusals"]
    finally:
        attempt.outcome = told


def test_calls_out_of_order_are_found(kept: Scene) -> None:
    engine = next(
        engine
        for engine in kept.system.engine_by_name.values()
        if engine.arrivals
    )
    first = engine.arrivals[0]
    late = replace(first, at=kept.system.world.now)
    engine.arrivals.append(late)
    try:
        assert "order" in broken_promises(kept.system.judge())
    finally:
        engine.arrivals.remove(late)


def test_a_mixed_history_is_found(kept: Scene) -> None:
    arrivals = kept.system.judge().arrivals()
    first, other = arrivals[0], arrivals[1]
    assert first.request.program != other.request.program
    engine = kept.system.engine_by_name[first.target]
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
        assert "history" in broken_promises(kept.system.judge())
    finally:
        engine.arrivals.remove(mixed)


def test_an_answer_that_is_not_whole_is_found(kept: Scene) -> None:
    wrong = Wrong(kept.watched.program, 1, "half", "half an answer")
    kept.watched.wrong.append(wrong)
    try:
        assert "answers" in broken_promises(kept.system.judge())
    finally:
        kept.watched.wrong.remove(wrong)


def test_an_action_that_never_ran_is_found(kept: Scene) -> None:
    runs = {}
    for application in kept.system.application_by_name.values():
        runs[application] = application.runs_by_key.pop("watched", 0)
    try:
        found = broken_promises(kept.system.judge())
        assert "completed_actions" in found
    finally:
        for application, count in runs.items():
            if count:
                application.runs_by_key["watched"] = count


def test_work_for_a_leaving_target_is_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    target = evidence.arrivals()[0].target
    evidence.leaving_shown_at[target] = -10.0
    try:
        assert "leaving" in broken_promises(evidence)
    finally:
        del evidence.leaving_shown_at[target]


def test_a_call_cut_off_by_a_stop_is_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    evidence.cut_by_drain.append(kept.watched.attempts[0])
    try:
        assert "graceful" in broken_promises(evidence)
    finally:
        evidence.cut_by_drain.clear()


def test_rules_that_go_back_are_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    applied = next(iter(evidence.rules_applied.values()))
    applied.append((kept.system.world.now, -1))
    try:
        assert "rules" in broken_promises(evidence)
    finally:
        applied.pop()


def test_rules_not_in_force_in_time_are_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    evidence.accepted_rules[10_000] = 0.0
    try:
        assert "rules" in broken_promises(evidence)
    finally:
        del evidence.accepted_rules[10_000]


def test_a_loop_past_its_limit_is_found(kept: Scene) -> None:
    evidence = kept.system.judge()
    limit = evidence.turn_limit
    evidence.turn_limit = 1
    try:
        assert "budget" in broken_promises(evidence)
    finally:
        evidence.turn_limit = limit


def _accepted() -> Verdict:
    return Verdict(True)
