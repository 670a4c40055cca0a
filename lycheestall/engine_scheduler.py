"""Schedules chat jobs onto model engines, without doing any I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ._engine_selector import EngineSelector
from ._job_admission import JobAdmission
from ._scheduled_jobs import ScheduledJob, ScheduledJobs
from ._scheduler_state import SchedulerState
from .dispatch import ChatJob
from .dispatch_commands import (
    DispatchCommand,
    EndFailed,
    EndRefused,
    JobKey,
    ReportCrash,
    SendJob,
)
from .engine_directory import EngineEntry
from .ids import ProgramId, RequestId, TargetId, VmId
from .outcomes import Failed, Reason, Refused, Step
from .placement import Candidate
from .rules.rule_set import RuleSet
from .targets import (
    CacheEvents,
    EngineDone,
    EngineRefused,
    HeldMemory,
    LoadReport,
)

__all__ = ["EngineScheduler", "EngineView"]

NO_TARGET_RETRY_S = 2.0
CLIENT_ERROR_STATUSES = frozenset({400, 401, 403, 404, 413, 415, 422})
POLL_INTERVAL_S = 0.5
MAX_BLOCKED_JOBS = 32  # jobs tried per poll that find no engine
MIN_RUN_SHARE = 0.5  # of the expected run time, left before the deadline
DEADLINE_REFUSAL = Refused(
    Step.PLACE,
    Reason.DEADLINE,
    retry_after_s=NO_TARGET_RETRY_S,
    detail="the deadline cannot be met",
)


@dataclass(frozen=True, slots=True)
class EngineView:
    """One VM's view of an engine's load.

    Attributes:
        requests: Estimated number of requests at the engine.
        waiting: Queue length from the newest load report.
        own_requests: Requests of this VM.
        ejected: Whether it is ejected after failures.
    """

    requests: int
    waiting: int
    own_requests: int
    ejected: bool


class EngineScheduler:
    """Schedules one VM's jobs onto the engines of its cell.

    Each method handles one event at a given time and returns the commands
    to execute, in order. The class reads no clock and does no I/O.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        seed: int,
        rules: Callable[[], RuleSet],
        quarantined: Callable[[bytes], bool],
        cell_size: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        """Creates a scheduler without engines.

        Args:
            vm: The VM that this scheduler runs on.
            seed: Seeds the tie breaker between engines of equal cost.
            rules: Returns the rules in force.
            quarantined: Returns whether the crash reports of all VMs
                quarantine a fingerprint.
            cell_size: Returns the number of VMs that share the engines.
            wall_ms: Returns wall-clock time in milliseconds since 1970,
                for rules with time windows.
        """
        self._rules = rules
        self._state = SchedulerState(vm=vm, seed=seed, quarantined=quarantined)
        self._jobs = ScheduledJobs(self._state.load)
        self._selector = EngineSelector(
            self._state, rules=rules, wall_ms=wall_ms, cell_size=cell_size
        )
        self._admission = JobAdmission(
            self._state,
            self._selector,
            self._jobs,
            rules=rules,
            wall_ms=wall_ms,
        )
        self._dispatch_count = 0

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Replaces the set of engines with the directory's entries."""
        self._selector.set_engines(entries, now)
        return self.poll(now)

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Queues a new job, or refuses it."""
        refused = self._admission.refusal(job, now)
        if refused is not None:
            return [EndRefused(key, refused)]
        scheduled = ScheduledJob(key, job, self._admission.rank(job), now)
        self._jobs.add(scheduled)
        self._state.queue.push(key, scheduled.rank)
        self._state.retries.record_first_attempt()
        return self.poll(now)

    def adopt(
        self, key: JobKey, job: ChatJob, target: TargetId, now: float
    ) -> None:
        """Adds a job that the program's previous owner sent to an engine."""
        adopted = ScheduledJob(
            key, job, self._admission.rank(job), may_have_run=True
        )
        self._jobs.add(adopted)
        self._jobs.assign(adopted, target, now)
        self._state.memory.record_held(job.root, target)

    def job_accepted(self, key: JobKey, now: float) -> None:
        """Handles an engine's acceptance of a job; needs no action."""

    def job_started(self, key: JobKey, now: float) -> None:
        """Handles the first chunk of an answer."""
        job = self._jobs[key]
        if job.started_s:
            return
        job.started_s = now
        if job.sent_to_idle:
            took_s = now - job.sent_s
            self._state.service.record_prefill(
                int(job.uncached_tokens), took_s
            )

    def job_done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """Handles a complete answer."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._jobs.remove(job)
        self._state.record_answer(job, target, result, now)
        return self.poll(now)

    def job_refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """Handles an engine's statement that it will not run the job."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.record_refusal(job, target, result, now)
        final = result.status in CLIENT_ERROR_STATUSES
        if not final and self._may_retry(job):
            self._requeue(job, target)
            return self.poll(now)
        wait_s = max(result.retry_after_s, NO_TARGET_RETRY_S)
        refused = Refused(
            Step.DISPATCH,
            Reason.BAD_REQUEST if final else Reason.NO_TARGET,
            peer=target,
            retry_after_s=0.0 if final else wait_s,
            detail=result.detail,
        )
        return [self._end(job, refused), *self.poll(now)]

    def stream_broken(
        self,
        key: JobKey,
        *,
        chunks: int,
        crashed: bool,
        may_repeat: bool,
        detail: str,
        now: float,
    ) -> list[DispatchCommand]:
        """Handles a stream that broke and could not be resumed.

        Args:
            key: The job's key.
            chunks: Number of chunks passed to the job's listener.
            crashed: Whether the engine's process ended.
            may_repeat: Whether another dispatch would keep the
                program's calls in order.
            detail: The error.
            now: The current time.
        """
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        job.may_have_run = True
        commands: list[DispatchCommand] = []
        if crashed:
            commands.append(ReportCrash(job.job.fingerprint, target))
        self._state.record_broken_stream(job, target, crashed=crashed, now=now)
        reason = Reason.TARGET_FAILED
        if self._state.quarantine.blocks(job.job.fingerprint):
            reason = Reason.QUARANTINED
        elif may_repeat and not chunks and self._may_retry(job):
            self._requeue(job, target)
            return [*commands, *self.poll(now)]
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, reason, peer=target, detail=detail)
        return [*commands, EndFailed(key, failed), *self.poll(now)]

    def job_not_sent(
        self, key: JobKey, refusal: Refused, now: float
    ) -> list[DispatchCommand]:
        """Handles a refusal to send; nothing reached the engine."""
        job = self._jobs[key]
        self._state.record_withdrawn(job, self._jobs.unassign(job, now))
        return [self._end(job, refusal)]

    def job_expired(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """Handles the deadline of a job that is at an engine."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.record_timeout(job, target, now)
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, Reason.DEADLINE, peer=target)
        return [EndFailed(key, failed), *self.poll(now)]

    def accept_timed_out(
        self, key: JobKey, now: float
    ) -> list[DispatchCommand]:
        """Handles an engine that neither accepted nor refused in time."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.record_timeout(job, target, now)
        self._jobs.remove(job)
        failed = Failed(
            Step.DISPATCH,
            Reason.TARGET_TIMEOUT,
            peer=target,
            retry_after_s=NO_TARGET_RETRY_S,
            detail="the engine does not answer; the call may still reach it",
        )
        return [EndFailed(key, failed), *self.poll(now)]

    def cancel(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """Drops a job; the caller tells the engine to stop."""
        job = self._jobs.get(key)
        if job is None:
            return []
        if job.target is None:
            self._state.queue.remove(key)
        else:
            self._state.record_withdrawn(job, self._jobs.unassign(job, now))
        self._jobs.remove(job)
        return self.poll(now)

    def observe_load(
        self, report: LoadReport, now: float
    ) -> list[DispatchCommand]:
        """Handles a load report, polled here or by another VM."""
        self._state.observe_load(report, now)
        return self.poll(now)

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Handles a page of an engine's cache events."""
        self._state.cache.observe(target, page, now)

    def program_paused(self, root: ProgramId, now: float) -> None:
        """Handles a program's wait for a tool; needs no action."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """Releases engine memory of a program that ended or vanished."""
        self._state.queue.forget(root)
        self._state.cache.program_ended(root)
        return list(self._state.memory.program_ended(root, now))

    def load_view(self, target: TargetId, now: float) -> EngineView:
        """Returns this VM's view of an engine's load."""
        load = self._state.load
        usable = target in self._state.ejection.usable([target], now)
        return EngineView(
            requests=round(load.requests(target)),
            waiting=load.waiting(target),
            own_requests=load.own_requests(target),
            ejected=not usable,
        )

    def reconcile_memory(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        is_live: Callable[[ProgramId], bool],
        now: float,
    ) -> list[DispatchCommand]:
        """Releases engine memory that belongs to no live program."""
        releases = self._state.memory.reconcile(
            target, held, is_live=is_live, now=now
        )
        return list(releases)

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Handles an engine's confirmation of a memory release."""
        self._state.memory.release_confirmed(target, root)

    def poll(self, now: float) -> list[DispatchCommand]:
        """Sends jobs that fit and refuses those that would miss deadlines."""
        commands: list[DispatchCommand] = list(self._state.memory.due(now))
        blocked = 0
        self._selector.begin_poll()
        for key in self._state.queue:
            job = self._jobs[key]
            if self._cannot_finish(job, now):
                self._state.queue.remove(key)
                commands.append(self._end(job, DEADLINE_REFUSAL))
                continue
            if blocked >= MAX_BLOCKED_JOBS:
                continue
            candidate = self._selector.choose(job, self._jobs, now)
            if candidate is None:
                blocked += 1
                continue
            self._state.queue.remove(key)
            commands.append(self._send(job, candidate, now))
        return commands

    def next_wake(self, now: float) -> float | None:
        """Returns when to call ``poll`` next, None if there is no need."""
        times = [self._state.memory.next_due()]
        if len(self._state.queue):
            times.append(now + POLL_INTERVAL_S)
        return min((t for t in times if t is not None), default=None)

    def _may_retry(self, job: ScheduledJob) -> bool:
        rule = self._rules().retries(job.job.account, job.job.model)
        if job.attempts >= rule.attempts:
            return False
        return self._state.retries.try_take()

    def _requeue(self, job: ScheduledJob, failed_target: TargetId) -> None:
        job.tried.add(failed_target)
        self._state.queue.push(job.key, job.rank)

    def _cannot_finish(self, job: ScheduledJob, now: float) -> bool:
        min_run_s = MIN_RUN_SHARE * self._state.run_s(job.job)
        return now + min_run_s >= job.job.deadline_s

    def _send(
        self, job: ScheduledJob, candidate: Candidate, now: float
    ) -> SendJob:
        target = candidate.target
        job.attempts += 1
        job.sent_to_idle = self._state.load.queue_length_ahead(target) <= 0
        job.uncached_tokens = job.job.prompt_tokens - candidate.cached_tokens
        self._jobs.assign(job, target, now)
        self._state.record_sent(job, target)
        self._dispatch_count += 1
        request = RequestId(
            f"{job.job.account}/{job.job.program}#{job.job.number}"
            f".{job.job.epoch}.{self._dispatch_count}"
        )
        priority = job.rank.engine_priority()
        return SendJob(job.key, target, request, priority)

    def _end(
        self, job: ScheduledJob, refused: Refused
    ) -> EndRefused | EndFailed:
        self._jobs.remove(job)
        return job.end_command(refused)
