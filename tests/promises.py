"""Checkers of the ten promises, from what targets and callers saw."""

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
class Evidence:
    """Everything that a run left behind.

    Attributes:
        callers: The programs.
        engines: The engines with their arrivals.
        applications: The applications with their run counts.
        token_budget: The tokens each program may spend, None for any.
        money_calls: The paid actions each program may run, None for any.
        turn_limit: The chat calls each program may make, None for any.
        leaving_shown_at: When each leaving target's news reached a VM.
        cut_by_drain: Attempts that a planned stop cut off.
        rules_applied: By session, the versions in force over time.
        accepted_rules: True time at which each version was accepted.
        judged_at: True time of the judgement.
        sessions_in_authority: Sessions that may act at that time.
    """

    callers: Sequence[FakeCaller]
    engines: Sequence[FakeEngine]
    applications: Sequence[FakeApplication]
    token_budget: int | None = None
    money_calls: int | None = None
    turn_limit: int | None = None
    leaving_shown_at: dict[str, float] = field(default_factory=dict)
    cut_by_drain: list[Attempt] = field(default_factory=list)
    rules_applied: dict[str, list[tuple[float, int]]] = field(
        default_factory=dict
    )
    accepted_rules: dict[int, float] = field(default_factory=dict)
    judged_at: float = 0.0
    sessions_in_authority: list[str] = field(default_factory=list)

    def arrivals(self) -> list[Arrival]:
        """Returns every engine arrival in true time order."""
        merged: list[Arrival] = []
        for engine in self.engines:
            merged.extend(engine.arrivals)
        merged.sort(key=lambda arrival: arrival.at)
        return merged


def check_order(evidence: Evidence) -> list[str]:
    """Calls of one program reach engines in the program's order."""
    found: list[str] = []
    newest_by_program: dict[str, int] = {}
    for arrival in evidence.arrivals():
        program = program_name(arrival.request.program)
        number = arrival.request.number
        newest = newest_by_program.get(program, 0)
        if number < newest:
            found.append(f"{program}: call {number} after call {newest}")
        newest_by_program[program] = max(newest, number)
    return found


def check_history(evidence: Evidence) -> list[str]:
    """Each engine sees just the history that the program sent."""
    found: list[str] = []
    caller_by_program = {c.program: c for c in evidence.callers}
    for arrival in evidence.arrivals():
        request = arrival.request
        caller = caller_by_program.get(program_name(request.program))
        if caller is None:
            found.append(f"{request.program}: nobody's program")
            continue
        sent = caller.bodies_by_number.get(request.number)
        if sent is None or not _same_messages(sent, request.body):
            found.append(f"{request.program}: call {request.number} mixed")
    return found


def _same_messages(left: bytes, right: bytes) -> bool:
    messages: bool = (
        orjson.loads(left)["messages"] == orjson.loads(right)["messages"]
    )
    return messages


def check_budget(evidence: Evidence) -> list[str]:
    """No program spends beyond its budget."""
    found: list[str] = []
    for caller in evidence.callers:
        tokens = 0
        for engine in evidence.engines:
            tokens += engine.billed_by_program.get(caller.program, 0)
        budget = evidence.token_budget
        if budget is not None and tokens > budget:
            found.append(f"{caller.program}: {tokens} of {budget} tokens")
        paid = 0
        for application in evidence.applications:
            for _, _, request in application.arrivals:
                paid += request.program == caller.program
        calls = evidence.money_calls
        if calls is not None and paid > calls:
            found.append(f"{caller.program}: {paid} of {calls} paid calls")
        turns = _turns(evidence, caller)
        limit = evidence.turn_limit
        if limit is not None and turns > limit:
            found.append(f"{caller.program}: {turns} of {limit} turns")
    return found


def _turns(evidence: Evidence, caller: FakeCaller) -> int:
    numbers = {
        arrival.request.number
        for arrival in evidence.arrivals()
        if program_name(arrival.request.program) == caller.program
    }
    return len(numbers)


def check_memory(evidence: Evidence) -> list[str]:
    """Engines hold nothing for programs that ended or vanished."""
    found: list[str] = []
    over = {c.program for c in evidence.callers if c.finished or c.vanished}
    for engine in evidence.engines:
        if not engine.clock.alive:
            continue
        for held in engine.held():
            if root_name(held.program) in over:
                found.append(f"{engine.name}: {held.name} {held.program}")
    return found


def check_answers(evidence: Evidence) -> list[str]:
    """Every answer called complete is whole and the call's own."""
    found: list[str] = []
    for caller in evidence.callers:
        for wrong in caller.wrong:
            found.append(f"{wrong.program} call {wrong.number}: {wrong.got!r}")
    return found


def check_refusals(evidence: Evidence) -> list[str]:
    """What was refused as not run did not reach a target."""
    found: list[str] = []
    for caller in evidence.callers:
        for index, attempt in enumerate(caller.attempts):
            if not attempt.number or not _is_clean(caller, index):
                continue
            if not isinstance(attempt.outcome, Refused):
                continue
            until = _next_sent(caller, index)
            for at, what in _reached(evidence, caller, attempt):
                if attempt.sent_at <= at < until:
                    found.append(
                        f"{caller.program} call {attempt.number}: "
                        f"{attempt.outcome.reason} yet {what}"
                    )
    return found


def _is_clean(caller: FakeCaller, index: int) -> bool:
    """Whether no earlier attempt of the call may still be under way."""
    number = caller.attempts[index].number
    for earlier in caller.attempts[:index]:
        if earlier.number != number:
            continue
        if not isinstance(earlier.outcome, Refused):
            return False
    return True


def _next_sent(caller: FakeCaller, index: int) -> float:
    number = caller.attempts[index].number
    for later in caller.attempts[index + 1 :]:
        if later.number == number:
            return later.sent_at
    return float("inf")


def _reached(
    evidence: Evidence, caller: FakeCaller, attempt: Attempt
) -> list[tuple[float, str]]:
    if attempt.key:
        return [
            (at, f"{application.name} ran {attempt.key}")
            for application in evidence.applications
            for at, _, request in application.arrivals
            if request.key == attempt.key
        ]
    return [
        (arrival.at, f"{arrival.target} got it")
        for arrival in evidence.arrivals()
        if program_name(arrival.request.program) == caller.program
        and arrival.request.number == attempt.number
    ]


def check_at_most_once(evidence: Evidence) -> list[str]:
    """A non-idempotent call runs at most once."""
    total_by_key: dict[str, int] = {}
    for application in evidence.applications:
        for key, runs in application.runs_by_key.items():
            total_by_key[key] = total_by_key.get(key, 0) + runs
    return [f"{key}: {n} runs" for key, n in total_by_key.items() if n > 1]


def check_completed_actions(evidence: Evidence) -> list[str]:
    """A non-idempotent call reported complete did run."""
    run = set()
    for application in evidence.applications:
        run.update(application.runs_by_key)
    found: list[str] = []
    for caller in evidence.callers:
        for attempt in caller.attempts:
            done = isinstance(attempt.outcome, Completed)
            if attempt.key and done and attempt.key not in run:
                found.append(f"{attempt.key}: complete yet never run")
    return found


def check_leaving(evidence: Evidence) -> list[str]:
    """A leaving target gets no new work after a few seconds."""
    found: list[str] = []
    for arrival in evidence.arrivals():
        shown_at = evidence.leaving_shown_at.get(arrival.target)
        if shown_at is None or arrival.at <= shown_at + LEAVING_GRACE_S:
            continue
        late_s = arrival.at - shown_at
        found.append(f"{arrival.target}: work {late_s:.1f} s later")
    return found


def check_graceful(evidence: Evidence) -> list[str]:
    """A planned stop cuts off no request in flight."""
    return [
        f"call {attempt.number} on {attempt.vm}: {attempt.outcome}"
        for attempt in evidence.cut_by_drain
    ]


def check_rules(evidence: Evidence) -> list[str]:
    """Rules never go back and are in force within seconds."""
    found: list[str] = []
    for session, applied in evidence.rules_applied.items():
        versions = [version for _, version in applied]
        if versions != sorted(versions):
            found.append(f"{session}: versions {versions}")
    due = [
        version
        for version, at in evidence.accepted_rules.items()
        if at + RULES_GRACE_S <= evidence.judged_at
    ]
    newest = max(due, default=-1)
    for session in evidence.sessions_in_authority:
        applied = evidence.rules_applied.get(session, [])
        if newest >= 0 and (not applied or applied[-1][1] < newest):
            found.append(f"{session}: acts without version {newest}")
    return found


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


def broken_promises(evidence: Evidence) -> dict[str, list[str]]:
    """Returns what each checker found, for those that found anything."""
    found_by_name: dict[str, list[str]] = {}
    for name, check in CHECKS.items():
        found = check(evidence)
        if found:
            found_by_name[name] = found
    return found_by_name
