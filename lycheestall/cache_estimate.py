"""Estimates the contents of each engine's prefix cache.

Three sources are merged: answers to this VM's own calls, after which an
engine holds prompt and answer; the cached-token counts in those answers,
which tell what it held when the call started; and the engines' cache
events, which are delayed and have gaps but cover all VMs' programs.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .ids import AccountId, ProgramId, TargetId, root_program
from .targets import CacheEvents

__all__ = ["CacheEstimate"]

EVENT_DELAY_S = 15.0  # longest time an event is assumed to be late
GAP_CONFIDENCE = 0.98  # for each lost event
MISS_CONFIDENCE = 0.5  # after an unexpected cache miss
SMOOTHING = 0.2
MIN_CONFIDENCE = 0.05
IDLE_PREFIX_S = 120.0  # then a prefix no longer counts as resident


@dataclass(slots=True)
class _Prefix:
    """Estimate of one program's prefix on one engine.

    Attributes:
        tokens: Its length.
        confidence: Probability that it is still cached, 0 to 1.
        used_s: Time of its last known use.
        ignore_older_until: Time until which events about it may be older
            than the newest answer.
        counted: Whether it counts towards the engine's resident tokens.
        own: Whether the program is this VM's and has not ended.
    """

    tokens: int
    confidence: float
    used_s: float
    ignore_older_until: float = 0.0
    counted: bool = True
    own: bool = False


@dataclass(slots=True)
class _EngineCache:
    prefix_by_program: dict[ProgramId, _Prefix] = field(default_factory=dict)
    resident: int = 0
    next_sequence: int = 0
    capacity: float = 0.0


class CacheEstimate:
    """Estimates cached tokens by engine and program."""

    def __init__(self) -> None:
        """Creates an estimate without any cached prefix."""
        self._cache_by_target: dict[TargetId, _EngineCache] = {}
        self._programs_by_root: dict[ProgramId, dict[ProgramId, int]] = {}
        self._account_by_root: dict[ProgramId, AccountId] = {}
        self._tokens_by_account: Counter[AccountId] = Counter()

    def record_answer(
        self,
        target: TargetId,
        program: ProgramId,
        *,
        account: AccountId,
        tokens: int,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Records that an engine answered, and so holds the whole prefix.

        A cached-token count far below the estimate also lowers the
        confidence in all prefixes that were used no later.

        Args:
            target: The engine.
            program: The program.
            account: The account that is charged for it.
            tokens: Prompt and answer tokens.
            cached_tokens: Prompt tokens that the engine found cached.
            now: The current time.
        """
        cache = self._cache(target)
        known = cache.prefix_by_program.get(program)
        if known is not None and cached_tokens < known.tokens // 2:
            self._lower_confidence_up_to(cache, used_by_s=known.used_s)
        self._store(cache, program, tokens, now)
        prefix = cache.prefix_by_program[program]
        prefix.ignore_older_until = now + EVENT_DELAY_S
        prefix.own = True
        programs = self._programs_by_root.setdefault(root_program(program), {})
        self._tokens_by_account[account] += tokens - programs.get(program, 0)
        programs[program] = tokens
        self._account_by_root[root_program(program)] = account

    def observe(self, target: TargetId, page: CacheEvents, now: float) -> None:
        """Applies a page of cache events.

        A lower sequence number than before means that the engine has
        restarted with an empty cache.
        """
        if page.next_sequence < self._cache(target).next_sequence:
            self.clear_engine(target)
        cache = self._cache(target)
        for event in page.events:
            if event.sequence < cache.next_sequence:
                continue
            lost = event.sequence - cache.next_sequence
            if cache.next_sequence and lost:
                self._lower_confidence(cache, GAP_CONFIDENCE**lost)
            cache.next_sequence = event.sequence + 1
            self._apply_event(cache, event.program, event.tokens, now)
        self._stop_counting_idle(cache, now)

    def tokens(
        self, target: TargetId, program: ProgramId, prompt_tokens: int
    ) -> float:
        """Returns the expected number of cached prompt tokens."""
        cache = self._cache_by_target.get(target)
        if cache is None:
            return 0.0
        prefix = cache.prefix_by_program.get(program)
        if prefix is None:
            return 0.0
        return min(prefix.tokens, prompt_tokens) * prefix.confidence

    def holders(self, program: ProgramId) -> list[TargetId]:
        """Returns the engines that are estimated to hold a prefix."""
        return [
            target
            for target, cache in self._cache_by_target.items()
            if program in cache.prefix_by_program
        ]

    def resident_tokens(self, target: TargetId) -> int:
        """Returns the estimated cached tokens of all programs on an engine."""
        cache = self._cache_by_target.get(target)
        return cache.resident if cache is not None else 0

    def account_tokens(self, account: AccountId) -> int:
        """Returns the prefix tokens of an account's live programs here."""
        return self._tokens_by_account[account]

    def capacity_tokens(self, target: TargetId) -> float:
        """Returns an engine's estimated cache size, 0 when unknown.

        The size is learned from evictions of this VM's live programs.
        Without one, the mean of the other engines is used.
        """
        cache = self._cache_by_target.get(target)
        if cache is not None and cache.capacity:
            return max(cache.capacity, float(cache.resident))
        caches = self._cache_by_target.values()
        known = [c.capacity for c in caches if c.capacity]
        return sum(known) / len(known) if known else 0.0

    def program_ended(self, root: ProgramId) -> None:
        """Removes a program of this VM and its sub-agents."""
        programs = self._programs_by_root.pop(root, {})
        account = self._account_by_root.pop(root, None)
        if account is not None:
            self._tokens_by_account[account] -= sum(programs.values())
        for program in programs:
            for cache in self._cache_by_target.values():
                self._remove(cache, program)

    def remove(self, target: TargetId, program: ProgramId) -> None:
        """Removes a program's prefix from the estimate of an engine."""
        cache = self._cache_by_target.get(target)
        if cache is not None:
            self._remove(cache, program)

    def clear_engine(self, target: TargetId) -> None:
        """Marks an engine's cache as empty after a crash; keeps its size."""
        cache = self._cache_by_target.pop(target, None)
        if cache is not None:
            self._cache(target).capacity = cache.capacity

    def _cache(self, target: TargetId) -> _EngineCache:
        return self._cache_by_target.setdefault(target, _EngineCache())

    def _apply_event(
        self,
        cache: _EngineCache,
        program: ProgramId,
        tokens: int,
        now: float,
    ) -> None:
        prefix = cache.prefix_by_program.get(program)
        if prefix is not None and now < prefix.ignore_older_until:
            if tokens >= prefix.tokens:
                prefix.ignore_older_until = 0.0
                self._store(cache, program, tokens, now)
            return
        if tokens:
            self._store(cache, program, tokens, now)
            return
        if prefix is None:
            return
        if prefix.own:
            self._learn_capacity(cache)
        self._remove(cache, program)

    def _learn_capacity(self, cache: _EngineCache) -> None:
        if not cache.capacity:
            cache.capacity = float(cache.resident)
            return
        change = cache.resident - cache.capacity
        cache.capacity += SMOOTHING * change

    def _lower_confidence_up_to(
        self, cache: _EngineCache, used_by_s: float
    ) -> None:
        """Lowers the confidence in prefixes used no later than a lost one."""
        for prefix in cache.prefix_by_program.values():
            if prefix.used_s <= used_by_s:
                prefix.confidence *= MISS_CONFIDENCE
        self._remove_unlikely(cache)

    def _lower_confidence(self, cache: _EngineCache, factor: float) -> None:
        for prefix in cache.prefix_by_program.values():
            prefix.confidence *= factor
        self._remove_unlikely(cache)

    def _remove_unlikely(self, cache: _EngineCache) -> None:
        unlikely = [
            program
            for program, prefix in cache.prefix_by_program.items()
            if prefix.confidence < MIN_CONFIDENCE
        ]
        for program in unlikely:
            self._remove(cache, program)

    def _stop_counting_idle(self, cache: _EngineCache, now: float) -> None:
        """Stops counting prefixes that were not used for a long time."""
        for prefix in cache.prefix_by_program.values():
            if prefix.counted and now - prefix.used_s > IDLE_PREFIX_S:
                prefix.counted = False
                cache.resident -= prefix.tokens

    def _store(
        self,
        cache: _EngineCache,
        program: ProgramId,
        tokens: int,
        now: float,
    ) -> None:
        prefix = cache.prefix_by_program.get(program)
        if prefix is None:
            cache.prefix_by_program[program] = _Prefix(tokens, 1.0, now)
            cache.resident += tokens
            return
        cache.resident += tokens
        if prefix.counted:
            cache.resident -= prefix.tokens
        prefix.counted = True
        prefix.tokens = tokens
        prefix.confidence = 1.0
        prefix.used_s = now

    def _remove(self, cache: _EngineCache, program: ProgramId) -> None:
        prefix = cache.prefix_by_program.pop(program, None)
        if prefix is not None and prefix.counted:
            cache.resident -= prefix.tokens
