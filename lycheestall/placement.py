"""Chooses an engine for a job by weighing cache affinity against load.

Each candidate engine gets a cost in seconds: the expected wait in its
queue, the slowdown by the other requests in its batch, the prefill of
prompt tokens that are not cached, and the prefill of other programs'
tokens that would be evicted. The cheapest engine is chosen, so an engine
without the cached prefix is used only when that outweighs the prefill.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from .cache_estimate import CacheEstimate
from .dispatch import ChatJob
from .dispatch_commands import JobKey
from .engine_load import EngineLoadEstimate
from .engine_queue import batch_slowdown, queue_wait_s
from .ids import ProgramId, TargetId, VmId
from .service_estimate import ServiceEstimate

__all__ = ["Candidate", "Placement"]

PREFILL_WEIGHT = 8.0
EVICTION_WEIGHT = 1.0
PREFIX_GROWTH = 1.2  # size after the answer, relative to the prompt
COLD_CANDIDATES = 2  # sampled when no engine has the prefix cached
MEMORY_MARGIN = 3.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine and its cost for a job.

    Attributes:
        target: The engine.
        cost_s: The cost in seconds.
        cached_tokens: Prompt tokens expected in the engine's cache.
    """

    target: TargetId
    cost_s: float
    cached_tokens: float


class Placement:
    """Compares engines by this VM's estimates."""

    def __init__(
        self,
        *,
        vm: VmId,
        seed: int,
        cache: CacheEstimate,
        load: EngineLoadEstimate,
        service: ServiceEstimate,
    ) -> None:
        """Stores the VM's estimates.

        Args:
            vm: The VM.
            seed: Seeds the tie breaker between engines of equal cost.
            cache: Estimate of the engines' prefix caches.
            load: Estimate of the engines' load.
            service: Estimate of call durations.
        """
        self._salt = f"{vm}/{seed}"
        self._cache = cache
        self._load = load
        self._service = service

    def choose(
        self, key: JobKey, job: ChatJob, targets: Iterable[TargetId]
    ) -> Candidate | None:
        """Returns the cheapest of the engines, None if there are none.

        Args:
            key: The job's key.
            job: The job.
            targets: The engines to compare.
        """
        candidates = [self._evaluate(job, target) for target in targets]
        if not candidates:
            return None
        if not any(candidate.cached_tokens for candidate in candidates):
            candidates = self._sample(key, candidates)
        return min(
            candidates,
            key=lambda c: (
                round(c.cost_s, 3),
                self._tie_breaker(key, c.target),
            ),
        )

    def cached_prefill_s(
        self, job: ChatJob, targets: Iterable[TargetId]
    ) -> float:
        """Returns the prefill time that the best cache hit would save."""
        tokens = [self.cached_tokens(job, target) for target in targets]
        return self._service.prefill_s(max(tokens, default=0.0))

    def cached_tokens(self, job: ChatJob, target: TargetId) -> float:
        """Returns the prompt tokens expected in an engine's cache.

        A sub-agent without a cached prefix is assumed to share half of
        its prompt with its parent.
        """
        own = self._cache.tokens(target, job.program, job.prompt_tokens)
        if own or "/" not in job.program:
            return own
        parent = ProgramId(job.program.rsplit("/", 1)[0])
        shared = job.prompt_tokens // 2
        return self._cache.tokens(target, parent, shared)

    def has_memory(
        self,
        key: JobKey,
        job: ChatJob,
        target: TargetId,
        *,
        share: float,
    ) -> bool:
        """Returns whether a job's prompt fits beside the cached tokens.

        Each VM demands a different margin for each job, so that VMs which
        see the same free memory do not all fill it at once.

        Args:
            key: The job's key.
            job: The job.
            target: The engine.
            share: Share of the engine's memory that may be in use.
        """
        capacity = self._cache.capacity_tokens(target)
        if not capacity or self.cached_tokens(job, target):
            return True
        free = share * capacity - self._cache.resident_tokens(target)
        margin = 1.0 + MEMORY_MARGIN * self._tie_breaker(key, target) / 2**32
        return free >= margin * job.prompt_tokens

    def _evaluate(self, job: ChatJob, target: TargetId) -> Candidate:
        load, service = self._load, self._service
        cached = self.cached_tokens(job, target)
        slots = load.batch_slots(target)
        run_s = service.service_s(job.account, job.program_class)
        wait_s = queue_wait_s(
            load.queue_length_ahead(target), slots, service.residence_s()
        )
        slowdown = batch_slowdown(load.requests(target), slots)
        prefill_s = service.prefill_s(job.prompt_tokens - cached)
        cost_s = wait_s + (slowdown - 1.0) * run_s
        cost_s += PREFILL_WEIGHT * prefill_s
        cost_s += self._eviction_s(job, target, cached)
        return Candidate(target, cost_s, cached)

    def _eviction_s(
        self, job: ChatJob, target: TargetId, cached: float
    ) -> float:
        capacity = self._cache.capacity_tokens(target)
        if not capacity:
            return 0.0
        added = PREFIX_GROWTH * job.prompt_tokens - cached
        resident = self._cache.resident_tokens(target)
        evicted = min(max(resident + added - capacity, 0.0), added)
        return EVICTION_WEIGHT * self._service.prefill_s(evicted)

    def _sample(
        self, key: JobKey, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Returns a random sample that differs by VM and by job.

        Without it, all VMs that see the same stale load reports would
        choose the same idle engine.
        """
        ordered = sorted(
            candidates, key=lambda c: self._tie_breaker(key, c.target)
        )
        return ordered[:COLD_CANDIDATES]

    def _tie_breaker(self, key: JobKey, target: TargetId) -> int:
        return crc32(f"{self._salt}/{key}/{target}".encode())
