"""Baseline policies of the policy bench: simple load balancers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from random import Random

from ..dispatch import ChatJob
from ..dispatch_commands import (
    DispatchCommand,
    EndFailed,
    EndRefused,
    JobKey,
    SendJob,
)
from ..engine_directory import EngineEntry
from ..ids import ProgramId, RequestId, TargetId
from ..outcomes import Failed, Reason, Refused, Step
from ..targets import CacheEvents, EngineDone, EngineRefused, LoadReport

__all__ = ["BASELINE_NAMES", "BaselineScheduler"]

BASELINE_NAMES = ("round_robin", "least_outstanding", "sticky")
MAX_ATTEMPTS = 3
NO_TARGET_RETRY_S = 2.0


class BaselineScheduler:
    """Sends every call immediately, without queueing."""

    def __init__(self, name: str, *, seed: int) -> None:
        """Initializes a scheduler without engines.

        Args:
            name: One of ``BASELINE_NAMES``.
            seed: Start of the round robin and seed of the tie-breaking.
        """
        self._name = name
        self._random = Random(seed)
        self._live_targets: list[TargetId] = []
        self._next_index = seed
        self._outstanding: dict[TargetId, int] = defaultdict(int)
        self._target_by_root: dict[ProgramId, TargetId] = {}
        self._sent: dict[JobKey, tuple[ChatJob, TargetId, int]] = {}
        self._request_number = 0

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Keeps the engines that are not leaving."""
        self._live_targets = [e.target for e in entries if not e.leaving]
        return []

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Sends the job to the engine chosen by the baseline."""
        return self._send(key, job, 1, exclude=None)

    def job_accepted(self, key: JobKey, now: float) -> None:
        """Does nothing."""

    def job_started(self, key: JobKey, now: float) -> None:
        """Does nothing."""

    def job_done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """Removes the job from the outstanding ones."""
        self._remove_sent(key)
        return []

    def job_refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """Retries the job at another engine."""
        job, target, attempts = self._remove_sent(key)
        if attempts < MAX_ATTEMPTS:
            return self._send(key, job, attempts + 1, exclude=target)
        refused = Refused(
            Step.DISPATCH, Reason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
        )
        return [EndRefused(key, refused)]

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
        """Retries at another engine if no chunk has been received."""
        job, target, attempts = self._remove_sent(key)
        if not chunks and may_repeat and attempts < MAX_ATTEMPTS:
            return self._send(key, job, attempts + 1, exclude=target)
        failed = Failed(Step.RELAY, Reason.TARGET_FAILED, peer=target)
        return [EndFailed(key, failed)]

    def observe_load(
        self, report: LoadReport, now: float
    ) -> list[DispatchCommand]:
        """Does nothing."""
        return []

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Does nothing."""

    def program_paused(self, root: ProgramId, now: float) -> None:
        """Does nothing."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """Forgets the engine of the program."""
        self._target_by_root.pop(root, None)
        return []

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Does nothing."""

    def poll(self, now: float) -> list[DispatchCommand]:
        """Does nothing: no job is ever queued."""
        return []

    def next_wake(self, now: float) -> float | None:
        """Returns None: there is nothing to poll."""
        return None

    def _send(
        self, key: JobKey, job: ChatJob, attempt: int, exclude: TargetId | None
    ) -> list[DispatchCommand]:
        candidates = [
            t for t in self._live_targets if t != exclude
        ] or self._live_targets
        if not candidates:
            refused = Refused(
                Step.PLACE, Reason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
            )
            return [EndRefused(key, refused)]
        target = self._choose(job.root, candidates)
        self._target_by_root[job.root] = target
        self._outstanding[target] += 1
        self._sent[key] = (job, target, attempt)
        self._request_number += 1
        request = RequestId(
            f"{job.program}#{job.number}.{self._request_number}"
        )
        return [SendJob(key, target, request, 0)]

    def _choose(self, root: ProgramId, candidates: list[TargetId]) -> TargetId:
        if self._name == "round_robin":
            self._next_index += 1
            return candidates[self._next_index % len(candidates)]
        if self._name == "sticky":
            last_target = self._target_by_root.get(root)
            if last_target in candidates:
                return last_target
        fewest = min(self._outstanding[target] for target in candidates)
        tied = [t for t in candidates if self._outstanding[t] == fewest]
        return self._random.choice(tied)

    def _remove_sent(self, key: JobKey) -> tuple[ChatJob, TargetId, int]:
        job, target, attempt = self._sent.pop(key)
        self._outstanding[target] -= 1
        return job, target, attempt
