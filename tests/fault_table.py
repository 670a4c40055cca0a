"""The fault matrix: each fault, each step it can strike at.

A step is a moment in the life of a call, a non-idempotent call, a
publication, a handover, a drain or a start. A fault strikes the VM that
owns the watched program, its entry VM, a target, the platform or the
caller. Cells that cannot occur are named with the reason.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lycheestall.codec import decode_record
from lycheestall.partitions import partition_of
from lycheestall.records import (
    IntentRecorded,
    OutcomeRecorded,
    PartitionReleased,
    Record,
    RulesProposed,
    SessionJoined,
)
from lycheestall.settings import TuningSettings
from tests.fake_callers import Action, Chat, FakeCaller, Pause
from tests.system import ZONES, System
from tests.target_traffic import program_name

PARTITIONS = 16
NEW_VM = "vm-90"
OTHER_NEW_VM = "vm-91"

TOKEN_BUDGET = 4_000
PAID_CALLS = 2
TURN_LIMIT = 12
LOOPED_CALLS = 40
RULES = """\
budget of account trust is 4k tokens, 20 calls, 6.00 EUR  # Asha, north crew
operation POST /orders of application orders is non-idempotent \
and costs 3.00 EUR  # Asha, north crew
turn limit of account trust is 12 turns  # Asha, north crew
"""
NEXT_RULES = RULES + "weight of account trust is 2  # Ravi, south crew\n"


@dataclass
class Scene:
    """A run on which a fault strikes.

    Attributes:
        system: The deployment.
        watched: The program whose steps trigger the fault.
        replies: What publications were answered.
        log_mark: How much of the cell's stream was read by a trigger.
    """

    system: System
    watched: FakeCaller
    replies: list[list[object]] = field(default_factory=list)
    log_mark: int = 0
    rules_mark: int = 0

    @property
    def owner(self) -> str:
        """The VM that owns the watched program, or any running one."""
        watched = self.watched
        partition = partition_of(watched.account, watched.program, PARTITIONS)
        for name, running in self.system.vm_by_name.items():
            if self.system.world.running(name):
                owner = running.node.cell.owner_of(partition)
                if owner is not None and owner in self.system.vm_by_name:
                    return owner
        return next(iter(self.system.vm_by_name))

    @property
    def entry(self) -> str:
        """The VM that took the watched program's newest attempt."""
        if not self.watched.attempts:
            return self.owner
        vm = self.watched.attempts[-1].vm
        return vm if vm in self.system.vm_by_name else self.owner

    def others(self, name: str) -> list[str]:
        """The VMs but one."""
        return [vm for vm in self.system.vm_by_name if vm != name]

    def recorded(self, kind: type[object]) -> bool:
        """Whether a record of a kind came into the cell's stream."""
        entries = self.system.log.entries("cell")
        for entry in entries[self.log_mark :]:
            self.log_mark += 1
            record = decode_record(entry.payload)
            if isinstance(record, Record) and isinstance(record.body, kind):
                return True
        return False

    def proposed(self) -> bool:
        """Whether a second rules proposal is in its stream."""
        found = 0
        for entry in self.system.log.entries("rules"):
            record = decode_record(entry.payload)
            if isinstance(record, Record):
                found += isinstance(record.body, RulesProposed)
        return found >= 2


# Steps: each says whether its moment has come.

Trigger = Callable[[Scene], bool]


def _sent(number: int) -> Trigger:
    def come(scene: Scene) -> bool:
        attempts = scene.watched.attempts
        return bool(attempts) and attempts[-1].number == number

    return come


def _streaming(scene: Scene) -> bool:
    program = scene.watched.program
    for engine in scene.system.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if (
                program_name(stream.request.program) == program
                and stream.generated >= 2
            ):
                return True
    return False


def _pausing(scene: Scene) -> bool:
    step = scene.watched._step()
    return isinstance(step, Pause)


def _action_running(scene: Scene) -> bool:
    for application in scene.system.application_by_name.values():
        if any(
            request.key == "watched"
            for _, _, request in (application.arrivals)
        ):
            return True
    return False


def _joining(scene: Scene) -> bool:
    return NEW_VM in scene.system.vm_by_name and scene.recorded(SessionJoined)


def _always(scene: Scene) -> bool:
    return True


STEPS: dict[str, Trigger] = {
    "call_sent": _sent(1),
    "call_streaming": _streaming,
    "between_calls": _pausing,
    "action_sent": _sent(3),
    "intent_recorded": lambda scene: scene.recorded(IntentRecorded),
    "action_running": _action_running,
    "outcome_recorded": lambda scene: scene.recorded(OutcomeRecorded),
    "rules_asked": _always,
    "rules_proposed": Scene.proposed,
    "handover": lambda scene: scene.recorded(PartitionReleased),
    "drain": lambda scene: scene.recorded(PartitionReleased),
    "start": _joining,
}


def prepare(step: str, scene: Scene) -> None:
    """Sets off what a step belongs to, besides the programs.

    Args:
        step: The step's name.
        scene: The run.
    """
    system = scene.system
    world = system.world
    if step in ("rules_asked", "rules_proposed"):
        version = system.vm_by_name[scene.owner].node.rules().version
        via = scene.others(scene.owner)[0]
        world.later(
            0.2 if step == "rules_proposed" else 0.0,
            lambda: scene.replies.append(
                system.publish(NEXT_RULES, base=version, via=via)
            ),
        )
    if step in ("handover", "start"):
        system.start_vm(NEW_VM, ZONES[0])
        system.start_vm(OTHER_NEW_VM, ZONES[1])
    if step == "drain":
        world.later(0.3, lambda: system.drain_vm(scene.owner))


# Faults: each strikes once.

Fault = Callable[[Scene], None]


def _kill_owner(scene: Scene) -> None:
    scene.system.kill_vm(scene.owner)


def _kill_entry(scene: Scene) -> None:
    scene.system.kill_vm(scene.entry)


def _pause_owner(scene: Scene) -> None:
    name = scene.owner
    world = scene.system.world
    world.pause(name)
    world.later(15.0, lambda: _resume(scene, name))


def _pause_owner_short(scene: Scene) -> None:
    name = scene.owner
    world = scene.system.world
    world.pause(name)
    world.later(3.0, lambda: _resume(scene, name))


def _resume(scene: Scene, name: str) -> None:
    if scene.system.world.clock_by_node[name].alive:
        scene.system.world.resume(name)


def _log_down(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.log.outage(now, now + 20.0)


def _log_down_for_owner(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.log.outage(now, now + 20.0, [scene.owner])


def _log_slow(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.log.slow(now, now + 20.0, 0.8)


def _log_answers_lost(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.log.lose_responses(now, now + 10.0)


def _log_repeats_late(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.log.duplicate_late(now, now + 10.0, 6.0)


def _retention_passes(scene: Scene) -> None:
    """Drops what some VM has read; unread records outlive milliseconds."""
    log = scene.system.log
    nodes = [running.node for running in scene.system.vm_by_name.values()]
    cell_read = max(node.cell.reader.folded for node in nodes)
    rules_read = max(node.rules_stream.reader.folded for node in nodes)
    log.retain_from("cell", min(log.end("cell") - 3, cell_read + 1))
    log.retain_from("rules", min(log.end("rules") - 1, rules_read + 1))


def _engine_crashes(scene: Scene) -> None:
    program = scene.watched.program
    for engine in scene.system.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if program_name(stream.request.program) == program:
                engine.crash()
                return
    scene.system.engine_by_name["engine-0"].crash()


def _engine_hangs(scene: Scene) -> None:
    program = scene.watched.program
    name = "engine-0"
    for engine in scene.system.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if program_name(stream.request.program) == program:
                name = engine.name
    world = scene.system.world
    world.pause(name)
    world.later(30.0, lambda: _resume(scene, name))


def _engine_leaves(scene: Scene) -> None:
    scene.system.leave_target("engine-0")


def _engines_slow(scene: Scene) -> None:
    for engine in scene.system.engine_by_name.values():
        engine.slowdown = 5.0


def _application_crashes(scene: Scene) -> None:
    for application in scene.system.application_by_name.values():
        application.crash_before = True


def _application_crashes_after(scene: Scene) -> None:
    for application in scene.system.application_by_name.values():
        application.crash_after = True


def _application_loses_answers(scene: Scene) -> None:
    until = scene.system.world.now + 5.0
    for application in scene.system.application_by_name.values():
        application.lose_answer_until = until


def _application_slow(scene: Scene) -> None:
    for application in scene.system.application_by_name.values():
        application.slow_s = 4.0


def _application_leaves(scene: Scene) -> None:
    scene.system.leave_target("app-0")


def _link_silent(scene: Scene) -> None:
    for other in scene.others(scene.owner):
        scene.system.network.stall_connection(scene.owner, other)


def _link_one_way(scene: Scene) -> None:
    owner = scene.owner
    network = scene.system.network
    for other in scene.others(owner):
        network.block(owner, other)
        scene.system.world.later(
            12.0, lambda other=other: network.heal(owner, other)
        )


def _owner_cut_off(scene: Scene) -> None:
    owner, others = scene.owner, scene.others(scene.owner)
    system = scene.system
    system.network.isolate(owner, others)
    system.world.later(20.0, lambda: system.network.rejoin(owner, others))


def _owner_cut_off_wholly(scene: Scene) -> None:
    _log_down_for_owner(scene)
    _owner_cut_off(scene)


def _zone_gone(scene: Scene) -> None:
    system = scene.system
    zone = ZONES[0]
    for name, running in list(system.vm_by_name.items()):
        if running.node.settings.zone == zone:
            system.kill_vm(name)
    for engine in system.engine_by_name.values():
        if engine.zone == zone:
            system.world.kill(engine.name)
    for application in system.application_by_name.values():
        if application.zone == zone:
            system.world.kill(application.name)


def _vm_list_stale(scene: Scene) -> None:
    now = scene.system.world.now
    scene.system.vm_list.outage(now, now + 30.0)
    _kill_owner(scene)


def _operators_race(scene: Scene) -> None:
    system = scene.system
    version = system.vm_by_name[scene.owner].node.rules().version
    for index, name in enumerate(list(system.vm_by_name)[:3]):
        line = f"weight of account trust is {index + 3}  # Ravi\n"
        text = RULES + line
        scene.replies.append(system.publish(text, base=version, via=name))


def _caller_resends(scene: Scene) -> None:
    scene.watched.resend()


def _caller_loops(scene: Scene) -> None:
    scene.watched.loop(LOOPED_CALLS)


def _caller_vanishes(scene: Scene) -> None:
    scene.watched.vanish()


def _wall_clocks_step(scene: Scene) -> None:
    system = scene.system
    for index, name in enumerate(system.vm_by_name):
        system.wall_step_ms[name] = (-1) ** index * 7_200_000


FAULTS: dict[str, Fault] = {
    "owner_killed": _kill_owner,
    "entry_killed": _kill_entry,
    "owner_paused_past_lease": _pause_owner,
    "owner_paused_within_lease": _pause_owner_short,
    "log_down": _log_down,
    "log_down_for_owner": _log_down_for_owner,
    "log_slow": _log_slow,
    "log_answers_lost": _log_answers_lost,
    "log_repeats_late": _log_repeats_late,
    "retention_passes": _retention_passes,
    "engine_crashes": _engine_crashes,
    "engine_hangs": _engine_hangs,
    "engine_leaves": _engine_leaves,
    "engines_slow": _engines_slow,
    "application_crashes_before": _application_crashes,
    "application_crashes_after": _application_crashes_after,
    "application_loses_answers": _application_loses_answers,
    "application_slow": _application_slow,
    "application_leaves": _application_leaves,
    "links_silent": _link_silent,
    "links_one_way": _link_one_way,
    "owner_cut_off": _owner_cut_off,
    "owner_cut_off_wholly": _owner_cut_off_wholly,
    "zone_gone": _zone_gone,
    "vm_list_stale": _vm_list_stale,
    "operators_race": _operators_race,
    "caller_resends": _caller_resends,
    "caller_vanishes": _caller_vanishes,
    "caller_loops": _caller_loops,
    "wall_clocks_step": _wall_clocks_step,
}

CANNOT_OCCUR = {
    "frames_reordered": "a connection delivers in order; a new one starts "
    "with nothing of the old",
    "frames_duplicated": "nothing sends a frame again on a new connection",
}

WATCHED_STEPS = (
    Chat("plan the run along the pass"),
    Pause(0.5),
    Chat("explain the marker spacing"),
    Action("watched"),
    Chat("close the run"),
)


def new_scene(seed: int, *, vms: int = 4) -> Scene:
    """Returns a settled run with rules in force and programs added.

    Args:
        seed: The world's seed.
        vms: How many entry VMs.
    """
    system = System(
        seed=seed, vms=vms, tuning=TuningSettings(partitions=PARTITIONS)
    )
    assert system.settle()
    system.world.run_for(2.5)
    first = next(iter(system.vm_by_name))
    replies = system.publish(RULES, base=-1, via=first)
    system.world.run_for(2.0)
    assert replies, "no answer to the first publication"
    version = system.vm_by_name[first].node.rules().version
    assert version >= 0, f"the first rules were not accepted: {replies}"
    system.evidence.accepted_rules[version] = system.world.now
    system.evidence.token_budget = TOKEN_BUDGET
    system.evidence.money_calls = PAID_CALLS
    system.evidence.turn_limit = TURN_LIMIT
    watched = system.add_caller("trust", WATCHED_STEPS)
    for index in range(2):
        system.add_caller(
            "trust",
            (
                Chat(f"run {index}"),
                Action(f"beside-{index}"),
                Pause(1.0),
                Chat("go on"),
            ),
        )
    scene = Scene(system, watched)
    scene.log_mark = len(system.log.entries("cell"))
    return scene


def strike(scene: Scene, step: str, fault: str, *, limit_s: float) -> bool:
    """Runs to a step, lets a fault strike; False if it never came."""
    prepare(step, scene)
    come = STEPS[step]
    if not scene.system.world.run_while(lambda: not come(scene), limit_s):
        return False
    FAULTS[fault](scene)
    return True
