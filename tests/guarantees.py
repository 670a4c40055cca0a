"""Checkers of the guarantees, over what targets and callers recorded."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson

from lycheestall.outcomes import Completed, Refused
from tests.fake_application import FakeApplication
from tests.fake_callers import Attempt, FakeCaller
from tests.fake_engine import FakeEngine
from tests.target_traffic import Arrival, program_name, root_name

LEAVING_GRACE_S = 3.0
RULES_GRACE_S = 5.0


@dataclass
class Observations:
    """Everything that was recorded in a run.

    Attributes:
        callers: The programs.
        engines: The engines with their arrivals.
        applications: The applications with their runs.
        token_budget: Token budget of each program; None for no limit.
        money_calls: Number of paid actions that the money budget of a
            program covers; None for no limit.
        turn_limit: Chat calls allowed to each program; None for no limit.
        leaving_visible_at: True time at which a VM first read that a
            target is leaving, by target.
        cut_by_drain: Attempts that were open when the drain of their VM
            ended.
        rules_applied: Times and versions of the rules in force, by session.
        accepted_rules: True time at which each version was accepted.
        observed_at: True time at which the observations were collected.
        sessions_in_authority: Sessions that had authority at that time.
    """

    callers: Sequence[FakeCaller]
    engines: Sequence[FakeEngine]
    applications: Sequence[FakeApplication]
    token_budget: int | None = None
    money_calls: int | None = None
    turn_limit: int | None = None
    leaving_visible_at: dict[str, float] = field(default_factory=dict)
    cut_by_drain: list[Attempt] = field(default_factory=list)
    rules_applied: dict[str, list[tuple[float, int]]] = field(
        default_factory=dict
    )
    accepted_rules: dict[int, float] = field(default_factory=dict)
    observed_at: float = 0.0
    sessions_in_authority: list[str] = field(default_factory=list)

    def arrivals(self) -> list[Arrival]:
        """Returns the arrivals at all engines, ordered by virtual time."""
        merged: list[Arrival] = []
        for engine in self.engines:
            merged.extend(engine.arrivals)
        merged.sort(key=lambda arrival: arrival.at)
        return merged


def check_order(observations: Observations) -> list[str]:
    """Calls of a program reach engines in the order of their numbers."""
    violations: list[str] = []
    newest_by_program: dict[str, int] = {}
    for arrival in observations.arrivals():
        program = program_name(arrival.request.program)
        number = arrival.request.number
        newest = newest_by_program.get(program, 0)
        if number < newest:
            violations.append(f"{program}: call {number} after call {newest}")
        newest_by_program[program] = max(newest, number)
    return violations


def check_history(observations: Observations) -> list[str]:
    """Each engine receives exactly the messages that the program sent."""
    violations: list[str] = []
    caller_by_program = {c.program: c for c in observations.callers}
    for arrival in observations.arrivals():
        request = arrival.request
        caller = caller_by_program.get(program_name(request.program))
        if caller is None:
            violations.append(f"{request.program}: unknown program")
            continue
        sent = caller.bodies_by_number.get(request.number)
        if sent is None or not _same_messages(sent, request.body):
            violations.append(
                f"{request.program}: call {request.number} has other messages"
            )
    return violations


def _same_messages(left: bytes, right: bytes) -> bool:
    messages: bool = (
        orjson.loads(left)["messages"] == orjson.loads(right)["messages"]
    )
    return messages


def check_budget(observations: Observations) -> list[str]:
    """No program exceeds its budgets and its turn limit."""
    violations: list[str] = []
    for caller in observations.callers:
        tokens = 0
        for engine in observations.engines:
            tokens += engine.billed_by_program.get(caller.program, 0)
        budget = observations.token_budget
        if budget is not None and tokens > budget:
            violations.append(f"{caller.program}: {tokens} of {budget} tokens")
        paid = 0
        for application in observations.applications:
            for _, _, request in application.arrivals:
                paid += request.program == caller.program
        calls = observations.money_calls
        if calls is not None and paid > calls:
            violations.append(
                f"{caller.program}: {paid} of {calls} paid calls"
            )
        turns = _turn_count(observations, caller)
        limit = observations.turn_limit
        if limit is not None and turns > limit:
            violations.append(f"{caller.program}: {turns} of {limit} turns")
    return violations


def _turn_count(observations: Observations, caller: FakeCaller) -> int:
    numbers = {
        arrival.request.number
        for arrival in observations.arrivals()
        if program_name(arrival.request.program) == caller.program
    }
    return len(numbers)


def check_memory(observations: Observations) -> list[str]:
    """Engines hold no memory for programs that ended or vanished."""
    violations: list[str] = []
    ended_programs = {
        c.program for c in observations.callers if c.finished or c.vanished
    }
    for engine in observations.engines:
        if not engine.clock.alive:
            continue
        for held in engine.held():
            if root_name(held.program) in ended_programs:
                violations.append(f"{engine.name}: {held.name} {held.program}")
    return violations


def check_answers(observations: Observations) -> list[str]:
    """Every completed answer is complete and belongs to its call."""
    violations: list[str] = []
    for caller in observations.callers:
        for wrong_answer in caller.wrong_answers:
            violations.append(
                f"{wrong_answer.program} call {wrong_answer.number}: "
                f"{wrong_answer.actual!r}"
            )
    return violations


def check_refusals(observations: Observations) -> list[str]:
    """A call that was refused as not run did not reach a target."""
    violations: list[str] = []
    for caller in observations.callers:
        for index, attempt in enumerate(caller.attempts):
            if not attempt.number or not _earlier_attempts_refused(
                caller, index
            ):
                continue
            if not isinstance(attempt.outcome, Refused):
                continue
            until = _next_attempt_sent_at(caller, index)
            for at, description in _arrivals_of(observations, caller, attempt):
                if attempt.sent_at <= at < until:
                    violations.append(
                        f"{caller.program} call {attempt.number}: "
                        f"{attempt.outcome.reason}, but {description}"
                    )
    return violations


def _earlier_attempts_refused(caller: FakeCaller, index: int) -> bool:
    """Returns whether no earlier attempt of the call may still run."""
    number = caller.attempts[index].number
    for earlier in caller.attempts[:index]:
        if earlier.number != number:
            continue
        if not isinstance(earlier.outcome, Refused):
            return False
    return True


def _next_attempt_sent_at(caller: FakeCaller, index: int) -> float:
    number = caller.attempts[index].number
    for later in caller.attempts[index + 1 :]:
        if later.number == number:
            return later.sent_at
    return float("inf")


def _arrivals_of(
    observations: Observations, caller: FakeCaller, attempt: Attempt
) -> list[tuple[float, str]]:
    if attempt.key:
        return [
            (at, f"{application.name} ran {attempt.key}")
            for application in observations.applications
            for at, _, request in application.arrivals
            if request.key == attempt.key
        ]
    return [
        (arrival.at, f"{arrival.target} received it")
        for arrival in observations.arrivals()
        if program_name(arrival.request.program) == caller.program
        and arrival.request.number == attempt.number
    ]


def check_at_most_once(observations: Observations) -> list[str]:
    """A non-idempotent call runs at most once."""
    total_by_key: dict[str, int] = {}
    for application in observations.applications:
        for key, runs in application.runs_by_key.items():
            total_by_key[key] = total_by_key.get(key, 0) + runs
    return [
        f"{key}: {total} runs"
        for key, total in total_by_key.items()
        if total > 1
    ]


def check_completed_actions(observations: Observations) -> list[str]:
    """A non-idempotent call that was reported as completed has run."""
    keys_run = set()
    for application in observations.applications:
        keys_run.update(application.runs_by_key)
    violations: list[str] = []
    for caller in observations.callers:
        for attempt in caller.attempts:
            completed = isinstance(attempt.outcome, Completed)
            if attempt.key and completed and attempt.key not in keys_run:
                violations.append(f"{attempt.key}: completed, but never run")
    return violations


def check_leaving(observations: Observations) -> list[str]:
    """A leaving target gets no new requests after a grace period."""
    violations: list[str] = []
    for arrival in observations.arrivals():
        visible_at = observations.leaving_visible_at.get(arrival.target)
        if visible_at is None or arrival.at <= visible_at + LEAVING_GRACE_S:
            continue
        late_s = arrival.at - visible_at
        violations.append(
            f"{arrival.target}: request {late_s:.1f} s after leaving"
        )
    return violations


def check_graceful(observations: Observations) -> list[str]:
    """A drain interrupts no call in progress."""
    return [
        f"call {attempt.number} on {attempt.vm}: {attempt.outcome}"
        for attempt in observations.cut_by_drain
    ]


def check_rules(observations: Observations) -> list[str]:
    """Rule versions never decrease and apply within a grace period."""
    violations: list[str] = []
    for session, applied in observations.rules_applied.items():
        versions = [version for _, version in applied]
        if versions != sorted(versions):
            violations.append(f"{session}: versions {versions}")
    due_versions = [
        version
        for version, at in observations.accepted_rules.items()
        if at + RULES_GRACE_S <= observations.observed_at
    ]
    newest = max(due_versions, default=-1)
    for session in observations.sessions_in_authority:
        applied = observations.rules_applied.get(session, [])
        if newest >= 0 and (not applied or applied[-1][1] < newest):
            violations.append(
                f"{session}: has authority without rules version {newest}"
            )
    return violations


CHECKS = {
    "order": check_order,
    "history": check_history,
    "budget": check_budget,
    "memory": check_memory,
    "answers": check_answers,
    "refusals": check_refusals,
    "at_most_once": check_at_most_once,
    "completed_actions": check_completed_actions,
    "leaving": check_leaving,
    "graceful": check_graceful,
    "rules": check_rules,
}


def violated_guarantees(observations: Observations) -> dict[str, list[str]]:
    """Returns the violations by checker, without checkers that found none."""
    violations_by_name: dict[str, list[str]] = {}
    for name, check in CHECKS.items():
        violations = check(observations)
        if violations:
            violations_by_name[name] = violations
    return violations_by_name
