"""Discrete-event simulation of scheduling policies on engine models.

Each VM runs its own scheduler with a partial view: its own programs,
delayed load reports, and delayed cache events of which some are lost.
The network is not modelled.
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
from ._clock import SimulationClock
from ._engine import BenchEngine, EngineJob
from ._programs import BenchProgram, BenchTally, JobHandler
from ._rules import BenchRules
from ._scheduler import BenchScheduler
from .baselines import BASELINE_NAMES, BaselineScheduler
from .config import BenchConfig, BenchFaults
from .plans import ProgramPlan

__all__ = ["POLICY_NAMES", "BenchConfig", "BenchFaults", "PolicyBench"]

POLICY_NAMES = (*BASELINE_NAMES, "lycheestall")
CRASH_DETECTION_S = 1.25
MAX_DRAIN_S = 1800.0


@dataclass(slots=True)
class _Vm:
    vm: VmId
    scheduler: BenchScheduler
    wake_at: float | None = None


class PolicyBench(JobHandler):
    """One run of one policy on one workload."""

    def __init__(
        self,
        policy: str,
        plans: list[ProgramPlan],
        config: BenchConfig,
        *,
        seed: int,
    ) -> None:
        """Initializes a run.

        Args:
            policy: One of ``POLICY_NAMES``.
            plans: The programs of the workload.
            config: Sizes, delays and faults.
            seed: Seed of the choice of lost cache events.
        """
        self._config = config
        self._plans = plans
        self._clock = SimulationClock()
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
        self._last_key = 0
        self._program_by_key: dict[JobKey, BenchProgram] = {}
        self._streaming: set[JobKey] = set()

    def run(self) -> BenchTally:
        """Runs until all programs have ended or ``MAX_DRAIN_S`` has passed.

        Programs that have not ended by then count as not completed.
        """
        clock, config = self._clock, self._config
        for vm in self._vms:
            self._execute(vm, vm.scheduler.set_engines(self._entries, 0.0))
        programs = [
            BenchProgram(plan, self, clock, self.tally) for plan in self._plans
        ]
        for program in programs:
            clock.call_at(program.plan.arrival_s, program.start)
        for index, engine in enumerate(self._engine_by_target.values()):
            offset = index / len(self._engine_by_target)
            clock.call_at(offset, self._publish_report, engine)
            clock.call_at(offset, self._publish_cache, engine)
        self._schedule_faults()
        clock.run(
            config.horizon_s + MAX_DRAIN_S,
            lambda: self.tally.ended >= len(self._plans),
        )
        for program in programs:
            program.abandon()
        return self.tally

    def submit_job(self, program: BenchProgram, job: ChatJob) -> None:
        """Submits a call to the VM that owns the program."""
        self._last_key += 1
        key = JobKey(self._last_key)
        self._program_by_key[key] = program
        vm = self._owner_of(job.root)
        now = self._clock.now
        self._execute(vm, vm.scheduler.submit(key, job, now))

    def program_paused(self, root: ProgramId) -> None:
        """Notifies the owner that a program waits for a tool."""
        vm = self._owner_of(root)
        vm.scheduler.program_paused(root, self._clock.now)

    def program_ended(self, root: ProgramId) -> None:
        """Notifies the owner that a program has ended."""
        vm = self._owner_of(root)
        now = self._clock.now
        self._execute(vm, vm.scheduler.program_ended(root, now))

    def _owner_of(self, root: ProgramId) -> _Vm:
        return self._vms[crc32(root.encode()) % len(self._vms)]

    def _make_engines(self) -> dict[TargetId, BenchEngine]:
        engines: dict[TargetId, BenchEngine] = {}
        for index in range(self._config.engines):
            target = TargetId(f"engine{index}")
            engines[target] = BenchEngine(
                target,
                self._config.costs,
                clock=self._clock,
                on_event=self._on_engine_event,
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
            wall_ms=lambda: int(self._clock.now * 1000),
        )

    def _execute(self, vm: _Vm, commands: Iterable[DispatchCommand]) -> None:
        for command in commands:
            if isinstance(command, SendJob):
                self._send(vm, command)
            elif isinstance(command, EndRefused):
                program = self._program_by_key.pop(command.key)
                program.on_refused(command.outcome)
            elif isinstance(command, EndFailed):
                program = self._program_by_key.pop(command.key)
                program.on_failed(command.outcome)
            elif isinstance(command, ReleaseMemory):
                self._release_memory(vm, command)
        self._schedule_wake(vm)

    def _release_memory(self, vm: _Vm, command: ReleaseMemory) -> None:
        engine = self._engine_by_target[command.target]
        if engine.down:
            return
        engine.release(command.program)
        vm.scheduler.release_confirmed(command.target, command.program)

    def _schedule_wake(self, vm: _Vm) -> None:
        wake_at = vm.scheduler.next_wake(self._clock.now)
        if wake_at is None or wake_at == vm.wake_at:
            return
        vm.wake_at = wake_at
        self._clock.call_at(wake_at, self._wake, vm, wake_at)

    def _wake(self, vm: _Vm, scheduled_at: float) -> None:
        if vm.wake_at != scheduled_at:
            return
        vm.wake_at = None
        self._execute(vm, vm.scheduler.poll(self._clock.now))

    def _send(self, vm: _Vm, command: SendJob) -> None:
        program = self._program_by_key[command.key]
        engine = self._engine_by_target[command.target]
        request = program.model_request(command.request, command.priority)
        engine_job = EngineJob(vm.vm, command.key)
        self.tally.sent += 1
        if engine.submit(request, engine_job):
            vm.scheduler.job_accepted(command.key, self._clock.now)
            return
        refusal = EngineRefused(
            0 if engine.down else 503, "engine is full or down"
        )
        self._clock.call_later(
            0.0, self._deliver_refusal, vm, command.key, refusal
        )

    def _deliver_refusal(
        self, vm: _Vm, key: JobKey, result: EngineRefused
    ) -> None:
        now = self._clock.now
        self._execute(vm, vm.scheduler.job_refused(key, result, now))

    def _on_engine_event(self, engine: BenchEngine, event: ModelEvent) -> None:
        now = self._clock.now
        if isinstance(event, TokensStarted):
            engine_job = engine.job_by_request[event.request]
            self._streaming.add(engine_job.key)
            self._vm_by_id[engine_job.vm].scheduler.job_started(
                engine_job.key, now
            )
        elif isinstance(event, RequestFinished):
            engine_job = engine.job_by_request.pop(event.request)
            self._clock.call_later(
                0.0, self._deliver_result, engine_job, event
            )

    def _deliver_result(
        self, engine_job: EngineJob, event: RequestFinished
    ) -> None:
        vm = self._vm_by_id[engine_job.vm]
        result = EngineDone(
            event.tokens_in, event.tokens_out, event.cached_tokens
        )
        program = self._program_by_key.pop(engine_job.key)
        self._streaming.discard(engine_job.key)
        now = self._clock.now
        commands = vm.scheduler.job_done(engine_job.key, result, now)
        program.on_completed(result)
        self._execute(vm, commands)

    def _publish_report(self, engine: BenchEngine) -> None:
        config = self._config
        if not engine.down:
            report = engine.report()
            self._clock.call_later(
                config.report_lag_s, self._deliver_report, report
            )
        self._clock.call_later(
            config.report_interval_s, self._publish_report, engine
        )

    def _deliver_report(self, report: LoadReport) -> None:
        now = self._clock.now
        for vm in self._vms:
            self._execute(vm, vm.scheduler.observe_load(report, now))

    def _publish_cache(self, engine: BenchEngine) -> None:
        config = self._config
        page = engine.take_cache_events()
        if page.events:
            self._clock.call_later(
                config.cache_lag_s, self._deliver_cache, engine.target, page
            )
        self._clock.call_later(
            config.cache_interval_s, self._publish_cache, engine
        )

    def _deliver_cache(self, target: TargetId, page: CacheEvents) -> None:
        for vm in self._vms:
            vm.scheduler.observe_cache(target, page, self._clock.now)

    def _schedule_faults(self) -> None:
        faults = self._config.faults
        engines = list(self._engine_by_target.values())
        if faults.crash_at_s:
            self._clock.call_at(faults.crash_at_s, self._crash, engines[0])
        if faults.leave_at_s:
            announced_at = faults.leave_at_s + faults.list_lag_s
            self._clock.call_at(
                announced_at, self._announce_leaving, engines[1].target
            )

    def _crash(self, engine: BenchEngine) -> None:
        for engine_job in engine.crash():
            self._clock.call_later(
                CRASH_DETECTION_S, self._deliver_failure, engine_job
            )
        restart_s = self._config.faults.restart_s
        self._clock.call_later(restart_s, self._restart, engine)

    def _deliver_failure(self, engine_job: EngineJob) -> None:
        vm = self._vm_by_id[engine_job.vm]
        chunks = 1 if engine_job.key in self._streaming else 0
        self._streaming.discard(engine_job.key)
        commands = vm.scheduler.stream_broken(
            engine_job.key,
            chunks=chunks,
            crashed=True,
            may_repeat=True,
            detail="crashed",
            now=self._clock.now,
        )
        self._execute(vm, commands)

    def _restart(self, engine: BenchEngine) -> None:
        engine.down = False

    def _announce_leaving(self, target: TargetId) -> None:
        self._entries = tuple(
            EngineEntry(e.target, e.zone, leaving=e.target == target)
            for e in self._entries
        )
        now = self._clock.now
        for vm in self._vms:
            self._execute(vm, vm.scheduler.set_engines(self._entries, now))
