"""Simulates a model engine with continuous batching in virtual time.

It is a fluid model: between events all requests in the batch decode at one
common rate, and one prefill at a time takes a fixed share of the engine
while others decode. ``advance`` moves the simulation to a time and returns
the events since the last call.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from ._prefix_cache import PrefixCache
from .engine_costs import EngineCosts
from .engine_model_events import (
    CacheChanged,
    ModelEvent,
    ModelRequest,
    RequestFinished,
    RequestStarted,
    TokensStarted,
)
from .ids import ProgramId, RequestId

__all__ = [
    "CacheChanged",
    "EngineCosts",
    "EngineModel",
    "ModelEvent",
    "ModelRequest",
    "RequestFinished",
    "RequestStarted",
    "TokensStarted",
]


@dataclass(slots=True)
class _Running:
    request: ModelRequest
    cached: int
    prefill_left: float
    decode_from: float = -1.0


class EngineModel:
    """One engine: a priority queue, a batch and a prefix cache."""

    def __init__(
        self, costs: EngineCosts | None = None, *, now: float = 0.0
    ) -> None:
        """Creates an idle engine with an empty cache.

        Args:
            costs: Speeds and sizes; the defaults when None.
            now: The current time.
        """
        self.costs = costs or EngineCosts()
        self.speed = 1.0
        self._reset(now)

    def _reset(self, now: float) -> None:
        self.cache = PrefixCache(self.costs.kv_tokens)
        self._now = now
        self._sequence = 0
        self._events: list[ModelEvent] = []
        self._queue: list[tuple[int, int, ModelRequest]] = []
        self._cancelled: set[RequestId] = set()
        self._running: dict[RequestId, _Running] = {}
        self._prefills: list[_Running] = []
        self._decode_clock = 0.0
        self._decode_ends: list[tuple[float, int, RequestId]] = []
        self._decoding = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue) - len(self._cancelled)

    @property
    def kv_used(self) -> float:
        """Share of the KV memory that running requests and pins use."""
        return self.cache.unevictable_share()

    def submit(self, request: ModelRequest, now: float) -> bool:
        """Queues a request.

        Args:
            request: The request.
            now: The current time.

        Returns:
            False when the queue is full or the request does not fit into
            the KV memory at all.
        """
        self._run_until(now)
        size = request.prompt_tokens + request.output_tokens
        if size > self.costs.kv_tokens:
            return False
        if self.waiting >= self.costs.queue_limit:
            return False
        self._sequence += 1
        entry = (request.priority, self._sequence, request)
        heapq.heappush(self._queue, entry)
        self._fill_batch()
        return True

    def cancel(self, request: RequestId, now: float) -> bool:
        """Stops a request; the tokens it has computed stay cached.

        Args:
            request: The request's id.
            now: The current time.

        Returns:
            Whether the engine had it.
        """
        self._run_until(now)
        running = self._running.get(request)
        if running is None:
            return self._cancel_queued(request)
        generated = self.tokens_generated(request)
        left = int(running.prefill_left)
        self._remove(running)
        held = running.request.prompt_tokens - left + generated
        self._store(running.request, held)
        self._fill_batch()
        return True

    def tokens_generated(self, request: RequestId) -> int:
        """Returns the number of tokens generated, 0 when not running."""
        running = self._running.get(request)
        if running is None or running.decode_from < 0:
            return 0
        generated = self._decode_clock - running.decode_from
        return min(int(generated), running.request.output_tokens)

    def next_event_at(self) -> float | None:
        """Returns the time of the next event, None while idle."""
        if self._events:
            return self._now
        return _earliest(self._prefill_at(), self._decode_at())

    def advance(self, now: float) -> list[ModelEvent]:
        """Advances to a time and returns the events since the last call."""
        self._run_until(now)
        events, self._events = self._events, []
        return events

    def set_speed(self, speed: float, now: float) -> None:
        """Sets the engine's speed from now on; 1 is normal."""
        self._run_until(now)
        self.speed = speed

    def pin(self, program: ProgramId) -> bool:
        """Pins a program's prefix in the cache; False if there is none."""
        return self.cache.pin(program)

    def unpin(self, program: ProgramId) -> None:
        """Allows eviction of a program's prefix again."""
        self.cache.unpin(program)

    def release(self, root: ProgramId, now: float) -> None:
        """Frees the unused prefixes of a program and its sub-agents."""
        self._run_until(now)
        for program in self.cache.drop(root):
            self._events.append(CacheChanged(self._now, program, 0))
        self._fill_batch()

    def import_prefix(
        self, program: ProgramId, tokens: int, now: float
    ) -> bool:
        """Adds a prefix computed elsewhere; False when it does not fit."""
        self._run_until(now)
        if not self._make_room(tokens):
            return False
        self.cache.store(program, tokens)
        self._events.append(CacheChanged(self._now, program, tokens))
        return True

    def crash(self, now: float) -> list[RequestId]:
        """Clears queue, batch and cache; returns the requests lost."""
        self._run_until(now)
        queued = [entry[2].request for entry in self._queue]
        lost = [r for r in queued if r not in self._cancelled]
        lost.extend(self._running)
        self._reset(now)
        return lost

    def _cancel_queued(self, request: RequestId) -> bool:
        queued = any(entry[2].request == request for entry in self._queue)
        if not queued or request in self._cancelled:
            return False
        self._cancelled.add(request)
        self._fill_batch()
        return True

    def _prefill_at(self) -> float | None:
        if not self._prefills:
            return None
        return (
            self._now + self._prefills[0].prefill_left / self._prefill_rate()
        )

    def _decode_at(self) -> float | None:
        self._drop_stale_ends()
        if not self._decode_ends:
            return None
        left = max(self._decode_ends[0][0] - self._decode_clock, 0.0)
        return self._now + left / self._decode_rate()

    def _prefill_rate(self) -> float:
        share = self.costs.prefill_share if self._decoding else 1.0
        return self.costs.prefill_tokens_per_s * share * self.speed

    def _decode_rate(self) -> float:
        share = 1.0 - self.costs.prefill_share if self._prefills else 1.0
        step_s = self.costs.decode_step_s(self._decoding)
        return share * self.speed / step_s

    def _run_until(self, now: float) -> None:
        while True:
            prefill_at = self._prefill_at()
            decode_at = self._decode_at()
            at = _earliest(prefill_at, decode_at)
            if at is None or at > now:
                break
            self._advance_to(at)
            if at == prefill_at:
                self._end_prefill()
            else:
                self._end_decode()
        self._advance_to(max(now, self._now))

    def _advance_to(self, at: float) -> None:
        passed = at - self._now
        if passed <= 0:
            return
        if self._decoding:
            self._decode_clock += passed * self._decode_rate()
        if self._prefills:
            first = self._prefills[0]
            done = passed * self._prefill_rate()
            first.prefill_left = max(first.prefill_left - done, 0.0)
        self._now = at

    def _end_prefill(self) -> None:
        running = self._prefills.pop(0)
        running.prefill_left = 0.0
        running.decode_from = self._decode_clock
        self._decoding += 1
        request = running.request
        self._sequence += 1
        ends = self._decode_clock + max(request.output_tokens, 1)
        entry = (ends, self._sequence, request.request)
        heapq.heappush(self._decode_ends, entry)
        self._events.append(TokensStarted(self._now, request.request))

    def _end_decode(self) -> None:
        ends, _, request_id = heapq.heappop(self._decode_ends)
        self._decode_clock = max(self._decode_clock, ends)
        running = self._running[request_id]
        request = running.request
        self._remove(running)
        self._store(request, request.prompt_tokens + request.output_tokens)
        self._events.append(
            RequestFinished(
                self._now,
                request.request,
                request.prompt_tokens,
                request.output_tokens,
                running.cached,
            )
        )
        self._fill_batch()

    def _remove(self, running: _Running) -> None:
        del self._running[running.request.request]
        if running.decode_from >= 0:
            self._decoding -= 1
        else:
            self._prefills.remove(running)
        self.cache.end_use(running.request.program)

    def _drop_stale_ends(self) -> None:
        ends = self._decode_ends
        while ends and ends[0][2] not in self._running:
            heapq.heappop(ends)

    def _store(self, request: ModelRequest, tokens: int) -> None:
        self.cache.store(request.program, tokens)
        self._events.append(CacheChanged(self._now, request.program, tokens))

    def _make_room(self, tokens: int) -> bool:
        evicted = self.cache.make_room(tokens)
        if evicted is None:
            return False
        for program in evicted:
            self._events.append(CacheChanged(self._now, program, 0))
        return True

    def _fill_batch(self) -> None:
        while self._queue and len(self._running) < self.costs.batch_limit:
            request = self._queue[0][2]
            if request.request in self._cancelled:
                self._cancelled.discard(request.request)
                heapq.heappop(self._queue)
                continue
            if not self._start(request):
                return
            heapq.heappop(self._queue)

    def _start(self, request: ModelRequest) -> bool:
        cached = self._cached_tokens(request)
        size = request.prompt_tokens + request.output_tokens
        self.cache.begin_use(request.program)
        if not self._make_room(size - self.cache.tokens(request.program)):
            self.cache.end_use(request.program)
            return False
        self.cache.reserve(request.program, size)
        left = float(request.prompt_tokens - cached)
        running = _Running(request, cached, left)
        self._running[request.request] = running
        self._prefills.append(running)
        started = RequestStarted(self._now, request.request, cached)
        self._events.append(started)
        return True

    def _cached_tokens(self, request: ModelRequest) -> int:
        own = self.cache.cached(request.program)
        if not own and request.parent is not None:
            held = self.cache.cached(request.parent)
            own = min(held, request.parent_tokens)
        return max(min(own, request.prompt_tokens - 1), 0)


def _earliest(*times: float | None) -> float | None:
    return min((t for t in times if t is not None), default=None)
