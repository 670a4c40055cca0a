"""Chooses an engine for a job: cache affinity against load.

Each engine that may take the job gets a cost in seconds: the wait that is
expected in its queue, how much its batch slows the answer, the prompt
tokens it would have to compute, and the cached tokens of others it would
have to evict. The cheapest engine wins; another one than the warm one is
chosen only when the gain exceeds the cost of computing again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from .cache_estimate import CacheEstimate
from .dispatch import ChatJob
from .dispatch_commands import JobKey
from .engine_load import EngineLoad
from .ids import ProgramId, TargetId, VmId
from .service_estimate import ServiceEstimate

__all__ = ["Choice", "Placement"]

PREFILL_WEIGHT = 8.0
BATCH_SLOWDOWN = 1.0
EVICTION_WEIGHT = 1.0
GROWTH = 1.2
COLD_CHOICES = 2
ROOM_CAUTION = 3.0


@dataclass(frozen=True, slots=True)
class Choice:
    """An engine for a job.

    Attributes:
        target: The engine.
        cost_s: Its cost.
        cached_tokens: Prompt tokens expected in its cache.
    """

    target: TargetId
    cost_s: float
    cached_tokens: float


class Placement:
    """Compares engines by estimates alone."""

    def __init__(
        self,
        *,
        vm: VmId,
        seed: int,
        cache: CacheEstimate,
        load: EngineLoad,
        service: ServiceEstimate,
    ) -> None:
        """Uses the VM's estimates.

        Args:
            vm: The VM.
            seed: Breaks ties between equal engines.
            cache: What engines hold.
            load: How busy they are.
            service: How long calls take.
        """
        self._salt = f"{vm}/{seed}"
        self._cache = cache
        self._load = load
        self._service = service

    def choose(
        self, key: JobKey, job: ChatJob, targets: Iterable[TargetId]
    ) -> Choice | None:
        """Returns the cheapest of the engines, None when there is none.

        Args:
            key: The job's key.
            job: The job.
            targets: Engines that may take it.
        """
        choices = [self._choice(job, target) for target in targets]
        if not choices:
            return None
        if not any(choice.cached_tokens for choice in choices):
            choices = self._sampled(key, choices)
        return min(
            choices,
            key=lambda c: (round(c.cost_s, 3), self._tie(key, c.target)),
        )

    def warm_s(self, job: ChatJob, targets: Iterable[TargetId]) -> float:
        """Returns the prefill time that the warmest engine would save."""
        tokens = [self.cached_tokens(job, target) for target in targets]
        return self._service.prefill_s(max(tokens, default=0.0))

    def cached_tokens(self, job: ChatJob, target: TargetId) -> float:
        """Returns the prompt tokens expected in an engine's cache."""
        own = self._cache.tokens(target, job.program, job.prompt_tokens)
        if own or "/" not in job.program:
            return own
        parent = ProgramId(job.program.rsplit("/", 1)[0])
        shared = job.prompt_tokens // 2
        return self._cache.tokens(target, parent, shared)

    def has_room(
        self,
        key: JobKey,
        job: ChatJob,
        target: TargetId,
        *,
        share: float,
    ) -> bool:
        """Returns whether a job's prompt fits beside what is cached.

        VMs that see the same free memory ask for different amounts, so
        that they do not all fill it at once.

        Args:
            key: The job's key.
            job: The job.
            target: The engine.
            share: Share of the engine's memory that may be filled.
        """
        capacity = self._cache.capacity_tokens(target)
        if not capacity or self.cached_tokens(job, target):
            return True
        free = share * capacity - self._cache.resident_tokens(target)
        caution = 1.0 + ROOM_CAUTION * self._tie(key, target) / 2**32
        return free >= caution * job.prompt_tokens

    def _choice(self, job: ChatJob, target: TargetId) -> Choice:
        load, service = self._load, self._service
        cached = self.cached_tokens(job, target)
        slots = load.slots(target)
        run_s = service.service_s(job.account, job.program_class)
        wait_s = load.queue_ahead(target) / slots * service.stay_s()
        busy = min(load.requests(target) / slots, 1.0)
        prefill_s = service.prefill_s(job.prompt_tokens - cached)
        cost_s = wait_s + busy * BATCH_SLOWDOWN * run_s
        cost_s += PREFILL_WEIGHT * prefill_s
        cost_s += self._eviction_s(job, target, cached)
        return Choice(target, cost_s, cached)

    def _eviction_s(
        self, job: ChatJob, target: TargetId, cached: float
    ) -> float:
        capacity = self._cache.capacity_tokens(target)
        if not capacity:
            return 0.0
        added = GROWTH * job.prompt_tokens - cached
        resident = self._cache.resident_tokens(target)
        evicted = min(max(resident + added - capacity, 0.0), added)
        return EVICTION_WEIGHT * self._service.prefill_s(evicted)

    def _sampled(self, key: JobKey, choices: list[Choice]) -> list[Choice]:
        """Returns a few engines, others on each VM and for each job.

        VMs that see the same stale reports would otherwise all choose
        the same idle engine.
        """
        ordered = sorted(choices, key=lambda c: self._tie(key, c.target))
        return ordered[:COLD_CHOICES]

    def _tie(self, key: JobKey, target: TargetId) -> int:
        return crc32(f"{self._salt}/{key}/{target}".encode())
