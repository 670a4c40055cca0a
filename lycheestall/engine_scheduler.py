"""Decides which job goes to which engine, when, and what is given up."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .dispatch import ChatJob
from .dispatch_commands import (
    DispatchCommand,
    EndFailed,
    EndRefused,
    JobKey,
    ReleaseMemory,
    ReportCrash,
    SendJob,
)
from .engine_directory import EngineEntry
from .ids import ProgramId, RequestId, TargetId, VmId
from .outcomes import Failed, Reason, Refused, Step
from .rule_book import RuleBook
from .targets import CacheEvents, EngineDone, EngineRefused, LoadReport

__all__ = ["EngineScheduler"]

TARGET_CONCURRENCY = 32
ATTEMPTS = 3
QUEUE_LIMIT = 1024
NO_TARGET_RETRY_S = 2.0
CLIENT_ERRORS = frozenset({400, 401, 403, 404, 413, 415, 422})


@dataclass(slots=True)
class _Job:
    key: JobKey
    job: ChatJob
    submitted: float
    target: TargetId | None = None
    attempts: int = 0
    accepted: bool = False
    may_have_run: bool = False
    tried: set[TargetId] = field(default_factory=set)


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
        self._vm = vm
        self._seed = seed
        self._rules = rules
        self._quarantined = quarantined
        self._cell_size = cell_size
        self._wall_ms = wall_ms
        self._entry_by_target: dict[TargetId, EngineEntry] = {}
        self._in_flight_by_target: dict[TargetId, int] = {}
        self._job_by_key: dict[JobKey, _Job] = {}
        self._queue: list[JobKey] = []
        self._targets_by_root: dict[ProgramId, list[TargetId]] = {}
        self._serial = 0

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Takes the engines as the directory has them."""
        self._entry_by_target = {entry.target: entry for entry in entries}
        return self.poll(now)

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Takes a new job."""
        if self._quarantined(job.fingerprint):
            refused = Refused(Step.PLACE, Reason.QUARANTINED)
            return [EndRefused(key, refused)]
        if len(self._queue) >= QUEUE_LIMIT:
            refused = Refused(
                Step.PLACE, Reason.OVERLOADED, retry_after_s=NO_TARGET_RETRY_S
            )
            return [EndRefused(key, refused)]
        self._job_by_key[key] = _Job(key, job, now)
        self._queue.append(key)
        return self.poll(now)

    def adopt(
        self, key: JobKey, job: ChatJob, target: TargetId, now: float
    ) -> None:
        """Takes a job that an earlier owner had sent to an engine."""
        taken = _Job(key, job, now, target=target, accepted=True)
        self._job_by_key[key] = taken
        self._count(target, 1)

    def accepted(self, key: JobKey, now: float) -> None:
        """The engine has the job."""
        self._job_by_key[key].accepted = True

    def started(self, key: JobKey, now: float) -> None:
        """The first chunk of the answer has come."""

    def done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """The job's answer is whole."""
        job = self._job_by_key.pop(key)
        self._leave_target(job)
        return self.poll(now)

    def turned_away(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """The engine said that it did not run the job and will not."""
        job = self._job_by_key[key]
        peer = job.target or ""
        self._leave_target(job)
        final = result.status in CLIENT_ERRORS
        if not final and job.attempts < ATTEMPTS:
            self._queue.insert(0, key)
            return self.poll(now)
        refused = Refused(
            Step.DISPATCH,
            Reason.BAD_REQUEST if final else Reason.NO_TARGET,
            peer=peer,
            retry_after_s=0.0
            if final
            else max(result.retry_after_s, NO_TARGET_RETRY_S),
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
        job = self._job_by_key[key]
        peer = job.target or TargetId("")
        commands: list[DispatchCommand] = []
        if crashed:
            commands.append(ReportCrash(job.job.fingerprint, peer))
        self._leave_target(job)
        job.may_have_run = True
        repeat = may_repeat and chunks == 0 and job.attempts < ATTEMPTS
        if repeat and not self._quarantined(job.job.fingerprint):
            self._queue.insert(0, key)
            return [*commands, *self.poll(now)]
        del self._job_by_key[key]
        failed = Failed(
            Step.RELAY, Reason.TARGET_FAILED, peer=peer, detail=detail
        )
        return [*commands, EndFailed(key, failed), *self.poll(now)]

    def send_refused(
        self, key: JobKey, refusal: Refused, now: float
    ) -> list[DispatchCommand]:
        """The job could not be sent; nothing reached the engine."""
        job = self._job_by_key[key]
        self._leave_target(job)
        return [self._end(job, refusal)]

    def expired(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """The deadline of a job in flight has passed."""
        job = self._job_by_key.pop(key)
        peer = job.target or ""
        self._leave_target(job)
        failed = Failed(Step.RELAY, Reason.DEADLINE, peer=peer)
        return [EndFailed(key, failed), *self.poll(now)]

    def cancel(self, key: JobKey, now: float) -> list[DispatchCommand]:
        """The job is no longer wanted; the I/O stops the engine."""
        job = self._job_by_key.pop(key, None)
        if job is None:
            return []
        if job.target is None:
            self._queue.remove(key)
            return []
        self._leave_target(job)
        return self.poll(now)

    def observe(self, report: LoadReport, now: float) -> list[DispatchCommand]:
        """Takes a load report, own or from another VM."""
        return self.poll(now)

    def cache_events(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Takes a page of an engine's cache events."""

    def program_paused(self, root: ProgramId, now: float) -> None:
        """The program waits for a tool."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """The program ended or vanished."""
        targets = self._targets_by_root.pop(root, [])
        return [ReleaseMemory(target, root) for target in targets]

    def poll(self, now: float) -> list[DispatchCommand]:
        """Sends what can be sent and gives up what cannot be met."""
        commands: list[DispatchCommand] = []
        waiting: list[JobKey] = []
        for key in self._queue:
            job = self._job_by_key[key]
            if now >= job.job.deadline_s:
                commands.append(self._end(job, self._late()))
                continue
            target = self._place(job)
            if target is None:
                waiting.append(key)
                continue
            commands.append(self._send(job, target))
        self._queue = waiting
        return commands

    def next_wake(self, now: float) -> float | None:
        """Returns when ``poll`` is next worth calling, None for never."""
        deadlines = [self._job_by_key[k].job.deadline_s for k in self._queue]
        return min(deadlines, default=None)

    def _place(self, job: _Job) -> TargetId | None:
        open_targets: list[TargetId] = []
        for target, entry in self._entry_by_target.items():
            if entry.leaving or not entry.serves(job.job.model):
                continue
            if self._in_flight_by_target.get(target, 0) >= TARGET_CONCURRENCY:
                continue
            open_targets.append(target)
        fresh = [t for t in open_targets if t not in job.tried]
        if not fresh and not open_targets:
            return None
        warm = self._targets_by_root.get(job.job.root, [])
        return min(
            fresh or open_targets,
            key=lambda t: (
                self._in_flight_by_target.get(t, 0) - (4 if t in warm else 0),
                t,
            ),
        )

    def _send(self, job: _Job, target: TargetId) -> SendJob:
        job.target = target
        job.attempts += 1
        job.accepted = False
        job.tried.add(target)
        self._serial += 1
        self._count(target, 1)
        targets = self._targets_by_root.setdefault(job.job.root, [])
        if target not in targets:
            targets.append(target)
        request = RequestId(
            f"{job.job.account}/{job.job.program}#{job.job.number}"
            f".{job.job.epoch}.{self._serial}"
        )
        return SendJob(job.key, target, request, 0)

    def _end(self, job: _Job, refused: Refused) -> EndRefused | EndFailed:
        """Ends a job as not run, unless an engine may have run it."""
        del self._job_by_key[job.key]
        if not job.may_have_run:
            return EndRefused(job.key, refused)
        failed = Failed(
            refused.step,
            refused.reason,
            peer=refused.peer,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
        )
        return EndFailed(job.key, failed)

    def _leave_target(self, job: _Job) -> None:
        if job.target is not None:
            self._count(job.target, -1)
        job.target = None

    def _count(self, target: TargetId, change: int) -> None:
        count = self._in_flight_by_target.get(target, 0) + change
        self._in_flight_by_target[target] = count

    def _late(self) -> Refused:
        return Refused(
            Step.PLACE, Reason.DEADLINE, retry_after_s=NO_TARGET_RETRY_S
        )
