"""The stand-in engine's queue and batch of generations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from ._sandbox_answer import (
    ChatPrompt,
    answer_chunks,
    answer_json,
    usage_events,
)

__all__ = ["Batch", "Generation"]


@dataclass(slots=True)
class Generation:
    """One request in the engine.

    Attributes:
        request: Its id.
        program: Its program.
        number: Its call's position in the program.
        prompt: What it asks.
        priority: Lower runs first.
        sequence: Its place in the order of arrival.
        accepted_at_s: When it arrived.
        body: The answer's bytes so far.
        cached_tokens: Prompt tokens found in the cache.
        made: Words generated so far.
        running: Whether it is in the batch.
        finished: Whether nothing will be added to the body.
        cancelled: Whether it was stopped before its end.
        delivered: Whether a reader got the whole body.
        readers: Readers attached now.
    """

    request: str
    program: str
    number: int
    prompt: ChatPrompt
    priority: int
    sequence: int
    accepted_at_s: float
    body: bytearray = field(default_factory=bytearray)
    cached_tokens: int = 0
    made: int = 0
    running: bool = False
    finished: bool = False
    cancelled: bool = False
    delivered: bool = False
    readers: int = 0
    _waiters: list[Deferred[None]] = field(default_factory=list)

    def changed(self) -> Deferred[None]:
        """Returns a Deferred that fires at the next change."""
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        return waiter

    def wake(self) -> None:
        """Wakes the readers."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)


class Batch:
    """Runs the generations with the lowest priority numbers first.

    Args:
        clock: The reactor or a test's clock.
        find: Returns the cached tokens of a generation's prompt.
        ended: Called when a generation has ended.
        max_running: Most generations at once.
        prefill_tokens_per_s: Prompt tokens read in a second.
        token_s: Seconds for each generated token.
        chunk_tokens: Tokens sent at a time.
    """

    def __init__(
        self,
        clock: Any,
        find: Callable[[Generation], int],
        ended: Callable[[Generation], None],
        *,
        max_running: int,
        prefill_tokens_per_s: float,
        token_s: float,
        chunk_tokens: int,
    ) -> None:
        self._clock = clock
        self._find = find
        self._ended = ended
        self._max_running = max_running
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._token_s = token_s
        self._chunk_tokens = max(1, chunk_tokens)
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []

    def add(self, generation: Generation) -> None:
        """Queues a generation."""
        self.waiting.append(generation)
        self.waiting.sort(key=lambda item: (item.priority, item.sequence))
        self._fill()

    def cancel(self, generation: Generation) -> None:
        """Stops a generation."""
        if generation.finished:
            return
        generation.cancelled = True
        self._finish(generation)

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self._max_running:
            generation = self.waiting.pop(0)
            generation.running = True
            generation.cached_tokens = self._find(generation)
            self.running.append(generation)
            fresh = generation.prompt.tokens - generation.cached_tokens
            prefill_s = max(0, fresh) / self._prefill_tokens_per_s
            self._clock.callLater(prefill_s, self._step, generation)

    def _step(self, generation: Generation) -> None:
        if generation.finished:
            return
        prompt = generation.prompt
        left = len(prompt.words) - generation.made
        count = min(self._chunk_tokens, left)
        if prompt.streamed:
            generation.body += answer_chunks(prompt, generation.made, count)
        generation.made += count
        if generation.made >= len(prompt.words):
            generation.body += self._tail(generation)
            self._finish(generation)
            return
        generation.wake()
        delay_s = self._token_s * count
        self._clock.callLater(delay_s, self._step, generation)

    def _finish(self, generation: Generation) -> None:
        generation.finished = True
        if generation in self.running:
            self.running.remove(generation)
        if generation in self.waiting:
            self.waiting.remove(generation)
        self._ended(generation)
        generation.wake()
        self._fill()

    @staticmethod
    def _tail(generation: Generation) -> bytes:
        if generation.prompt.streamed:
            return usage_events(generation.prompt, generation.cached_tokens)
        return answer_json(generation.prompt, generation.cached_tokens)
