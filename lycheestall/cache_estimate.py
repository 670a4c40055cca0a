"""An own estimate of what each engine's prefix cache holds.

Three sources are merged: the VM's own calls, which say at once what an
engine must hold now; cached-token counts in answers, which say what it
held when the call started; and the engines' cache events, which are late
and have gaps but cover the programs of every VM.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .ids import AccountId, ProgramId, TargetId, root_program
from .targets import CacheEvents

__all__ = ["CacheEstimate"]

DISTRUST_S = 15.0
GAP_CONFIDENCE = 0.98
MISS_CONFIDENCE = 0.5
SMOOTHING = 0.2
FORGET_BELOW = 0.05
FADE_S = 120.0


@dataclass(slots=True)
class _Prefix:
    """What is believed of one program's prefix on one engine.

    Attributes:
        tokens: Its length.
        confidence: How likely it is still there, 0 to 1.
        used_s: When it was last known to be used or stored.
        own_until: Until when events about it may be older than what an
            own answer has said.
        counted: Whether it counts towards the engine's resident tokens.
        own: Whether the program is this VM's and has not ended.
    """

    tokens: int
    confidence: float
    used_s: float
    own_until: float = 0.0
    counted: bool = True
    own: bool = False


@dataclass(slots=True)
class _EngineCache:
    prefix_by_program: dict[ProgramId, _Prefix] = field(default_factory=dict)
    resident: int = 0
    next_sequence: int = 0
    capacity: float = 0.0


class CacheEstimate:
    """Expected cached tokens by engine and program."""

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._cache_by_target: dict[TargetId, _EngineCache] = {}
        self._programs_by_root: dict[ProgramId, dict[ProgramId, int]] = {}
        self._account_by_root: dict[ProgramId, AccountId] = {}
        self._tokens_by_account: Counter[AccountId] = Counter()

    def answered(
        self,
        target: TargetId,
        program: ProgramId,
        *,
        account: AccountId,
        tokens: int,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Takes an own answer: the engine now holds prompt and answer.

        Args:
            target: The engine.
            program: The program.
            account: Who pays for it.
            tokens: Prompt and answer tokens.
            cached_tokens: Prompt tokens it found cached.
            now: The time.
        """
        cache = self._cache(target)
        known = cache.prefix_by_program.get(program)
        if known is not None and cached_tokens < known.tokens // 2:
            self._distrust(cache, older_than=known.used_s)
        self._set(cache, program, tokens, now)
        prefix = cache.prefix_by_program[program]
        prefix.own_until = now + DISTRUST_S
        prefix.own = True
        programs = self._programs_by_root.setdefault(root_program(program), {})
        self._tokens_by_account[account] += tokens - programs.get(program, 0)
        programs[program] = tokens
        self._account_by_root[root_program(program)] = account

    def observe(self, target: TargetId, page: CacheEvents, now: float) -> None:
        """Takes a page of cache events.

        A counter that went back means that the engine has restarted with
        an empty cache.
        """
        if page.next_sequence < self._cache(target).next_sequence:
            self.forget_target(target)
        cache = self._cache(target)
        for event in page.events:
            if event.sequence < cache.next_sequence:
                continue
            lost = event.sequence - cache.next_sequence
            if cache.next_sequence and lost:
                self._weaken(cache, GAP_CONFIDENCE**lost)
            cache.next_sequence = event.sequence + 1
            self._take_event(cache, event.program, event.tokens, now)
        self._fade(cache, now)

    def tokens(
        self, target: TargetId, program: ProgramId, prompt_tokens: int
    ) -> float:
        """Returns the prompt tokens expected to be found cached."""
        cache = self._cache_by_target.get(target)
        if cache is None:
            return 0.0
        prefix = cache.prefix_by_program.get(program)
        if prefix is None:
            return 0.0
        return min(prefix.tokens, prompt_tokens) * prefix.confidence

    def holders(self, program: ProgramId) -> list[TargetId]:
        """Returns the engines believed to hold a program's prefix."""
        return [
            target
            for target, cache in self._cache_by_target.items()
            if program in cache.prefix_by_program
        ]

    def resident_tokens(self, target: TargetId) -> int:
        """Returns the tokens believed to be on an engine, all programs'."""
        cache = self._cache_by_target.get(target)
        return cache.resident if cache is not None else 0

    def account_tokens(self, account: AccountId) -> int:
        """Returns the prefix tokens of an account's live own programs."""
        return self._tokens_by_account[account]

    def capacity_tokens(self, target: TargetId) -> float:
        """Returns the engine's size as learned at evictions; 0 unknown.

        While an engine has evicted nothing of this VM's live programs,
        the mean of the other engines stands for it.
        """
        cache = self._cache_by_target.get(target)
        if cache is not None and cache.capacity:
            return max(cache.capacity, float(cache.resident))
        caches = self._cache_by_target.values()
        known = [c.capacity for c in caches if c.capacity]
        return sum(known) / len(known) if known else 0.0

    def ended(self, root: ProgramId) -> None:
        """Drops an own program and its sub-agents, whose memory is freed."""
        programs = self._programs_by_root.pop(root, {})
        account = self._account_by_root.pop(root, None)
        if account is not None:
            self._tokens_by_account[account] -= sum(programs.values())
        for program in programs:
            for cache in self._cache_by_target.values():
                self._remove(cache, program)

    def drop(self, target: TargetId, program: ProgramId) -> None:
        """Takes a program's prefix as gone from an engine."""
        cache = self._cache_by_target.get(target)
        if cache is not None:
            self._remove(cache, program)

    def forget_target(self, target: TargetId) -> None:
        """Takes an engine's cache as empty, after a crash."""
        cache = self._cache_by_target.pop(target, None)
        if cache is not None:
            self._cache(target).capacity = cache.capacity

    def _cache(self, target: TargetId) -> _EngineCache:
        return self._cache_by_target.setdefault(target, _EngineCache())

    def _take_event(
        self,
        cache: _EngineCache,
        program: ProgramId,
        tokens: int,
        now: float,
    ) -> None:
        prefix = cache.prefix_by_program.get(program)
        if prefix is not None and now < prefix.own_until:
            if tokens >= prefix.tokens:
                prefix.own_until = 0.0
                self._set(cache, program, tokens, now)
            return
        if tokens:
            self._set(cache, program, tokens, now)
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

    def _distrust(self, cache: _EngineCache, older_than: float) -> None:
        """Halves trust in what was used no later than a lost prefix."""
        for prefix in cache.prefix_by_program.values():
            if prefix.used_s <= older_than:
                prefix.confidence *= MISS_CONFIDENCE
        self._forget_faint(cache)

    def _weaken(self, cache: _EngineCache, factor: float) -> None:
        for prefix in cache.prefix_by_program.values():
            prefix.confidence *= factor
        self._forget_faint(cache)

    def _forget_faint(self, cache: _EngineCache) -> None:
        faint = [
            program
            for program, prefix in cache.prefix_by_program.items()
            if prefix.confidence < FORGET_BELOW
        ]
        for program in faint:
            self._remove(cache, program)

    def _fade(self, cache: _EngineCache, now: float) -> None:
        """Stops counting what nobody has used for long."""
        for prefix in cache.prefix_by_program.values():
            if prefix.counted and now - prefix.used_s > FADE_S:
                prefix.counted = False
                cache.resident -= prefix.tokens

    def _set(
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
