"""The jobs of an engine scheduler, queued or at engines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .dispatch import ChatJob
from .dispatch_commands import EndFailed, EndRefused, JobKey
from .engine_load import EngineLoadEstimate
from .fair_queue import Rank
from .ids import AccountId, TargetId
from .outcomes import Failed, Refused

__all__ = ["ScheduledJob", "ScheduledJobs"]


@dataclass(slots=True)
class ScheduledJob:
    """A job and its progress.

    Attributes:
        key: Its key.
        job: The job.
        rank: Its position in the queue.
        submitted_s: Time of its submission.
        target: The engine that has it, None while queued.
        attempts: Number of dispatches so far.
        sent_s: Time of the newest dispatch.
        started_s: Time of its first chunk, 0 before.
        sent_to_idle: Whether the engine had no queue at the dispatch.
        uncached_tokens: Prompt tokens expected to be computed.
        may_have_run: Whether an earlier dispatch may have run.
        tried: Engines that failed or refused it.
    """

    key: JobKey
    job: ChatJob
    rank: Rank
    submitted_s: float = 0.0
    target: TargetId | None = None
    attempts: int = 0
    sent_s: float = 0.0
    started_s: float = 0.0
    sent_to_idle: bool = False
    uncached_tokens: float = 0.0
    may_have_run: bool = False
    tried: set[TargetId] = field(default_factory=set)

    def end_command(self, refused: Refused) -> EndRefused | EndFailed:
        """Returns the command that ends a job which is not sent.

        The job ends as failed if an earlier dispatch may have run.

        Args:
            refused: Why it is not sent.
        """
        if not self.may_have_run:
            return EndRefused(self.key, refused)
        failed = Failed(
            refused.step,
            refused.reason,
            peer=refused.peer,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
        )
        return EndFailed(self.key, failed)


class ScheduledJobs:
    """Jobs by key, with counts of those at engines."""

    def __init__(self, load: EngineLoadEstimate) -> None:
        """Creates an empty collection.

        Args:
            load: Counts this VM's requests at each engine.
        """
        self._load = load
        self._job_by_key: dict[JobKey, ScheduledJob] = {}
        self._in_flight_by_account: Counter[AccountId] = Counter()
        self.in_flight = 0

    def add(self, job: ScheduledJob) -> None:
        """Adds a job that is not at an engine."""
        self._job_by_key[job.key] = job

    def get(self, key: JobKey) -> ScheduledJob | None:
        """Returns a job, None when it has ended."""
        return self._job_by_key.get(key)

    def __getitem__(self, key: JobKey) -> ScheduledJob:
        return self._job_by_key[key]

    def remove(self, job: ScheduledJob) -> None:
        """Removes a job that has ended."""
        del self._job_by_key[job.key]

    def account_in_flight(self, account: AccountId) -> int:
        """Returns the number of an account's jobs at engines."""
        return self._in_flight_by_account[account]

    def assign(self, job: ScheduledJob, target: TargetId, now: float) -> None:
        """Assigns a job to the engine that it is sent to."""
        job.target = target
        job.sent_s = now
        job.started_s = 0.0
        self.in_flight += 1
        self._in_flight_by_account[job.job.account] += 1
        self._load.sent(target, now)

    def unassign(self, job: ScheduledJob, now: float) -> TargetId:
        """Removes a job from its engine; returns that engine's id."""
        target = job.target
        if target is None:
            return TargetId("")
        job.target = None
        self.in_flight -= 1
        self._in_flight_by_account[job.job.account] -= 1
        self._load.ended(target, now)
        return target
