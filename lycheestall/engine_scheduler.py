"""Decides which job goes to which engine, when, and what is given up."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ._engine_choice import EngineChoice
from ._job_intake import JobIntake
from ._scheduled_jobs import ScheduledJob, ScheduledJobs
from ._scheduler_parts import SchedulerParts
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
from .placement import Choice
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
CLIENT_ERRORS = frozenset({400, 401, 403, 404, 413, 415, 422})
POLL_S = 0.5
MOST_BLOCKED = 32
LEAST_RUN_SHARE = 0.5
LATE = Refused(
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
    own: int
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
        self._parts = SchedulerParts(vm=vm, seed=seed, quarantined=quarantined)
        self._jobs = ScheduledJobs(self._parts.load)
        self._choice = EngineChoice(
            self._parts, rules=rules, wall_ms=wall_ms, cell_size=cell_size
        )
        self._intake = JobIntake(
            self._parts,
            self._choice,
            self._jobs,
            rules=rules,
            wall_ms=wall_ms,
        )
        self._serial = 0

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Takes the engines as the directory has them."""
        self._choice.set_engines(entries, now)
        return self.poll(now)

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Takes a new job."""
        refused = self._intake.refusal(job, now)
        if refused is not None:
            return [EndRefused(key, refused)]
        scheduled = ScheduledJob(key, job, self._intake.rank(job), now)
        self._jobs.add(scheduled)
        self._parts.queue.push(key, scheduled.rank)
        self._parts.retries.first_attempt()
        return self.poll(now)

    def adopt(
        self, key: JobKey, job: ChatJob, target: TargetId, now: float
    ) -> None:
        """Takes a job that an earlier owner had sent to an engine."""
        adopted = ScheduledJob(
            key, job, self._intake.rank(job), may_have_run=True
        )
        self._jobs.add(adopted)
        self._jobs.enter(adopted, target, now)
        self._parts.memory.lease(job.root, target)

    def accepted(self, key: JobKey, now: float) -> None:
        """The engine has the job."""

    def started(self, key: JobKey, now: float) -> None:
        """The first chunk of the answer has come."""
        job = self._jobs[key]
        if job.started_s:
            return
        job.started_s = now
        if job.idle_target:
            took_s = now - job.sent_s
            self._parts.service.prefilled(int(job.cold_tokens), took_s)

    def done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """The job's answer is whole."""
        job = self._jobs[key]
        target = self._jobs.leave(job, now)
        self._jobs.remove(job)
        self._parts.answered(job, target, result, now)
        return self.poll(now)

    def turned_away(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """The engine said that it did not run the job and will not."""
        job = self._jobs[key]
        target = self._jobs.leave(job, now)
        self._parts.turned_away(job, target, result, now)
        final = result.status in CLIENT_ERRORS
        if not final and self._may_try_again(job):
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
        target = self._jobs.leave(job, now)
        job.may_have_run = True
        commands: list[DispatchCommand] = []
        if crashed:
            commands.append(ReportCrash(job.job.fingerprint, target))
        self._parts.broken(job, target, crashed=crashed, now=now)
        reason = Reason.TARGET_FAILED
        if self._parts.quarantine.holds(job.job.fingerprint):
            reason = Reason.QUARANTINED
        elif may_repeat and not chunks and self._may_try_again(job):
            self._requeue(job, target)
            return [*commands, *self.poll(now)]
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, reason, peer=target, detail=detail)
        return [*commands, EndFailed(key, failed), *self.poll(now)]

    def send_refused(
        self, key: JobKey, refusal: Refused, now: float
    ) -> list[DispatchCommand]:
        """The job could not be sent; nothing reached the engine."""
        job = self._jobs[key]
        self._parts.unsent(job, self._jobs.leave(job, now))
        return [self._end(job, refusal)]

    def expired(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """The deadline of a job in flight has passed."""
        job = self._jobs[key]
        target = self._jobs.leave(job, now)
        self._parts.timed_out(job, target, now)
        self._jobs.remove(job)
        failed = Failed(Step.RELAY, Reason.DEADLINE, peer=target)
        return [EndFailed(key, failed), *self.poll(now)]

    def unsettled(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """An engine neither took nor refused the job for too long."""
        job = self._jobs[key]
        target = self._jobs.leave(job, now)
        self._parts.timed_out(job, target, now)
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
            self._parts.queue.remove(key)
        else:
            self._parts.unsent(job, self._jobs.leave(job, now))
        self._jobs.remove(job)
        return self.poll(now)

    def observe(self, report: LoadReport, now: float) -> list[DispatchCommand]:
        """Takes a load report, own or from another VM."""
        self._parts.observe(report, now)
        return self.poll(now)

    def cache_events(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Takes a page of an engine's cache events."""
        self._parts.cache.observe(target, page, now)

    def program_paused(self, root: ProgramId, now: float) -> None:
        """The program waits for a tool."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """The program ended or vanished."""
        self._parts.queue.forget(root)
        self._parts.cache.ended(root)
        return list(self._parts.memory.ended(root, now))

    def view(self, target: TargetId, now: float) -> EngineView:
        """Returns what is known of an engine's load."""
        load = self._parts.load
        usable = target in self._parts.ejection.usable([target], now)
        return EngineView(
            requests=round(load.requests(target)),
            waiting=load.waiting(target),
            own=load.own(target),
            ejected=not usable,
        )

    def found(
        self,
        target: TargetId,
        held: Iterable[HeldMemory],
        live: Callable[[ProgramId], bool],
        now: float,
    ) -> list[DispatchCommand]:
        """Compares what an engine holds with the programs that live."""
        releases = self._parts.memory.found(target, held, live=live, now=now)
        return list(releases)

    def released(self, target: TargetId, root: ProgramId) -> None:
        """An engine has confirmed a release."""
        self._parts.memory.confirmed(target, root)

    def poll(self, now: float) -> list[DispatchCommand]:
        """Sends what can be sent and gives up what cannot be met."""
        commands: list[DispatchCommand] = list(self._parts.memory.due(now))
        blocked = 0
        self._choice.begin_poll()
        for key in self._parts.queue:
            job = self._jobs[key]
            if self._hopeless(job, now):
                self._parts.queue.remove(key)
                commands.append(self._end(job, LATE))
                continue
            if blocked >= MOST_BLOCKED:
                continue
            choice = self._choice.choose(job, self._jobs, now)
            if choice is None:
                blocked += 1
                continue
            self._parts.queue.remove(key)
            commands.append(self._send(job, choice, now))
        return commands

    def next_wake(self, now: float) -> float | None:
        """Returns when ``poll`` is next worth calling, None for never."""
        times = [self._parts.memory.next_due()]
        if len(self._parts.queue):
            times.append(now + POLL_S)
        return min((t for t in times if t is not None), default=None)

    def _may_try_again(self, job: ScheduledJob) -> bool:
        rule = self._rules().retries(job.job.account, job.job.model)
        if job.attempts >= rule.attempts:
            return False
        return self._parts.retries.take()

    def _requeue(self, job: ScheduledJob, failed_on: TargetId) -> None:
        job.tried.add(failed_on)
        self._parts.queue.push(job.key, job.rank)

    def _hopeless(self, job: ScheduledJob, now: float) -> bool:
        least_s = LEAST_RUN_SHARE * self._parts.run_s(job.job)
        return now + least_s >= job.job.deadline_s

    def _send(self, job: ScheduledJob, choice: Choice, now: float) -> SendJob:
        target = choice.target
        job.attempts += 1
        job.idle_target = self._parts.load.queue_ahead(target) <= 0
        job.cold_tokens = job.job.prompt_tokens - choice.cached_tokens
        self._jobs.enter(job, target, now)
        self._parts.sent(job, target)
        self._serial += 1
        request = RequestId(
            f"{job.job.account}/{job.job.program}#{job.job.number}"
            f".{job.job.epoch}.{self._serial}"
        )
        priority = job.rank.engine_priority()
        return SendJob(job.key, target, request, priority)

    def _end(
        self, job: ScheduledJob, refused: Refused
    ) -> EndRefused | EndFailed:
        self._jobs.remove(job)
        return job.ending(refused)
