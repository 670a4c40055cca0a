"""The parts of the engine scheduler, and what each event tells them."""

from __future__ import annotations

from collections.abc import Callable

from ._scheduled_jobs import ScheduledJob
from .admission import Admission
from .cache_estimate import CacheEstimate
from .dispatch import ChatJob
from .ejection import OutlierEjection
from .engine_load import EngineLoad
from .engine_memory import EngineMemory
from .fair_queue import FairQueue
from .ids import TargetId, VmId
from .placement import Placement
from .quarantine import Quarantine
from .retries import RetryBudget
from .service_estimate import ServiceEstimate
from .targets import EngineDone, EngineRefused, LoadReport

__all__ = ["SchedulerParts"]


class SchedulerParts:
    """The estimates and limits that one VM keeps."""

    def __init__(
        self, *, vm: VmId, seed: int, quarantined: Callable[[bytes], bool]
    ) -> None:
        """Starts with nothing known.

        Args:
            vm: The VM.
            seed: Breaks ties between equal engines.
            quarantined: Whether all VMs' reports quarantine a request.
        """
        self.queue = FairQueue()
        self.cache = CacheEstimate()
        self.load = EngineLoad()
        self.service = ServiceEstimate()
        self.admission = Admission()
        self.retries = RetryBudget()
        self.ejection = OutlierEjection()
        self.quarantine = Quarantine(reported=quarantined)
        self.memory = EngineMemory()
        self.placement = Placement(
            vm=vm,
            seed=seed,
            cache=self.cache,
            load=self.load,
            service=self.service,
        )

    def run_s(self, job: ChatJob) -> float:
        """Returns the time a job is expected to run."""
        return self.service.service_s(job.account, job.program_class)

    def sent(self, job: ScheduledJob, target: TargetId) -> None:
        """A job goes to an engine."""
        self.memory.lease(job.job.root, target)
        self.ejection.sent(target)
        self.quarantine.sent(job.job.fingerprint, target)

    def unsent(self, job: ScheduledJob, target: TargetId) -> None:
        """A job left an engine without telling anything about it."""
        self.ejection.probe_ended(target)
        self.quarantine.left(job.job.fingerprint, target)

    def answered(
        self,
        job: ScheduledJob,
        target: TargetId,
        result: EngineDone,
        now: float,
    ) -> None:
        """An engine gave a whole answer."""
        if self.ejection.answered(target):
            self.admission.limit(target).start_slowly(now)
        self.quarantine.left(job.job.fingerprint, target)
        self.quarantine.answered(job.job.fingerprint)
        self.admission.answered(now)
        self.cache.answered(
            target,
            job.job.program,
            account=job.job.account,
            tokens=result.tokens_in + result.tokens_out,
            cached_tokens=result.cached_tokens,
            now=now,
        )
        started_s = job.started_s or job.sent_s
        computed = result.tokens_in - result.cached_tokens
        run_s = now - started_s + self.service.prefill_s(computed)
        stay_s = now - job.sent_s
        self.service.answered(
            job.job.account,
            job.job.program_class,
            service_s=min(run_s, stay_s),
            stay_s=stay_s,
        )
        self.queue.charge(job.job.root, min(run_s, stay_s))

    def turned_away(
        self,
        job: ScheduledJob,
        target: TargetId,
        result: EngineRefused,
        now: float,
    ) -> None:
        """An engine refused a job."""
        self.quarantine.left(job.job.fingerprint, target)
        if not result.status:
            self._down(target, now)
            return
        self.ejection.probe_ended(target)
        self.admission.limit(target).turned_away()

    def broken(
        self,
        job: ScheduledJob,
        target: TargetId,
        *,
        crashed: bool,
        now: float,
    ) -> None:
        """A stream broke for good."""
        self.quarantine.left(job.job.fingerprint, target)
        if crashed:
            self.quarantine.crashed(job.job.fingerprint, target)
            self._down(target, now)
            return
        self.ejection.failed(target, now, hard=False)

    def timed_out(
        self, job: ScheduledJob, target: TargetId, now: float
    ) -> None:
        """An answer did not come by its deadline."""
        self.quarantine.left(job.job.fingerprint, target)
        self.ejection.failed(target, now, hard=False)

    def observe(self, report: LoadReport, now: float) -> None:
        """Takes a load report."""
        self.load.observe(report, now)
        own = self.load.own(report.target)
        self.admission.limit(report.target).observe(report, own)

    def _down(self, target: TargetId, now: float) -> None:
        if self.ejection.failed(target, now, hard=True):
            self.cache.forget_target(target)
            self.memory.target_gone(target)
