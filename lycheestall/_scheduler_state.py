"""The engine scheduler's estimates and limits, updated by events."""

from __future__ import annotations

from collections.abc import Callable

from ._scheduled_jobs import ScheduledJob
from .cache_estimate import CacheEstimate
from .dispatch import ChatJob
from .ejection import OutlierEjection
from .engine_load import EngineLoadEstimate
from .engine_memory import EngineMemoryTracker
from .fair_queue import FairQueue
from .ids import TargetId, VmId
from .overload_control import OverloadControl
from .placement import Placement
from .quarantine import Quarantine
from .retries import RetryBudget
from .service_estimate import ServiceEstimate
from .targets import EngineDone, EngineRefused, LoadReport

__all__ = ["SchedulerState"]


class SchedulerState:
    """Passes each event to the estimates and limits that it concerns."""

    def __init__(
        self, *, vm: VmId, seed: int, quarantined: Callable[[bytes], bool]
    ) -> None:
        """Creates the state without any engine or job.

        Args:
            vm: The VM.
            seed: Seeds the tie breaker between engines of equal cost.
            quarantined: Returns whether the crash reports of all VMs
                quarantine a fingerprint.
        """
        self.queue = FairQueue()
        self.cache = CacheEstimate()
        self.load = EngineLoadEstimate()
        self.service = ServiceEstimate()
        self.overload = OverloadControl()
        self.retries = RetryBudget()
        self.ejection = OutlierEjection()
        self.quarantine = Quarantine(reported_quarantined=quarantined)
        self.memory = EngineMemoryTracker()
        self.placement = Placement(
            vm=vm,
            seed=seed,
            cache=self.cache,
            load=self.load,
            service=self.service,
        )

    def run_s(self, job: ChatJob) -> float:
        """Returns a job's expected run time."""
        return self.service.service_s(job.account, job.program_class)

    def record_sent(self, job: ScheduledJob, target: TargetId) -> None:
        """Records that a job is sent to an engine."""
        self.memory.record_held(job.job.root, target)
        self.ejection.record_sent(target)
        self.quarantine.record_sent(job.job.fingerprint, target)

    def record_withdrawn(self, job: ScheduledJob, target: TargetId) -> None:
        """Records that a job left its engine without a result."""
        self.ejection.probe_inconclusive(target)
        self.quarantine.record_ended(job.job.fingerprint, target)

    def record_answer(
        self,
        job: ScheduledJob,
        target: TargetId,
        result: EngineDone,
        now: float,
    ) -> None:
        """Records a complete answer."""
        if self.ejection.record_answer(target):
            self.overload.limit(target).begin_slow_start(now)
        self.quarantine.record_ended(job.job.fingerprint, target)
        self.quarantine.clear(job.job.fingerprint)
        self.overload.record_answer(now)
        self.cache.record_answer(
            target,
            job.job.program,
            account=job.job.account,
            tokens=result.tokens_in + result.tokens_out,
            cached_tokens=result.cached_tokens,
            now=now,
        )
        started_s = job.started_s or job.sent_s
        prefilled_tokens = result.tokens_in - result.cached_tokens
        run_s = now - started_s + self.service.prefill_s(prefilled_tokens)
        residence_s = now - job.sent_s
        self.service.record_answer(
            job.job.account,
            job.job.program_class,
            service_s=min(run_s, residence_s),
            residence_s=residence_s,
        )
        self.queue.charge(job.job.root, min(run_s, residence_s))

    def record_refusal(
        self,
        job: ScheduledJob,
        target: TargetId,
        result: EngineRefused,
        now: float,
    ) -> None:
        """Records a refusal; without an HTTP status the engine is down."""
        self.quarantine.record_ended(job.job.fingerprint, target)
        if not result.status:
            self._engine_down(target, now)
            return
        self.ejection.probe_inconclusive(target)
        self.overload.limit(target).engine_refused()

    def record_broken_stream(
        self,
        job: ScheduledJob,
        target: TargetId,
        *,
        crashed: bool,
        now: float,
    ) -> None:
        """Records a stream that broke and could not be resumed."""
        self.quarantine.record_ended(job.job.fingerprint, target)
        if crashed:
            self.quarantine.record_crash(job.job.fingerprint, target)
            self._engine_down(target, now)
            return
        self.ejection.record_failure(target, now, down=False)

    def record_timeout(
        self, job: ScheduledJob, target: TargetId, now: float
    ) -> None:
        """Records an engine that did not answer in time."""
        self.quarantine.record_ended(job.job.fingerprint, target)
        self.ejection.record_failure(target, now, down=False)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Updates load estimate and concurrency limit from a report."""
        self.load.observe(report, now)
        own = self.load.own_requests(report.target)
        self.overload.limit(report.target).observe(report, own)

    def _engine_down(self, target: TargetId, now: float) -> None:
        if self.ejection.record_failure(target, now, down=True):
            self.cache.clear_engine(target)
            self.memory.engine_lost_memory(target)
