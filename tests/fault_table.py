"""The fault matrix: the faults and the steps at which they are injected.

A step is a point in the processing of a call, a non-idempotent call, a
publication, a handover, a drain or a start. A fault affects the VM that
owns the watched program, its entry VM, a target, the platform or the
caller. Faults that cannot occur are listed with the reason.
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
from tests.simulated_deployment import ZONES, SimulatedDeployment
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
class FaultRun:
    """A run of a deployment into which a fault is injected.

    Attributes:
        deployment: The deployment.
        watched: The caller whose steps trigger the fault.
        replies: The replies to each publication.
        cell_entries_read: Number of entries of the cell's log stream that
            triggers have read.
    """

    deployment: SimulatedDeployment
    watched: FakeCaller
    replies: list[list[object]] = field(default_factory=list)
    cell_entries_read: int = 0
    rules_entries_read: int = 0

    @property
    def owner(self) -> str:
        """The VM that owns the watched program, or the first VM."""
        watched = self.watched
        partition = partition_of(watched.account, watched.program, PARTITIONS)
        for name, running in self.deployment.vm_by_name.items():
            if self.deployment.simulation.running(name):
                owner = running.node.cell.owner_of(partition)
                if owner is not None and owner in self.deployment.vm_by_name:
                    return owner
        return next(iter(self.deployment.vm_by_name))

    @property
    def entry(self) -> str:
        """The VM that received the watched caller's newest attempt."""
        if not self.watched.attempts:
            return self.owner
        vm = self.watched.attempts[-1].vm
        return vm if vm in self.deployment.vm_by_name else self.owner

    def others(self, name: str) -> list[str]:
        """All VMs except one."""
        return [vm for vm in self.deployment.vm_by_name if vm != name]

    def recorded(self, kind: type[object]) -> bool:
        """Returns whether the unread cell records include one of a kind.

        Records up to the first match count as read afterwards.
        """
        entries = self.deployment.log.entries("cell")
        for entry in entries[self.cell_entries_read :]:
            self.cell_entries_read += 1
            record = decode_record(entry.payload)
            if isinstance(record, Record) and isinstance(record.body, kind):
                return True
        return False

    def proposed(self) -> bool:
        """Returns whether the rules stream has a second proposal."""
        count = 0
        for entry in self.deployment.log.entries("rules"):
            record = decode_record(entry.payload)
            if isinstance(record, Record):
                count += isinstance(record.body, RulesProposed)
        return count >= 2


# Each trigger returns whether its step has been reached.

Trigger = Callable[[FaultRun], bool]


def _call_sent(number: int) -> Trigger:
    def step_reached(fault_run: FaultRun) -> bool:
        attempts = fault_run.watched.attempts
        return bool(attempts) and attempts[-1].number == number

    return step_reached


def _streaming(fault_run: FaultRun) -> bool:
    program = fault_run.watched.program
    for engine in fault_run.deployment.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if (
                program_name(stream.request.program) == program
                and stream.generated >= 2
            ):
                return True
    return False


def _between_calls(fault_run: FaultRun) -> bool:
    step = fault_run.watched._current_step()
    return isinstance(step, Pause)


def _action_running(fault_run: FaultRun) -> bool:
    for application in fault_run.deployment.application_by_name.values():
        if any(
            request.key == "watched"
            for _, _, request in (application.arrivals)
        ):
            return True
    return False


def _joining(fault_run: FaultRun) -> bool:
    return NEW_VM in fault_run.deployment.vm_by_name and fault_run.recorded(
        SessionJoined
    )


def _always(fault_run: FaultRun) -> bool:
    return True


STEPS: dict[str, Trigger] = {
    "call_sent": _call_sent(1),
    "call_streaming": _streaming,
    "between_calls": _between_calls,
    "action_sent": _call_sent(3),
    "intent_recorded": lambda fault_run: fault_run.recorded(IntentRecorded),
    "action_running": _action_running,
    "outcome_recorded": lambda fault_run: fault_run.recorded(OutcomeRecorded),
    "rules_asked": _always,
    "rules_proposed": FaultRun.proposed,
    "handover": lambda fault_run: fault_run.recorded(PartitionReleased),
    "drain": lambda fault_run: fault_run.recorded(PartitionReleased),
    "start": _joining,
}


def start_activity(step: str, fault_run: FaultRun) -> None:
    """Starts the publication, VM start or drain that a step belongs to.

    Args:
        step: Name of the step.
        fault_run: The run.
    """
    deployment = fault_run.deployment
    simulation = deployment.simulation
    if step in ("rules_asked", "rules_proposed"):
        version = deployment.vm_by_name[fault_run.owner].node.rules().version
        via = fault_run.others(fault_run.owner)[0]
        simulation.later(
            0.2 if step == "rules_proposed" else 0.0,
            lambda: fault_run.replies.append(
                deployment.publish(NEXT_RULES, base=version, via=via)
            ),
        )
    if step in ("handover", "start"):
        deployment.start_vm(NEW_VM, ZONES[0])
        deployment.start_vm(OTHER_NEW_VM, ZONES[1])
    if step == "drain":
        simulation.later(0.3, lambda: deployment.drain_vm(fault_run.owner))


# Each injector injects its fault once.

FaultInjector = Callable[[FaultRun], None]


def _kill_owner(fault_run: FaultRun) -> None:
    fault_run.deployment.kill_vm(fault_run.owner)


def _kill_entry(fault_run: FaultRun) -> None:
    fault_run.deployment.kill_vm(fault_run.entry)


def _pause_owner(fault_run: FaultRun) -> None:
    name = fault_run.owner
    simulation = fault_run.deployment.simulation
    simulation.pause(name)
    simulation.later(15.0, lambda: _resume(fault_run, name))


def _pause_owner_short(fault_run: FaultRun) -> None:
    name = fault_run.owner
    simulation = fault_run.deployment.simulation
    simulation.pause(name)
    simulation.later(3.0, lambda: _resume(fault_run, name))


def _resume(fault_run: FaultRun, name: str) -> None:
    if fault_run.deployment.simulation.clock_by_node[name].alive:
        fault_run.deployment.simulation.resume(name)


def _log_down(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.log.outage(now, now + 20.0)


def _log_down_for_owner(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.log.outage(now, now + 20.0, [fault_run.owner])


def _log_slow(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.log.slow(now, now + 20.0, 0.8)


def _log_answers_lost(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.log.lose_responses(now, now + 10.0)


def _log_repeats_late(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.log.duplicate_late(now, now + 10.0, 6.0)


def _retention_passes(fault_run: FaultRun) -> None:
    """Truncates the log up to what the most advanced VM has read.

    Real retention is far longer than the milliseconds after which a
    record is read, so records that no VM has read are kept.
    """
    log = fault_run.deployment.log
    nodes = [
        running.node for running in fault_run.deployment.vm_by_name.values()
    ]
    cell_read = max(node.cell.reader.folded for node in nodes)
    rules_read = max(node.rules_stream.reader.folded for node in nodes)
    log.retain_from("cell", min(log.end("cell") - 3, cell_read + 1))
    log.retain_from("rules", min(log.end("rules") - 1, rules_read + 1))


def _engine_crashes(fault_run: FaultRun) -> None:
    program = fault_run.watched.program
    for engine in fault_run.deployment.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if program_name(stream.request.program) == program:
                engine.crash()
                return
    fault_run.deployment.engine_by_name["engine-0"].crash()


def _engine_hangs(fault_run: FaultRun) -> None:
    program = fault_run.watched.program
    name = "engine-0"
    for engine in fault_run.deployment.engine_by_name.values():
        for stream in engine.stream_by_request.values():
            if program_name(stream.request.program) == program:
                name = engine.name
    simulation = fault_run.deployment.simulation
    simulation.pause(name)
    simulation.later(30.0, lambda: _resume(fault_run, name))


def _engine_leaves(fault_run: FaultRun) -> None:
    fault_run.deployment.mark_target_leaving("engine-0")


def _engines_slow(fault_run: FaultRun) -> None:
    for engine in fault_run.deployment.engine_by_name.values():
        engine.slowdown = 5.0


def _application_crashes(fault_run: FaultRun) -> None:
    for application in fault_run.deployment.application_by_name.values():
        application.crash_before = True


def _application_crashes_after(fault_run: FaultRun) -> None:
    for application in fault_run.deployment.application_by_name.values():
        application.crash_after = True


def _application_loses_answers(fault_run: FaultRun) -> None:
    until = fault_run.deployment.simulation.now + 5.0
    for application in fault_run.deployment.application_by_name.values():
        application.lose_answer_until = until


def _application_slow(fault_run: FaultRun) -> None:
    for application in fault_run.deployment.application_by_name.values():
        application.answer_delay_s = 4.0


def _application_leaves(fault_run: FaultRun) -> None:
    fault_run.deployment.mark_target_leaving("app-0")


def _link_silent(fault_run: FaultRun) -> None:
    for other in fault_run.others(fault_run.owner):
        fault_run.deployment.network.stall_connection(fault_run.owner, other)


def _link_one_way(fault_run: FaultRun) -> None:
    owner = fault_run.owner
    network = fault_run.deployment.network
    for other in fault_run.others(owner):
        network.block(owner, other)
        fault_run.deployment.simulation.later(
            12.0, lambda other=other: network.heal(owner, other)
        )


def _owner_cut_off(fault_run: FaultRun) -> None:
    owner, others = fault_run.owner, fault_run.others(fault_run.owner)
    deployment = fault_run.deployment
    deployment.network.isolate(owner, others)
    deployment.simulation.later(
        20.0, lambda: deployment.network.rejoin(owner, others)
    )


def _owner_cut_off_wholly(fault_run: FaultRun) -> None:
    _log_down_for_owner(fault_run)
    _owner_cut_off(fault_run)


def _zone_gone(fault_run: FaultRun) -> None:
    deployment = fault_run.deployment
    zone = ZONES[0]
    for name, running in list(deployment.vm_by_name.items()):
        if running.node.settings.zone == zone:
            deployment.kill_vm(name)
    for engine in deployment.engine_by_name.values():
        if engine.zone == zone:
            deployment.simulation.kill(engine.name)
    for application in deployment.application_by_name.values():
        if application.zone == zone:
            deployment.simulation.kill(application.name)


def _vm_list_stale(fault_run: FaultRun) -> None:
    now = fault_run.deployment.simulation.now
    fault_run.deployment.vm_list.outage(now, now + 30.0)
    _kill_owner(fault_run)


def _operators_race(fault_run: FaultRun) -> None:
    deployment = fault_run.deployment
    version = deployment.vm_by_name[fault_run.owner].node.rules().version
    for index, name in enumerate(list(deployment.vm_by_name)[:3]):
        line = f"weight of account trust is {index + 3}  # Ravi\n"
        text = RULES + line
        fault_run.replies.append(
            deployment.publish(text, base=version, via=name)
        )


def _caller_resends(fault_run: FaultRun) -> None:
    fault_run.watched.resend()


def _caller_loops(fault_run: FaultRun) -> None:
    fault_run.watched.loop(LOOPED_CALLS)


def _caller_vanishes(fault_run: FaultRun) -> None:
    fault_run.watched.vanish()


def _wall_clocks_step(fault_run: FaultRun) -> None:
    deployment = fault_run.deployment
    for index, name in enumerate(deployment.vm_by_name):
        deployment.wall_clock_step_ms[name] = (-1) ** index * 7_200_000


FAULTS: dict[str, FaultInjector] = {
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
    "frames_reordered": "a connection delivers in order; a new one has "
    "no frames of the old one",
    "frames_duplicated": "frames are not sent again on a new connection",
}

WATCHED_STEPS = (
    Chat("plan the run along the pass"),
    Pause(0.5),
    Chat("explain the marker spacing"),
    Action("watched"),
    Chat("close the run"),
)


def new_fault_run(seed: int, *, vms: int = 4) -> FaultRun:
    """Starts a deployment with rules in force and three callers.

    Args:
        seed: Seed of the simulation.
        vms: Number of entry VMs.
    """
    deployment = SimulatedDeployment(
        seed=seed, vms=vms, tuning=TuningSettings(partitions=PARTITIONS)
    )
    assert deployment.settle()
    deployment.simulation.run_for(2.5)
    first = next(iter(deployment.vm_by_name))
    replies = deployment.publish(RULES, base=-1, via=first)
    deployment.simulation.run_for(2.0)
    assert replies, "no reply to the first publication"
    version = deployment.vm_by_name[first].node.rules().version
    assert version >= 0, f"the first rules were not accepted: {replies}"
    deployment.observations.accepted_rules[version] = deployment.simulation.now
    deployment.observations.token_budget = TOKEN_BUDGET
    deployment.observations.money_calls = PAID_CALLS
    deployment.observations.turn_limit = TURN_LIMIT
    watched = deployment.add_caller("trust", WATCHED_STEPS)
    for index in range(2):
        deployment.add_caller(
            "trust",
            (
                Chat(f"run {index}"),
                Action(f"beside-{index}"),
                Pause(1.0),
                Chat("go on"),
            ),
        )
    fault_run = FaultRun(deployment, watched)
    fault_run.cell_entries_read = len(deployment.log.entries("cell"))
    return fault_run


def inject_fault(
    fault_run: FaultRun, step: str, fault: str, *, limit_s: float
) -> bool:
    """Runs to a step and injects a fault; False if it is not reached."""
    start_activity(step, fault_run)
    step_reached = STEPS[step]
    if not fault_run.deployment.simulation.run_while(
        lambda: not step_reached(fault_run), limit_s
    ):
        return False
    FAULTS[fault](fault_run)
    return True
