"""Baselines of the policy bench: what simple load balancers do."""

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
ATTEMPTS = 3
NO_TARGET_RETRY_S = 2.0


class BaselineScheduler:
    """Sends every call at once, first come, first served."""

    def __init__(self, name: str, *, seed: int) -> None:
        """Starts without engines.

        Args:
            name: One of ``BASELINE_NAMES``.
            seed: Breaks ties.
        """
        self._name = name
        self._random = Random(seed)
        self._open: list[TargetId] = []
        self._turn = seed
        self._outstanding: dict[TargetId, int] = defaultdict(int)
        self._target_by_root: dict[ProgramId, TargetId] = {}
        self._sent: dict[JobKey, tuple[ChatJob, TargetId, int]] = {}
        self._serial = 0

    def set_engines(
        self, entries: Iterable[EngineEntry], now: float
    ) -> list[DispatchCommand]:
        """Takes the engines that are live."""
        self._open = [e.target for e in entries if not e.leaving]
        return []

    def submit(
        self, key: JobKey, job: ChatJob, now: float
    ) -> list[DispatchCommand]:
        """Sends the job to the engine that the baseline names."""
        return self._send(key, job, 1, avoid=None)

    def accepted(self, key: JobKey, now: float) -> None:
        """Changes nothing."""

    def started(self, key: JobKey, now: float) -> None:
        """Changes nothing."""

    def done(
        self, key: JobKey, result: EngineDone, now: float
    ) -> list[DispatchCommand]:
        """Counts the call as no longer outstanding."""
        self._leave(key)
        return []

    def refused(
        self, key: JobKey, result: EngineRefused, now: float
    ) -> list[DispatchCommand]:
        """Tries another engine."""
        job, target, attempts = self._leave(key)
        if attempts < ATTEMPTS:
            return self._send(key, job, attempts + 1, avoid=target)
        refused = Refused(
            Step.DISPATCH, Reason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
        )
        return [EndRefused(key, refused)]

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
        """Tries another engine if nothing has been answered yet."""
        job, target, attempts = self._leave(key)
        if not chunks and may_repeat and attempts < ATTEMPTS:
            return self._send(key, job, attempts + 1, avoid=target)
        failed = Failed(Step.RELAY, Reason.TARGET_FAILED, peer=target)
        return [EndFailed(key, failed)]

    def observe(self, report: LoadReport, now: float) -> list[DispatchCommand]:
        """Changes nothing."""
        return []

    def observe_cache(
        self, target: TargetId, page: CacheEvents, now: float
    ) -> None:
        """Changes nothing."""

    def program_paused(self, root: ProgramId, now: float) -> None:
        """Changes nothing."""

    def program_ended(
        self, root: ProgramId, now: float
    ) -> list[DispatchCommand]:
        """Forgets where the program's calls went."""
        self._target_by_root.pop(root, None)
        return []

    def release_confirmed(self, target: TargetId, root: ProgramId) -> None:
        """Changes nothing."""

    def poll(self, now: float) -> list[DispatchCommand]:
        """Has nothing queued."""
        return []

    def next_wake(self, now: float) -> float | None:
        """Needs no waking."""
        return None

    def _send(
        self, key: JobKey, job: ChatJob, attempt: int, avoid: TargetId | None
    ) -> list[DispatchCommand]:
        choices = [t for t in self._open if t != avoid] or self._open
        if not choices:
            refused = Refused(
                Step.PLACE, Reason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
            )
            return [EndRefused(key, refused)]
        target = self._choose(job.root, choices)
        self._target_by_root[job.root] = target
        self._outstanding[target] += 1
        self._sent[key] = (job, target, attempt)
        self._serial += 1
        request = RequestId(f"{job.program}#{job.number}.{self._serial}")
        return [SendJob(key, target, request, 0)]

    def _choose(self, root: ProgramId, choices: list[TargetId]) -> TargetId:
        if self._name == "round_robin":
            self._turn += 1
            return choices[self._turn % len(choices)]
        if self._name == "sticky":
            known = self._target_by_root.get(root)
            if known in choices:
                return known
        fewest = min(self._outstanding[target] for target in choices)
        equal = [t for t in choices if self._outstanding[t] == fewest]
        return self._random.choice(equal)

    def _leave(self, key: JobKey) -> tuple[ChatJob, TargetId, int]:
        job, target, attempt = self._sent.pop(key)
        self._outstanding[target] -= 1
        return job, target, attempt
