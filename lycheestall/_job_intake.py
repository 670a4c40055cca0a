"""Whether a new job is taken, and where in the order it stands."""

from __future__ import annotations

from collections.abc import Callable

from ._engine_choice import EngineChoice
from ._scheduled_jobs import ScheduledJobs
from ._scheduler_parts import SchedulerParts
from .dispatch import ChatJob
from .fair_queue import Rank
from .outcomes import Reason, Refused, Step
from .rules.rule_book import RuleBook

__all__ = ["JobIntake"]


class JobIntake:
    """Refuses at once what cannot be met and ranks the rest."""

    def __init__(
        self,
        parts: SchedulerParts,
        choice: EngineChoice,
        jobs: ScheduledJobs,
        *,
        rules: Callable[[], RuleBook],
        wall_ms: Callable[[], int],
    ) -> None:
        """Uses the scheduler's parts.

        Args:
            parts: The VM's estimates and limits.
            choice: Which engines a job may go to.
            jobs: The VM's jobs.
            rules: The rules in force.
            wall_ms: Wall-clock time, milliseconds since 1970.
        """
        self._parts = parts
        self._choice = choice
        self._jobs = jobs
        self._rules = rules
        self._wall_ms = wall_ms

    def refusal(self, job: ChatJob, now: float) -> Refused | None:
        """Returns why a new job is not taken, None when it is."""
        if self._parts.quarantine.holds(job.fingerprint):
            detail = "the request crashed the targets that ran it"
            return Refused(Step.PLACE, Reason.QUARANTINED, detail=detail)
        refused = self._choice.refusal(job, now)
        if refused is not None:
            return refused
        return self._overload(job, now)

    def rank(self, job: ChatJob) -> Rank:
        """Returns a new job's place in the order."""
        share = self._rules().share(job.account, job.program_class)
        return self._parts.queue.rank(
            job,
            share,
            service_s=self._parts.run_s(job),
            warm_s=self._choice.warm_s(job),
            slots=self._choice.own_slots(),
            wall_s=self._wall_ms() / 1000.0,
        )

    def _overload(self, job: ChatJob, now: float) -> Refused | None:
        queued = len(self._parts.queue)
        admission = self._parts.admission
        wait_s = admission.wait_s(
            queued,
            in_flight=self._jobs.at_engines,
            stay_s=self._parts.service.stay_s(),
            now=now,
        )
        retry_s = admission.refusal_s(
            wait_s,
            self._parts.run_s(job),
            queued=queued,
            left_s=job.deadline_s - now,
        )
        if retry_s is None:
            return None
        return Refused(
            Step.PLACE,
            Reason.OVERLOADED,
            retry_after_s=retry_s,
            detail=f"the queue takes about {wait_s:.0f} s",
        )
