"""Decides which job goes to which engine, when, and what is given up."""

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
from .rules.rule_book import RuleBook
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
MAX_BLOCKED_JOBS = 32
MIN_RUN_SHARE = 0.5
DEADLINE_REFUSAL = Refused(
    Step.PLACE,
    Reason.DEADLINE,
    retry_after_s=NO_TARGET_RETRY_S,
    detail="the deadline cannot be met",
)


@dataclass(frozen=True, slots=True)
class EngineView:
    """What one VM knows of an engine's load.

    Attributes:
        requests: Estimate of all requests at the engine.
        waiting: Its queue length, as last reported.
        own: Requests of this VM.
        ejected: Whether it gets nothing after failures.
    """

    requests: int
    waiting: int
    own_requests: int
    ejected: bool


class EngineScheduler:
    """The decisions of one VM over the engines of its cell.

    Events come in with the time; commands come out, in order. Nothing
    here reads a clock or writes to a socket.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        seed: int,
        rules: Callable[[], RuleBook],
        quarantined: Callable[[bytes], bool],
        cell_size: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        """Starts without engines.

        Args:
            vm: The VM that this scheduler runs on.
            seed: Breaks ties between equal engines.
            rules: The rules in force.
            quarantined: Whether a fingerprint may not be dispatched.
            cell_size: VMs that share the engines.
            wall_ms: Wall-clock time, for rules with time windows.
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
        """Takes the engines as the directory has them."""
        self._selector.set_engines(entries, now)
        return self.poll(now)

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Takes a new job."""
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
        """Takes a job that an earlier owner had sent to an engine."""
        adopted = ScheduledJob(
            key, job, self._admission.rank(job), may_have_run=True
        )
        self._jobs.add(adopted)
        self._jobs.assign(adopted, target, now)
        self._state.memory.record_held(job.root, target)

    def accepted(self, key: JobKey, now: float) -> None:
        """The engine has the job."""

    def started(self, key: JobKey, now: float) -> None:
        """The first chunk of the answer has come."""
        job = self._jobs[key]
        if job.started_s:
            return
        job.started_s = now
        if job.sent_to_idle:
            took_s = now - job.sent_s
            self._state.service.record_prefill(
                int(job.uncached_tokens), took_s
            )

    def done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """The job's answer is whole."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._jobs.remove(job)
        self._state.answered(job, target, result, now)
        return self.poll(now)

    def refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """The engine said that it did not run the job and will not."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.refused(job, target, result, now)
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

    def broken(
        self,
        key: JobKey,
        *,
        chunks: int,
        crashed: bool,
        may_repeat: bool,
        detail: str,
        now: float,
    ) -> list[DispatchCommand]:
        """The stream broke and could not be taken up again.

        Args:
            key: The job.
            chunks: How many chunks its listener has.
            crashed: Whether the engine's process ended.
            may_repeat: Whether a repeat keeps the program's order.
            detail: What broke.
            now: The time.
        """
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        job.may_have_run = True
        commands: list[DispatchCommand] = []
        if crashed:
            commands.append(ReportCrash(job.job.fingerprint, target))
        self._state.broken(job, target, crashed=crashed, now=now)
        reason = Reason.TARGET_FAILED
        if self._state.quarantine.is_quarantined(job.job.fingerprint):
            reason = Reason.QUARANTINED
        elif may_repeat and not chunks and self._may_retry(job):
            self._requeue(job, target)
            return [*commands, *self.poll(now)]
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, reason, peer=target, detail=detail)
        return [*commands, EndFailed(key, failed), *self.poll(now)]

    def not_sent(
        self, key: JobKey, refusal: Refused, now: float
    ) -> list[DispatchCommand]:
        """The job could not be sent; nothing reached the engine."""
        job = self._jobs[key]
        self._state.withdrawn(job, self._jobs.unassign(job, now))
        return [self._end(job, refusal)]

    def expired(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """The deadline of a job in flight has passed."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.timed_out(job, target, now)
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, Reason.DEADLINE, peer=target)
        return [EndFailed(key, failed), *self.poll(now)]

    def accept_timed_out(
        self, key: JobKey, now: float
    ) -> list[DispatchCommand]:
        """An engine neither took nor refused the job for too long."""
        job = self._jobs[key]
        target = self._jobs.unassign(job, now)
        self._state.timed_out(job, target, now)
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
        """The job is no longer wanted; the I/O stops the engine."""
        job = self._jobs.get(key)
        if job is None:
            return []
        if job.target is None:
            self._state.queue.remove(key)
        else:
            self._state.withdrawn(job, self._jobs.unassign(job, now))
        self._jobs.remove(job)
        return self.poll(now)

    def observe(self, report: LoadReport, now: float) -> list[DispatchCommand]:
        """Takes a load report, own or from another VM."""
        self._state.observe(report, now)
        return self.poll(now)

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Takes a page of an engine's cache events."""
        self._state.cache.observe(target, page, now)

    def program_paused(self, root: ProgramId, now: float) -> None:
        """The program waits for a tool."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """The program ended or vanished."""
        self._state.queue.forget(root)
        self._state.cache.program_ended(root)
        return list(self._state.memory.program_ended(root, now))

    def load_view(self, target: TargetId, now: float) -> EngineView:
        """Returns what is known of an engine's load."""
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
        """Compares what an engine holds with the programs that live."""
        releases = self._state.memory.reconcile(
            target, held, is_live=is_live, now=now
        )
        return list(releases)

    def released(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""
        self._state.memory.release_confirmed(target, root)

    def poll(self, now: float) -> list[DispatchCommand]:
        """Sends what can be sent and gives up what cannot be met."""
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
            choice = self._selector.choose(job, self._jobs, now)
            if choice is None:
                blocked += 1
                continue
            self._state.queue.remove(key)
            commands.append(self._send(job, choice, now))
        return commands

    def next_wake(self, now: float) -> float | None:
        """Returns when ``poll`` is next worth calling, None for never."""
        times = [self._state.memory.next_due()]
        if len(self._state.queue):
            times.append(now + POLL_INTERVAL_S)
        return min((t for t in times if t is not None), default=None)

    def _may_retry(self, job: ScheduledJob) -> bool:
        rule = self._rules().retries(job.job.account, job.job.model)
        if job.attempts >= rule.attempts:
            return False
        return self._state.retries.try_take()

    def _requeue(self, job: ScheduledJob, failed_on: TargetId) -> None:
        job.tried.add(failed_on)
        self._state.queue.push(job.key, job.rank)

    def _cannot_finish(self, job: ScheduledJob, now: float) -> bool:
        min_run_s = MIN_RUN_SHARE * self._state.run_s(job.job)
        return now + min_run_s >= job.job.deadline_s

    def _send(
        self, job: ScheduledJob, choice: Candidate, now: float
    ) -> SendJob:
        target = choice.target
        job.attempts += 1
        job.sent_to_idle = self._state.load.queue_length_ahead(target) <= 0
        job.uncached_tokens = job.job.prompt_tokens - choice.cached_tokens
        self._jobs.assign(job, target, now)
        self._state.sent(job, target)
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
