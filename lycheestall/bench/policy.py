"""Runs scheduling policies over modelled engines on a virtual clock.

Each VM has its own scheduler with its own partial view: it sees its own
programs, load reports that lag and cache events that come late and with
gaps. There is no network model.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from zlib import crc32

from ..dispatch import ChatJob
from ..dispatch_commands import (
    DispatchCommand,
    EndFailed,
    EndRefused,
    JobKey,
    ReleaseMemory,
    SendJob,
)
from ..engine_directory import EngineEntry
from ..engine_model import (
    ModelEvent,
    RequestFinished,
    TokensStarted,
)
from ..engine_scheduler import EngineScheduler
from ..ids import ProgramId, TargetId, VmId, ZoneId
from ..targets import CacheEvents, EngineDone, EngineRefused, LoadReport
from ._engine import BenchEngine, SentJob
from ._programs import BenchProgram, BenchTally, JobSink
from ._rules import BenchRules
from ._scheduler import BenchScheduler
from ._timeline import Timeline
from .baselines import BASELINE_NAMES, BaselineScheduler
from .config import BenchConfig, BenchFaults
from .plans import ProgramPlan

__all__ = ["POLICY_NAMES", "BenchConfig", "BenchFaults", "PolicyBench"]

POLICY_NAMES = (*BASELINE_NAMES, "lycheestall")
BROKEN_AFTER_S = 1.25
DRAIN_S = 1800.0


@dataclass(slots=True)
class _Vm:
    vm: VmId
    scheduler: BenchScheduler
    wake_at: float | None = None


class PolicyBench(JobSink):
    """One run of one policy over one workload."""

    def __init__(
        self,
        policy: str,
        plans: list[ProgramPlan],
        config: BenchConfig,
        *,
        seed: int,
    ) -> None:
        """Prepares a run.

        Args:
            policy: One of ``POLICY_NAMES``.
            plans: The workload.
            config: Sizes, lags and faults.
            seed: Decides lost events and ties.
        """
        self._config = config
        self._plans = plans
        self._timeline = Timeline()
        self._random = Random(f"bench/{seed}")
        self.tally = BenchTally()
        self._engine_by_target = self._make_engines()
        self._entries = tuple(
            EngineEntry(target, ZoneId("zone"))
            for target in self._engine_by_target
        )
        self._vms = [
            _Vm(VmId(f"vm{index}"), self._make_scheduler(policy, index))
            for index in range(config.vms)
        ]
        self._vm_by_id = {vm.vm: vm for vm in self._vms}
        self._keys = 0
        self._program_by_key: dict[JobKey, BenchProgram] = {}
        self._streaming: set[JobKey] = set()

    def run(self) -> BenchTally:
        """Runs until every program has ended, or far past the horizon."""
        timeline, config = self._timeline, self._config
        for vm in self._vms:
            self._execute(vm, vm.scheduler.set_engines(self._entries, 0.0))
        programs = [
            BenchProgram(plan, self, timeline, self.tally)
            for plan in self._plans
        ]
        for program in programs:
            timeline.at(program.plan.arrival_s, program.start)
        for index, engine in enumerate(self._engine_by_target.values()):
            offset = index / len(self._engine_by_target)
            timeline.at(offset, self._report, engine)
            timeline.at(offset, self._publish_cache, engine)
        self._plan_faults()
        timeline.run(
            config.horizon_s + DRAIN_S,
            lambda: self.tally.ended >= len(self._plans),
        )
        for program in programs:
            program.give_up()
        return self.tally

    def submit_job(self, program: BenchProgram, job: ChatJob) -> None:
        """Hands a program's call to the VM that owns the program."""
        self._keys += 1
        key = JobKey(self._keys)
        self._program_by_key[key] = program
        vm = self._owner(job.root)
        now = self._timeline.now
        self._execute(vm, vm.scheduler.submit(key, job, now))

    def program_paused(self, root: ProgramId) -> None:
        """Tells the owner that a program waits for a tool."""
        vm = self._owner(root)
        vm.scheduler.program_paused(root, self._timeline.now)

    def program_ended(self, root: ProgramId) -> None:
        """Tells the owner that a program ended."""
        vm = self._owner(root)
        now = self._timeline.now
        self._execute(vm, vm.scheduler.program_ended(root, now))

    def _owner(self, root: ProgramId) -> _Vm:
        return self._vms[crc32(root.encode()) % len(self._vms)]

    def _make_engines(self) -> dict[TargetId, BenchEngine]:
        engines: dict[TargetId, BenchEngine] = {}
        for index in range(self._config.engines):
            target = TargetId(f"engine{index}")
            engines[target] = BenchEngine(
                target,
                self._config.costs,
                timeline=self._timeline,
                on_event=self._engine_event,
                event_loss=self._config.cache_loss,
                random=self._random,
            )
        return engines

    def _make_scheduler(self, policy: str, index: int) -> BenchScheduler:
        if policy in BASELINE_NAMES:
            return BaselineScheduler(policy, seed=index)
        rules = BenchRules()
        return EngineScheduler(
            vm=VmId(f"vm{index}"),
            seed=index,
            rules=lambda: rules,
            quarantined=lambda fingerprint: False,
            cell_size=lambda: self._config.vms,
            wall_ms=lambda: int(self._timeline.now * 1000),
        )

    def _execute(self, vm: _Vm, commands: Iterable[DispatchCommand]) -> None:
        for command in commands:
            if isinstance(command, SendJob):
                self._send(vm, command)
            elif isinstance(command, EndRefused):
                program = self._program_by_key.pop(command.key)
                program.refused(command.outcome)
            elif isinstance(command, EndFailed):
                program = self._program_by_key.pop(command.key)
                program.failed(command.outcome)
            elif isinstance(command, ReleaseMemory):
                self._release(vm, command)
        self._plan_wake(vm)

    def _release(self, vm: _Vm, command: ReleaseMemory) -> None:
        engine = self._engine_by_target[command.target]
        if engine.down:
            return
        engine.release(command.program)
        vm.scheduler.release_confirmed(command.target, command.program)

    def _plan_wake(self, vm: _Vm) -> None:
        wake_at = vm.scheduler.next_wake(self._timeline.now)
        if wake_at is None or wake_at == vm.wake_at:
            return
        vm.wake_at = wake_at
        self._timeline.at(wake_at, self._wake, vm, wake_at)

    def _wake(self, vm: _Vm, planned: float) -> None:
        if vm.wake_at != planned:
            return
        vm.wake_at = None
        self._execute(vm, vm.scheduler.poll(self._timeline.now))

    def _send(self, vm: _Vm, command: SendJob) -> None:
        program = self._program_by_key[command.key]
        engine = self._engine_by_target[command.target]
        request = program.model_request(command.request, command.priority)
        sent = SentJob(vm.vm, command.key)
        self.tally.sent += 1
        if engine.submit(request, sent):
            vm.scheduler.accepted(command.key, self._timeline.now)
            return
        away = EngineRefused(0 if engine.down else 503, "turned away")
        self._timeline.after(0.0, self._turned_away, vm, command.key, away)

    def _turned_away(
        self, vm: _Vm, key: JobKey, result: EngineRefused
    ) -> None:
        now = self._timeline.now
        self._execute(vm, vm.scheduler.refused(key, result, now))

    def _engine_event(self, engine: BenchEngine, event: ModelEvent) -> None:
        now = self._timeline.now
        if isinstance(event, TokensStarted):
            sent = engine.sent_by_request[event.request]
            self._streaming.add(sent.key)
            self._vm_by_id[sent.vm].scheduler.started(sent.key, now)
        elif isinstance(event, RequestFinished):
            sent = engine.sent_by_request.pop(event.request)
            self._timeline.after(0.0, self._finished, sent, event)

    def _finished(self, sent: SentJob, event: RequestFinished) -> None:
        vm = self._vm_by_id[sent.vm]
        result = EngineDone(
            event.tokens_in, event.tokens_out, event.cached_tokens
        )
        program = self._program_by_key.pop(sent.key)
        self._streaming.discard(sent.key)
        now = self._timeline.now
        commands = vm.scheduler.done(sent.key, result, now)
        program.answered(result)
        self._execute(vm, commands)

    def _report(self, engine: BenchEngine) -> None:
        config = self._config
        if not engine.down:
            report = engine.report()
            self._timeline.after(config.report_lag_s, self._gossip, report)
        self._timeline.after(config.report_interval_s, self._report, engine)

    def _gossip(self, report: LoadReport) -> None:
        now = self._timeline.now
        for vm in self._vms:
            self._execute(vm, vm.scheduler.observe(report, now))

    def _publish_cache(self, engine: BenchEngine) -> None:
        config = self._config
        page = engine.take_cache_events()
        if page.events:
            self._timeline.after(
                config.cache_lag_s, self._deliver_cache, engine.target, page
            )
        self._timeline.after(
            config.cache_interval_s, self._publish_cache, engine
        )

    def _deliver_cache(self, target: TargetId, page: CacheEvents) -> None:
        for vm in self._vms:
            vm.scheduler.observe_cache(target, page, self._timeline.now)

    def _plan_faults(self) -> None:
        faults = self._config.faults
        engines = list(self._engine_by_target.values())
        if faults.crash_at_s:
            self._timeline.at(faults.crash_at_s, self._crash, engines[0])
        if faults.leave_at_s:
            told_at = faults.leave_at_s + faults.list_lag_s
            self._timeline.at(told_at, self._leave, engines[1].target)

    def _crash(self, engine: BenchEngine) -> None:
        for sent in engine.crash():
            self._timeline.after(BROKEN_AFTER_S, self._broken, sent)
        restart_s = self._config.faults.restart_s
        self._timeline.after(restart_s, self._restart, engine)

    def _broken(self, sent: SentJob) -> None:
        vm = self._vm_by_id[sent.vm]
        chunks = 1 if sent.key in self._streaming else 0
        self._streaming.discard(sent.key)
        commands = vm.scheduler.broken(
            sent.key,
            chunks=chunks,
            crashed=True,
            may_repeat=True,
            detail="crashed",
            now=self._timeline.now,
        )
        self._execute(vm, commands)

    def _restart(self, engine: BenchEngine) -> None:
        engine.down = False

    def _leave(self, target: TargetId) -> None:
        self._entries = tuple(
            EngineEntry(e.target, e.zone, leaving=e.target == target)
            for e in self._entries
        )
        now = self._timeline.now
        for vm in self._vms:
            self._execute(vm, vm.scheduler.set_engines(self._entries, now))
