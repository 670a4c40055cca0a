"""Scenarios that an operator can read, run in virtual time."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from lycheestall.rules.publisher import Published
from tests.fault_table import FAULTS, STEPS, Scene, new_scene, strike
from tests.promises import broken_promises

scenarios("scenarios/promises.feature")

REACH_LIMIT_S = 30.0
GRACE_S = 40.0
ORDER = "watched"


def key(words: str) -> str:
    """Returns the fault table's name for words of a scenario."""
    return words.replace(" ", "_")


@given(
    parsers.parse("{vms:d} entry VMs with rules in force"),
    target_fixture="scene",
)
def start(vms: int) -> Scene:
    return new_scene(11, vms=vms)


@given("a program that plans, pauses, orders poles and closes")
def program(scene: Scene) -> None:
    assert scene.watched in scene.system.crowd.callers


@when(parsers.parse('"{fault}" strikes at "{step}"'))
def fault_at(scene: Scene, fault: str, step: str) -> None:
    assert key(fault) in FAULTS and key(step) in STEPS
    assert strike(scene, key(step), key(fault), limit_s=REACH_LIMIT_S)


@when(parsers.parse('{gap_s:g} seconds later "{fault}" strikes'))
def fault_later(scene: Scene, gap_s: float, fault: str) -> None:
    scene.system.world.run_for(gap_s)
    FAULTS[key(fault)](scene)


@when(parsers.parse('VM "{name}" is stopped at "{step}"'))
def stop_at(scene: Scene, name: str, step: str) -> None:
    come = STEPS[key(step)]
    world = scene.system.world
    assert world.run_while(lambda: not come(scene), REACH_LIMIT_S)
    scene.system.drain_vm(name)


@then(parsers.parse("all programs finish within {limit_s:g} seconds"))
def programs_finish(scene: Scene, limit_s: float) -> None:
    assert scene.system.world.run_while(scene.system.crowd.busy, limit_s)
    for caller in scene.system.crowd.callers:
        assert caller.finished, caller.gave_up


@then(parsers.parse("the program's second answer comes within {s:g} seconds"))
def second_answer(scene: Scene, s: float) -> None:
    def waiting() -> bool:
        return scene.watched.answered < 2

    assert scene.system.world.run_while(waiting, s)


@then("the order ran at most once")
def at_most_once(scene: Scene) -> None:
    assert order_runs(scene) <= 1


@then("the order ran exactly once")
def exactly_once(scene: Scene) -> None:
    assert order_runs(scene) == 1


def order_runs(scene: Scene) -> int:
    """Returns how often the watched program's order took effect."""
    runs = 0
    for application in scene.system.application_by_name.values():
        runs += application.runs_by_key.get(ORDER, 0)
    return runs


@then(parsers.parse('VM "{name}" is gone within {limit_s:g} seconds'))
def vm_gone(scene: Scene, name: str, limit_s: float) -> None:
    def there() -> bool:
        return name in scene.system.vm_by_name

    assert scene.system.world.run_while(there, limit_s)


@then(parsers.parse("one publication wins within {limit_s:g} seconds"))
def one_wins(scene: Scene, limit_s: float) -> None:
    scene.system.world.run_for(limit_s)
    outcomes = [outcome for reply in scene.replies for outcome in reply]
    assert len(outcomes) == len(scene.replies) >= 2
    won = [found for found in outcomes if isinstance(found, Published)]
    assert len(won) == 1


@then(parsers.parse("every VM has the same rules within {limit_s:g} seconds"))
def same_rules(scene: Scene, limit_s: float) -> None:
    scene.system.world.run_for(limit_s)
    versions = {
        running.node.rules().version
        for running in scene.system.vm_by_name.values()
    }
    assert len(versions) == 1


@then("every promise holds")
def promises_hold(scene: Scene) -> None:
    scene.system.world.run_for(GRACE_S)
    assert broken_promises(scene.system.judge()) == {}
