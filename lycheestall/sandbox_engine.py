"""A stand-in for a model engine, OpenAI-compatible."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from pydantic import ConfigDict

from ._sandbox_answer import parse_prompt
from ._sandbox_batch import Batch, Generation
from ._sandbox_cache import PrefixCache
from .sandbox_service import (
    SandboxReply,
    SandboxRequest,
    SandboxService,
    drop,
    json_reply,
)

__all__ = ["EngineParameters", "SandboxEngine"]


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """How an engine behaves.

    Attributes:
        models: Models loaded at the start.
        max_running: Most requests in the batch.
        queue_limit: Most requests in the queue.
        prefill_tokens_per_s: Prompt tokens read in a second.
        token_s: Seconds for each generated token.
        chunk_tokens: Tokens sent in one event.
        kv_tokens: Capacity of the prefix cache.
        checks_fence: Whether old fencing numbers are refused.
        load_lag_s: How old a load report is.
        event_delay_s: How late cache events show.
        event_gap_every: Every how many cache events one is lost.
        keep_s: How long a finished answer can be resumed.
        leaving: Whether it says that it is leaving.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    models: list[str] = field(default_factory=lambda: ["planner"])
    max_running: int = 8
    queue_limit: int = 64
    prefill_tokens_per_s: float = 20_000.0
    token_s: float = 0.005
    chunk_tokens: int = 4
    kv_tokens: int = 200_000
    checks_fence: bool = True
    load_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_gap_every: int = 0
    keep_s: float = 60.0
    leaving: bool = False


@dataclass(slots=True)
class _SeenCall:
    request: str
    program: str
    number: int
    session: str
    epoch: int
    at_s: float
    tokens_in: int = 0
    tokens_out: int = 0
    cached_tokens: int = 0
    ended: str = ""


class SandboxEngine(SandboxService):
    """Generates answers that follow from the request alone.

    Args:
        clock: The reactor or a test's clock.
        parameters: How it behaves.
        options: Passed on to ``SandboxService``.
    """

    def __init__(
        self,
        clock: Any,
        parameters: EngineParameters | None = None,
        **options: Any,
    ) -> None:
        super().__init__(clock, **options)
        p = parameters or EngineParameters()
        self._parameters = p
        self._models = list(p.models)
        self._leaving = p.leaving
        self._cache = PrefixCache(
            p.kv_tokens,
            clock.seconds,
            event_delay_s=p.event_delay_s,
            gap_every=p.event_gap_every,
        )
        self._batch = Batch(
            clock,
            lambda generation: self._cache.find(generation.prompt.prefixes),
            self._ended,
            max_running=p.max_running,
            prefill_tokens_per_s=p.prefill_tokens_per_s,
            token_s=p.token_s,
            chunk_tokens=p.chunk_tokens,
        )
        self._generation_by_request: dict[str, Generation] = {}
        self._seen_by_request: dict[str, _SeenCall] = {}
        self._stopped_early: set[str] = set()
        self._exports: dict[str, int] = {}
        self._epoch_by_root: dict[str, int] = {}
        self._highest_fence = -1
        self._orders: list[dict[str, Any]] = []
        self._load = self._load_now()
        self._add_routes()

    def _add_routes(self) -> None:
        chat = "/v1/chat/completions"
        self.route(chat, "POST", "generate", self._generate)
        self.route("/v1/requests", "GET", "resume", self._resume)
        self.route("/v1/requests", "DELETE", "cancel", self._cancel)
        self.route("/v1/load", "GET", "load", self._get_load)
        events = "/v1/cache-events"
        self.route(events, "GET", "cache_events", self._get_events)
        self.route("/v1/orders", "POST", "order", self._order)
        self.route("/v1/held", "GET", "held", self._get_held)
        self.route("/v1/held", "DELETE", "release", self._release)
        self.route("/v1/cache", "GET", "export", self._export)
        self.route("/v1/cache", "PUT", "import", self._import)
        self.admin("/admin/leaving", "POST", self._leave)

    def record(self) -> dict[str, Any]:
        """Returns calls in order of arrival, orders and memory held."""
        return {
            "calls": [asdict(call) for call in self._seen_by_request.values()],
            "orders": self._orders,
            "held": self._held(),
            "running": len(self._batch.running),
            "waiting": len(self._batch.waiting),
        }

    async def _generate(self, request: SandboxRequest) -> SandboxReply | None:
        try:
            prompt = parse_prompt(request.body)
        except (ValueError, AttributeError) as error:
            return json_reply({"error": {"message": str(error)}}, 400)
        name = request.header("lycheestall-request")
        program = request.header("lycheestall-program")
        epoch = int(request.header("lycheestall-epoch", "0"))
        refusal = self._refusal(name, program, epoch, prompt.model)
        if refusal is not None:
            return refusal
        now = self.clock.seconds()
        sequence = len(self._seen_by_request)
        name = name or f"anonymous-{sequence}"
        number = int(request.header("lycheestall-call", "0"))
        priority = int(request.header("lycheestall-priority", "0"))
        generation = Generation(
            name, program, number, prompt, priority, sequence, now
        )
        self._generation_by_request[name] = generation
        session = request.header("lycheestall-session")
        self._seen_by_request[name] = _SeenCall(
            name, program, number, session, epoch, now
        )
        self._batch.add(generation)
        await self._pipe(request, generation, 0)
        return None

    def _refusal(
        self, name: str, program: str, epoch: int, model: str
    ) -> SandboxReply | None:
        if name in self._seen_by_request:
            return json_reply({"error": "request id seen before"}, 409)
        if name in self._stopped_early:
            return json_reply({"error": "cancelled before it came"}, 409)
        root = program.split("/", 1)[0]
        if self._parameters.checks_fence and root:
            if epoch < self._epoch_by_root.get(root, 0):
                return json_reply({"error": "stale epoch"}, 409)
            self._epoch_by_root[root] = epoch
        if model not in self._models:
            return json_reply({"error": f"model {model!r} not loaded"}, 404)
        if self._leaving:
            return _busy("leaving")
        if len(self._batch.waiting) >= self._parameters.queue_limit:
            return _busy("queue full")
        return None

    async def _pipe(
        self, request: SandboxRequest, generation: Generation, start: int
    ) -> None:
        raw = request.raw
        gone: list[Any] = []

        def leave(reason: Any) -> None:
            gone.append(reason)
            generation.wake()

        raw.notifyFinish().addErrback(leave)
        kind = "application/json"
        if generation.prompt.streamed:
            kind = "text/event-stream"
        raw.setHeader("content-type", kind)
        raw.write(b"")
        generation.readers += 1
        chunks = 0
        at = start
        while not gone:
            if request.fault is not None and chunks >= request.fault.chunks:
                drop(raw)
                break
            data = bytes(generation.body[at:])
            if data:
                raw.write(data)
                chunks += 1
                at += len(data)
                continue
            if generation.finished:
                break
            await generation.changed()
        generation.readers -= 1
        if generation.cancelled:
            drop(raw)
        elif not gone and generation.finished and at >= len(generation.body):
            generation.delivered = True

    def _ended(self, generation: Generation) -> None:
        prompt = generation.prompt
        seen = self._seen_by_request[generation.request]
        seen.tokens_in = prompt.tokens if generation.running else 0
        seen.tokens_out = generation.made
        seen.cached_tokens = generation.cached_tokens
        seen.ended = "cancelled" if generation.cancelled else "whole"
        if not generation.cancelled:
            prefixes = (*prompt.prefixes, prompt.whole)
            self._cache.store(generation.program, prefixes)
        self.clock.callLater(
            self._parameters.keep_s,
            self._generation_by_request.pop,
            generation.request,
            None,
        )

    async def _resume(self, request: SandboxRequest) -> SandboxReply | None:
        name = request.query("request")
        generation = self._generation_by_request.get(name)
        if generation is None or generation.cancelled:
            return json_reply({"error": "no such request"}, 404)
        start = int(request.query("from", "0"))
        await self._pipe(request, generation, start)
        return None

    async def _cancel(self, request: SandboxRequest) -> SandboxReply:
        name = request.query("request")
        generation = self._generation_by_request.get(name)
        if generation is None:
            self._stopped_early.add(name)
        else:
            self._batch.cancel(generation)
        return json_reply({"cancelled": name})

    def _load_now(self) -> dict[str, Any]:
        p = self._parameters
        busy = len(self._batch.running)
        return {
            "running": busy,
            "waiting": len(self._batch.waiting),
            "kv_used": min(1.0, self._cache.used_tokens / p.kv_tokens),
            "tokens_per_s": busy / p.token_s if p.token_s > 0 else 0.0,
            "models": list(self._models),
            "leaving": self._leaving,
            "at_s": self.clock.seconds(),
        }

    async def _get_load(self, request: SandboxRequest) -> SandboxReply:
        age_s = self.clock.seconds() - self._load["at_s"]
        if age_s >= self._parameters.load_lag_s:
            self._load = self._load_now()
            age_s = 0.0
        return json_reply({**self._load, "age_s": age_s})

    async def _get_events(self, request: SandboxRequest) -> SandboxReply:
        events, upcoming = self._cache.events(int(request.query("since")))
        items = [
            {"sequence": sequence, "program": program, "tokens": tokens}
            for sequence, program, tokens in events
        ]
        return json_reply({"events": items, "next_sequence": upcoming})

    async def _order(self, request: SandboxRequest) -> SandboxReply:
        order = request.json()
        fence = int(order["fence"])
        stale = fence < self._highest_fence
        taken = not (stale and self._parameters.checks_fence)
        self._orders.append({**order, "stale": stale, "taken": taken})
        if not taken:
            return json_reply({"error": "stale fencing number"}, 409)
        self._highest_fence = max(self._highest_fence, fence)
        name = order["name"]
        if order["kind"].startswith("load") and name not in self._models:
            self._models.append(name)
        if order["kind"].startswith("unload") and name in self._models:
            self._models.remove(name)
        return json_reply({"done": True})

    def _held(self) -> list[dict[str, Any]]:
        held: list[dict[str, Any]] = []

        def add(program: str, kind: str, name: str, tokens: int) -> None:
            item = {"program": program, "kind": kind, "name": name}
            held.append({**item, "tokens": tokens})

        for generation in self._generation_by_request.values():
            done = generation.delivered or generation.cancelled
            if done or generation.readers:
                continue
            tokens = generation.prompt.tokens + generation.made
            add(generation.program, "stream", generation.request, tokens)
        for program, tokens in self._exports.items():
            add(program, "export", program, tokens)
        for program in self._cache.pinned():
            prefixes = self._cache.get(program)
            add(program, "pin", program, prefixes[-1][1] if prefixes else 0)
        return held

    async def _get_held(self, request: SandboxRequest) -> SandboxReply:
        return json_reply({"held": self._held()})

    async def _release(self, request: SandboxRequest) -> SandboxReply:
        program = request.query("program")
        for generation in list(self._generation_by_request.values()):
            if _within(generation.program, program):
                self._batch.cancel(generation)
                self._generation_by_request.pop(generation.request, None)
        for held in (*self._exports, *self._cache.programs()):
            if _within(held, program):
                self._exports.pop(held, None)
                self._cache.drop(held)
        return json_reply({"released": program})

    async def _export(self, request: SandboxRequest) -> SandboxReply:
        program = request.query("program")
        prefixes = self._cache.get(program)
        if not prefixes:
            return json_reply({"error": "nothing cached"}, 404)
        self._exports[program] = prefixes[-1][1]
        return SandboxReply(body=json.dumps(prefixes).encode())

    async def _import(self, request: SandboxRequest) -> SandboxReply:
        program = request.query("program")
        try:
            prefixes = tuple((str(d), int(t)) for d, t in request.json())
        except (ValueError, TypeError) as error:
            return json_reply({"error": repr(error)}, 400)
        self._cache.store(program, prefixes)
        self._cache.pin(program)
        return json_reply({"imported": program})

    async def _leave(self, request: SandboxRequest) -> SandboxReply:
        self._leaving = True
        return json_reply({"leaving": True})


def _within(program: str, root: str) -> bool:
    return program == root or program.startswith(f"{root}/")


def _busy(why: str) -> SandboxReply:
    reply = json_reply({"error": why}, 503)
    headers = (("retry-after", "1"),)
    return SandboxReply(503, reply.body, reply.content_type, headers)
