"""Runs the scenarios of ``guarantees.feature`` in virtual time."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from lycheestall.rules.publisher import Published
from tests.fault_table import (
    FAULTS,
    STEPS,
    FaultRun,
    inject_fault,
    new_fault_run,
)
from tests.guarantees import violated_guarantees

scenarios("scenarios/guarantees.feature")

STEP_LIMIT_S = 30.0
GRACE_S = 40.0
ORDER = "watched"


def fault_table_name(words: str) -> str:
    """Returns the name of a fault or step given in words."""
    return words.replace(" ", "_")


@given(
    parsers.parse("{vms:d} entry VMs with rules in force"),
    target_fixture="fault_run",
)
def start_deployment(vms: int) -> FaultRun:
    return new_fault_run(11, vms=vms)


@given("a program that plans, pauses, orders poles and closes")
def program_is_added(fault_run: FaultRun) -> None:
    assert fault_run.watched in fault_run.deployment.caller_group.callers


@when(parsers.parse('"{fault}" occurs at "{step}"'))
def inject_fault_at_step(fault_run: FaultRun, fault: str, step: str) -> None:
    assert (
        fault_table_name(fault) in FAULTS and fault_table_name(step) in STEPS
    )
    assert inject_fault(
        fault_run,
        fault_table_name(step),
        fault_table_name(fault),
        limit_s=STEP_LIMIT_S,
    )


@when(parsers.parse('{delay_s:g} seconds later "{fault}" occurs'))
def inject_fault_later(
    fault_run: FaultRun, delay_s: float, fault: str
) -> None:
    fault_run.deployment.simulation.run_for(delay_s)
    FAULTS[fault_table_name(fault)](fault_run)


@when(parsers.parse('VM "{name}" is drained at "{step}"'))
def drain_vm_at_step(fault_run: FaultRun, name: str, step: str) -> None:
    step_reached = STEPS[fault_table_name(step)]
    simulation = fault_run.deployment.simulation
    assert simulation.run_while(
        lambda: not step_reached(fault_run), STEP_LIMIT_S
    )
    fault_run.deployment.drain_vm(name)


@then(parsers.parse("all programs finish within {limit_s:g} seconds"))
def programs_finish(fault_run: FaultRun, limit_s: float) -> None:
    assert fault_run.deployment.simulation.run_while(
        fault_run.deployment.caller_group.any_running, limit_s
    )
    for caller in fault_run.deployment.caller_group.callers:
        assert caller.finished, caller.give_up_reason


@then(
    parsers.parse(
        "the program's second call completes within {limit_s:g} seconds"
    )
)
def second_call_completes(fault_run: FaultRun, limit_s: float) -> None:
    def waiting() -> bool:
        return fault_run.watched.completed_calls < 2

    assert fault_run.deployment.simulation.run_while(waiting, limit_s)


@then("the order ran at most once")
def at_most_once(fault_run: FaultRun) -> None:
    assert order_runs(fault_run) <= 1


@then("the order ran exactly once")
def exactly_once(fault_run: FaultRun) -> None:
    assert order_runs(fault_run) == 1


def order_runs(fault_run: FaultRun) -> int:
    """Returns the number of runs of the watched program's order."""
    runs = 0
    for application in fault_run.deployment.application_by_name.values():
        runs += application.runs_by_key.get(ORDER, 0)
    return runs


@then(parsers.parse('VM "{name}" is gone within {limit_s:g} seconds'))
def vm_gone(fault_run: FaultRun, name: str, limit_s: float) -> None:
    def is_running() -> bool:
        return name in fault_run.deployment.vm_by_name

    assert fault_run.deployment.simulation.run_while(is_running, limit_s)


@then(parsers.parse("one publication is accepted within {limit_s:g} seconds"))
def one_publication_accepted(fault_run: FaultRun, limit_s: float) -> None:
    fault_run.deployment.simulation.run_for(limit_s)
    outcomes = [outcome for reply in fault_run.replies for outcome in reply]
    assert len(outcomes) == len(fault_run.replies) >= 2
    published = [
        result for result in outcomes if isinstance(result, Published)
    ]
    assert len(published) == 1


@then(parsers.parse("every VM has the same rules within {limit_s:g} seconds"))
def same_rules(fault_run: FaultRun, limit_s: float) -> None:
    fault_run.deployment.simulation.run_for(limit_s)
    versions = {
        running.node.rules().version
        for running in fault_run.deployment.vm_by_name.values()
    }
    assert len(versions) == 1


@then("every guarantee holds")
def guarantees_hold(fault_run: FaultRun) -> None:
    fault_run.deployment.simulation.run_for(GRACE_S)
    assert (
        violated_guarantees(fault_run.deployment.collect_observations()) == {}
    )
