"""Admits or refuses new jobs and ranks the admitted ones."""

from __future__ import annotations

from collections.abc import Callable

from ._engine_selector import EngineSelector
from ._scheduled_jobs import ScheduledJobs
from ._scheduler_state import SchedulerState
from .dispatch import ChatJob
from .fair_queue import Rank
from .outcomes import Reason, Refused, Step
from .rules.rule_set import RuleSet

__all__ = ["JobAdmission"]


class JobAdmission:
    """Refuses jobs that cannot run in time and ranks the others."""

    def __init__(
        self,
        state: SchedulerState,
        selector: EngineSelector,
        jobs: ScheduledJobs,
        *,
        rules: Callable[[], RuleSet],
        wall_ms: Callable[[], int],
    ) -> None:
        """Stores the scheduler's components.

        Args:
            state: The VM's estimates and limits.
            selector: Selects engines for jobs.
            jobs: The VM's jobs.
            rules: Returns the rules in force.
            wall_ms: Returns wall-clock time in milliseconds since 1970.
        """
        self._state = state
        self._selector = selector
        self._jobs = jobs
        self._rules = rules
        self._wall_ms = wall_ms

    def refusal(self, job: ChatJob, now: float) -> Refused | None:
        """Returns the refusal of a new job, None if it is admitted."""
        if self._state.quarantine.blocks(job.fingerprint):
            detail = "the request crashed the targets that ran it"
            return Refused(Step.PLACE, Reason.QUARANTINED, detail=detail)
        refused = self._selector.refusal(job, now)
        if refused is not None:
            return refused
        return self._overload_refusal(job, now)

    def rank(self, job: ChatJob) -> Rank:
        """Returns a new job's rank in the queue."""
        share = self._rules().share(job.account, job.program_class)
        return self._state.queue.rank(
            job,
            share,
            service_s=self._state.run_s(job),
            cached_prefill_s=self._selector.cached_prefill_s(job),
            slots=self._selector.vm_slots(),
            wall_s=self._wall_ms() / 1000.0,
        )

    def _overload_refusal(self, job: ChatJob, now: float) -> Refused | None:
        queued = len(self._state.queue)
        admission = self._state.overload
        wait_s = admission.wait_s(
            queued,
            in_flight=self._jobs.in_flight,
            residence_s=self._state.service.residence_s(),
            now=now,
        )
        retry_s = admission.retry_after_s(
            wait_s,
            self._state.run_s(job),
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
