"""An engine in virtual time, with a record of what came."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from lycheestall.ids import (
    ModelName,
    ProgramId,
    RequestId,
    TargetId,
    VmId,
    ZoneId,
)
from lycheestall.platform_services import VmEntry, VmRole
from lycheestall.targets import (
    CacheEvents,
    Engine,
    EngineBroken,
    EngineDone,
    EngineOrder,
    EngineRefused,
    EngineRequest,
    EngineResult,
    EngineSink,
    HeldMemory,
    LoadReport,
    OrderResponse,
    OrderResult,
)
from tests.fake_world import NodeClock, World
from tests.target_traffic import (
    CHUNK_S,
    CHUNKS,
    LATENCY_S,
    RESET_S,
    Arrival,
    answer_events,
    prompt_tokens,
    root_name,
)


@dataclass
class _Stream:
    request: EngineRequest
    events: list[bytes]
    made: int = 0
    cancelled: bool = False
    listeners: list[Callable[[], None]] = field(default_factory=list)


class FakeEngine:
    """One engine: streams, memory held, and a record of arrivals.

    Attributes:
        arrivals: Every request that reached it, in order.
        billed_by_program: Tokens, by top-level program.
        crashes_on: Bodies that crash it, by a piece of their text.
        leaving: Whether it says so in its load reports.
        slow: Factor on the time between chunks.
    """

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.arrivals: list[Arrival] = []
        self.billed_by_program: dict[str, int] = {}
        self.crashes_on: list[bytes] = []
        self.leaving = False
        self.slow = 1.0
        self.port = 0
        self.boot()

    def boot(self) -> None:
        """Starts a new life with empty memory."""
        self.clock = self.world.boot(self.name)
        self.stream_by_request: dict[str, _Stream] = {}

    def entry(self) -> VmEntry:
        """Returns its line in the VM list."""
        return VmEntry(
            VmId(self.name),
            VmRole.ENGINE,
            ZoneId(self.zone),
            "10.0.0.1",
            self.port,
            group="planner",
        )

    def arrive(self, vm: str, request: EngineRequest) -> _Stream:
        """Takes a request and starts to generate."""
        self.arrivals.append(Arrival(self.world.now, self.name, vm, request))
        stream = _Stream(request, answer_events(request.body))
        self.stream_by_request[request.request] = stream
        root = root_name(request.program)
        billed = self.billed_by_program.get(root, 0)
        billed += prompt_tokens(request.body)
        self.billed_by_program[root] = billed
        for piece in self.crashes_on:
            if piece in request.body:
                self.world.later(0.01, self.crash)
        self._next(stream)
        return stream

    def crash(self) -> None:
        """Dies and comes back empty after a while."""
        if not self.world.running(self.name):
            return
        self.world.kill(self.name)
        self.world.later(2.0, self.boot)

    def held(self) -> tuple[HeldMemory, ...]:
        """Returns the streams whose memory is held."""
        return tuple(
            HeldMemory(stream.request.program, "stream", request, stream.made)
            for request, stream in self.stream_by_request.items()
        )

    def release(self, program: ProgramId) -> None:
        """Frees all streams of a program and its sub-agents."""
        for request, stream in list(self.stream_by_request.items()):
            name = stream.request.program
            if name == program or name.startswith(f"{program}/"):
                self.cancel(RequestId(request))

    def cancel(self, request: RequestId) -> None:
        """Stops and frees one stream."""
        stream = self.stream_by_request.pop(request, None)
        if stream is not None:
            stream.cancelled = True

    def _next(self, stream: _Stream) -> None:
        def make() -> None:
            if stream.cancelled:
                return
            stream.made += 1
            root = root_name(stream.request.program)
            if stream.made < len(stream.events):
                self.billed_by_program[root] += 1
                self._next(stream)
            for wake in list(stream.listeners):
                wake()

        self.world.later(CHUNK_S * self.slow, make, self.clock)


def _fire(waiting: Deferred[_Stream | None], stream: _Stream | None) -> None:
    if not waiting.called:
        waiting.callback(stream)


class FakeEngineClient(Engine):
    """One VM's connection to an engine."""

    def __init__(self, engine: FakeEngine, clock: NodeClock, vm: str) -> None:
        self._engine = engine
        self._clock = clock
        self._vm = vm
        self._world = engine.world

    async def generate(
        self, request: EngineRequest, sink: EngineSink
    ) -> EngineResult:
        """Sends the request after the way there."""
        refused = await self._connect()
        if refused is not None:
            return refused
        life = self._engine.clock
        if not sink.may_send():
            return EngineRefused(0, "stopped right before sending")
        opened: Deferred[_Stream | None] = Deferred()

        def arrive() -> None:
            stream = self._engine.arrive(self._vm, request)
            self._world.later(
                LATENCY_S, lambda: _fire(opened, stream), self._clock
            )

        self._world.later(LATENCY_S, arrive, life)
        self._watch(life, opened)
        stream = await opened
        if stream is None:
            return EngineBroken(False, 0, "connection reset")
        sink.accepted()
        return await self._follow(stream, life, 0, sink)

    async def resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> EngineResult:
        """Takes a stream up from a byte of its body."""
        refused = await self._connect()
        if refused is not None:
            return refused
        life = self._engine.clock
        found: Deferred[_Stream | None] = Deferred()

        def look() -> None:
            stream = self._engine.stream_by_request.get(request)
            self._world.later(
                LATENCY_S, lambda: _fire(found, stream), self._clock
            )

        self._world.later(LATENCY_S, look, life)
        self._watch(life, found)
        stream = await found
        if stream is None:
            return EngineRefused(404 if life.alive else 0, "not here")
        sink.accepted()
        return await self._follow(stream, life, start, sink)

    async def cancel(self, request: RequestId) -> bool:
        """Stops a request."""
        return await self._do(lambda: self._engine.cancel(request))

    async def load(self) -> LoadReport | None:
        """Returns the engine's load."""
        if not await self._do(lambda: None):
            return None
        running = len(self._engine.stream_by_request)
        return LoadReport(
            TargetId(self._engine.name),
            running,
            0,
            0.0,
            100.0,
            (ModelName("planner"),),
            self._engine.leaving,
        )

    async def cache_events(self, since: int) -> CacheEvents | None:
        """Returns no events: they are all lost."""
        return CacheEvents((), since)

    async def order(self, order: EngineOrder) -> OrderResponse:
        """Takes any order."""
        return OrderResponse(OrderResult.DONE)

    async def held(self) -> tuple[HeldMemory, ...] | None:
        """Lists what the engine holds."""
        if not await self._do(lambda: None):
            return None
        return self._engine.held()

    async def release(self, program: ProgramId) -> bool:
        """Frees a program's memory."""
        return await self._do(lambda: self._engine.release(program))

    async def export_cache(self, program: ProgramId) -> bytes | None:
        """Has nothing to export."""
        return None

    async def import_cache(self, program: ProgramId, data: bytes) -> bool:
        """Takes nothing."""
        return False

    async def _connect(self) -> EngineRefused | None:
        await self._travel()
        if self._engine.clock.alive:
            return None
        return EngineRefused(0, "connection refused")

    async def _do(self, effect: Callable[[], None]) -> bool:
        await self._travel()
        if not self._world.running(self._engine.name):
            await self._world.sleep(1.0, self._clock)
            return False
        effect()
        await self._travel()
        return True

    def _travel(self) -> Deferred[None]:
        return self._world.sleep(LATENCY_S, self._clock)

    def _watch(
        self, life: NodeClock, opened: Deferred[_Stream | None]
    ) -> None:
        def look() -> None:
            if opened.called:
                return
            if not life.alive:
                opened.callback(None)
                return
            self._world.later(RESET_S, look, self._clock)

        look()

    async def _follow(
        self, stream: _Stream, life: NodeClock, start: int, sink: EngineSink
    ) -> EngineResult:
        sent = 0
        skip = start
        while True:
            while sent < stream.made:
                data = stream.events[sent]
                sent += 1
                if skip >= len(data):
                    skip -= len(data)
                    continue
                sink.chunk(data[skip:])
                skip = 0
            if sent == len(stream.events):
                self._engine.cancel(stream.request.request)
                return EngineDone(
                    prompt_tokens(stream.request.body), CHUNKS, 0
                )
            if not await self._more(stream, life):
                return EngineBroken(True, sent, "connection reset")

    async def _more(self, stream: _Stream, life: NodeClock) -> bool:
        changed: Deferred[bool] = Deferred()

        def wake() -> None:
            stream.listeners.remove(wake)
            self._world.later(LATENCY_S, lambda: fire(True), self._clock)

        def fire(alive: bool) -> None:
            if not changed.called:
                changed.callback(alive)

        def look() -> None:
            if changed.called:
                return
            if not life.alive or stream.cancelled:
                fire(False)
                return
            self._world.later(0.25, look, self._clock)

        stream.listeners.append(wake)
        look()
        return await changed
