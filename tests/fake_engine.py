"""A fake model engine in virtual time that records its requests."""

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
from tests.simulation import NodeClock, Simulation
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
    generated: int = 0
    cancelled: bool = False
    listeners: list[Callable[[], None]] = field(default_factory=list)


class FakeEngine:
    """A model engine with streams, held memory and a request record.

    Attributes:
        arrivals: All requests that reached it, in order.
        billed_by_program: Prompt and answer tokens by top-level program.
        crashes_on: Texts that crash the engine if a body contains them.
        leaving: Whether its load reports say that it is leaving.
        slowdown: Factor on the time between chunks.
    """

    def __init__(self, simulation: Simulation, name: str, zone: str) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.arrivals: list[Arrival] = []
        self.billed_by_program: dict[str, int] = {}
        self.crashes_on: list[bytes] = []
        self.leaving = False
        self.slowdown = 1.0
        self.port = 0
        self.start_process()

    def start_process(self) -> None:
        """Starts a new process with empty memory."""
        self.clock = self.simulation.start_node(self.name)
        self.stream_by_request: dict[str, _Stream] = {}

    def entry(self) -> VmEntry:
        """Returns its entry in the VM list."""
        return VmEntry(
            VmId(self.name),
            VmRole.ENGINE,
            ZoneId(self.zone),
            "10.0.0.1",
            self.port,
            group="planner",
        )

    def receive(self, vm: str, request: EngineRequest) -> _Stream:
        """Records a request and starts to generate its answer."""
        self.arrivals.append(
            Arrival(self.simulation.now, self.name, vm, request)
        )
        stream = _Stream(request, answer_events(request.body))
        self.stream_by_request[request.request] = stream
        root = root_name(request.program)
        billed = self.billed_by_program.get(root, 0)
        billed += prompt_tokens(request.body)
        self.billed_by_program[root] = billed
        for piece in self.crashes_on:
            if piece in request.body:
                self.simulation.later(0.01, self.crash)
        self._schedule_chunk(stream)
        return stream

    def crash(self) -> None:
        """Ends the process and starts a new one after two seconds."""
        if not self.simulation.running(self.name):
            return
        self.simulation.kill(self.name)
        self.simulation.later(2.0, self.start_process)

    def held(self) -> tuple[HeldMemory, ...]:
        """Returns the memory held by streams."""
        return tuple(
            HeldMemory(
                stream.request.program, "stream", request, stream.generated
            )
            for request, stream in self.stream_by_request.items()
        )

    def release(self, program: ProgramId) -> None:
        """Cancels all streams of a program and its sub-agents."""
        for request, stream in list(self.stream_by_request.items()):
            name = stream.request.program
            if name == program or name.startswith(f"{program}/"):
                self.cancel(RequestId(request))

    def cancel(self, request: RequestId) -> None:
        """Cancels a stream and frees its memory."""
        stream = self.stream_by_request.pop(request, None)
        if stream is not None:
            stream.cancelled = True

    def _schedule_chunk(self, stream: _Stream) -> None:
        def generate_chunk() -> None:
            if stream.cancelled:
                return
            stream.generated += 1
            root = root_name(stream.request.program)
            if stream.generated < len(stream.events):
                self.billed_by_program[root] += 1
                self._schedule_chunk(stream)
            for wake in list(stream.listeners):
                wake()

        self.simulation.later(
            CHUNK_S * self.slowdown, generate_chunk, self.clock
        )


def _resolve(
    waiting: Deferred[_Stream | None], stream: _Stream | None
) -> None:
    if not waiting.called:
        waiting.callback(stream)


class FakeEngineClient(Engine):
    """The client with which one VM reaches an engine."""

    def __init__(self, engine: FakeEngine, clock: NodeClock, vm: str) -> None:
        self._engine = engine
        self._clock = clock
        self._vm = vm
        self._simulation = engine.simulation

    async def generate(
        self, request: EngineRequest, sink: EngineSink
    ) -> EngineResult:
        """Sends a request after the network latency."""
        refused = await self._connect()
        if refused is not None:
            return refused
        process = self._engine.clock
        if not sink.may_send():
            return EngineRefused(0, "stopped right before sending")
        opened: Deferred[_Stream | None] = Deferred()

        def receive() -> None:
            stream = self._engine.receive(self._vm, request)
            self._simulation.later(
                LATENCY_S, lambda: _resolve(opened, stream), self._clock
            )

        self._simulation.later(LATENCY_S, receive, process)
        self._watch_process(process, opened)
        stream = await opened
        if stream is None:
            return EngineBroken(False, 0, "connection reset")
        sink.accepted()
        return await self._relay(stream, process, 0, sink)

    async def resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> EngineResult:
        """Resumes a stream from a byte of its body."""
        refused = await self._connect()
        if refused is not None:
            return refused
        process = self._engine.clock
        found: Deferred[_Stream | None] = Deferred()

        def check() -> None:
            stream = self._engine.stream_by_request.get(request)
            self._simulation.later(
                LATENCY_S, lambda: _resolve(found, stream), self._clock
            )

        self._simulation.later(LATENCY_S, check, process)
        self._watch_process(process, found)
        stream = await found
        if stream is None:
            return EngineRefused(404 if process.alive else 0, "not here")
        sink.accepted()
        return await self._relay(stream, process, start, sink)

    async def cancel(self, request: RequestId) -> bool:
        """Cancels a request."""
        return await self._call(lambda: self._engine.cancel(request))

    async def load(self) -> LoadReport | None:
        """Returns the engine's load."""
        if not await self._call(lambda: None):
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
        """Returns no events, as if all were lost."""
        return CacheEvents((), since)

    async def order(self, order: EngineOrder) -> OrderResponse:
        """Accepts any order."""
        return OrderResponse(OrderResult.DONE)

    async def held(self) -> tuple[HeldMemory, ...] | None:
        """Lists the memory that the engine holds."""
        if not await self._call(lambda: None):
            return None
        return self._engine.held()

    async def release(self, program: ProgramId) -> bool:
        """Releases a program's memory."""
        return await self._call(lambda: self._engine.release(program))

    async def export_cache(self, program: ProgramId) -> bytes | None:
        """Returns no cache."""
        return None

    async def import_cache(self, program: ProgramId, data: bytes) -> bool:
        """Refuses the import."""
        return False

    async def _connect(self) -> EngineRefused | None:
        await self._delay()
        if self._engine.clock.alive:
            return None
        return EngineRefused(0, "connection refused")

    async def _call(self, effect: Callable[[], None]) -> bool:
        await self._delay()
        if not self._simulation.running(self._engine.name):
            await self._simulation.sleep(1.0, self._clock)
            return False
        effect()
        await self._delay()
        return True

    def _delay(self) -> Deferred[None]:
        return self._simulation.sleep(LATENCY_S, self._clock)

    def _watch_process(
        self, process: NodeClock, opened: Deferred[_Stream | None]
    ) -> None:
        def check() -> None:
            if opened.called:
                return
            if not process.alive:
                opened.callback(None)
                return
            self._simulation.later(RESET_S, check, self._clock)

        check()

    async def _relay(
        self, stream: _Stream, process: NodeClock, start: int, sink: EngineSink
    ) -> EngineResult:
        sent = 0
        skip = start
        while True:
            while sent < stream.generated:
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
            if not await self._wait_for_chunk(stream, process):
                return EngineBroken(True, sent, "connection reset")

    async def _wait_for_chunk(
        self, stream: _Stream, process: NodeClock
    ) -> bool:
        changed: Deferred[bool] = Deferred()

        def wake() -> None:
            stream.listeners.remove(wake)
            self._simulation.later(
                LATENCY_S, lambda: resolve(True), self._clock
            )

        def resolve(alive: bool) -> None:
            if not changed.called:
                changed.callback(alive)

        def check() -> None:
            if changed.called:
                return
            if not process.alive or stream.cancelled:
                resolve(False)
                return
            self._simulation.later(0.25, check, self._clock)

        stream.listeners.append(wake)
        check()
        return await changed
