"""What runs calls: model engines, application runners, tool services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .applications import (
    ActionAnswer,
    ActionDone,
    ActionNotSent,
    ActionRequest,
    ActionUnknown,
    Application,
    LoadReport,
    LookupAnswer,
    LookupState,
    SendGate,
    always,
)
from .ids import (
    ModelName,
    ProgramId,
    RequestId,
    SessionId,
)

__all__ = [
    "ActionAnswer",
    "ActionDone",
    "ActionNotSent",
    "ActionRequest",
    "ActionUnknown",
    "Application",
    "CacheEvent",
    "CacheEvents",
    "Engine",
    "EngineBroken",
    "EngineDone",
    "EngineOrder",
    "EngineRefused",
    "EngineRequest",
    "EngineResult",
    "EngineSink",
    "HeldMemory",
    "LoadReport",
    "LookupAnswer",
    "LookupState",
    "OrderAnswer",
    "OrderKind",
    "OrderResult",
    "SendGate",
    "always",
]


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One dispatch of a chat call to an engine.

    Attributes:
        request: Names this dispatch; resume and cancel refer to it.
        program: The program, for the engine's own memory accounting.
        number: The call's position in its program.
        model: The model wanted.
        body: An OpenAI-style chat completions request, as JSON bytes.
        priority: Lower runs first; engines honour it in their queue.
        deadline_s: Seconds after which the answer is of no use.
        session: The dispatching daemon's session.
        epoch: The dispatcher's claim offset for the program's partition.
    """

    request: RequestId
    program: ProgramId
    number: int
    model: ModelName
    body: bytes
    priority: int = 0
    deadline_s: float = 600.0
    session: SessionId = SessionId("")
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class EngineDone:
    """The stream ended whole.

    Attributes:
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens.
        cached_tokens: Prompt tokens served from the prefix cache.
    """

    tokens_in: int
    tokens_out: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class EngineRefused:
    """The engine said, before running anything, that it will not.

    Attributes:
        status: Its HTTP status, 0 when the connection never opened.
        detail: What it said.
        retry_after_s: When it would like to be asked again.
    """

    status: int
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineBroken:
    """The connection broke or stalled after the request was sent.

    Attributes:
        accepted: Whether the engine had acknowledged the request.
        chunks: How many chunks had arrived.
        detail: What broke.
    """

    accepted: bool
    chunks: int
    detail: str


EngineResult: TypeAlias = EngineDone | EngineRefused | EngineBroken


class EngineSink(ABC):
    """Receives the stream of one engine request."""

    def may_send(self) -> bool:
        """Asked right before the request is written; False stops it."""
        return True

    @abstractmethod
    def accepted(self) -> None:
        """The engine has the request; later calls cannot overtake it."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the answer body, whole SSE events."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine stored or evicted a program's prefix.

    Attributes:
        sequence: The engine's event counter; gaps mean lost events.
        program: The program whose prefix it is.
        tokens: Prefix tokens now held; 0 after an eviction.
    """

    sequence: int
    program: ProgramId
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """A page of cache events, late and possibly with gaps."""

    events: tuple[CacheEvent, ...]
    next_sequence: int


class OrderKind(Enum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        kind: What to do.
        name: The model, adapter, version or role concerned.
        fence: The orderer's claim offset; engines that check refuse an
            order with a lower number than the highest they have seen.
    """

    kind: OrderKind
    name: str
    fence: int


class OrderResult(Enum):
    """How an engine answered an order."""

    DONE = "done"
    STALE = "stale"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An engine's answer to an order."""

    result: OrderResult
    detail: str = ""


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """Memory an engine holds for a program at the system's request.

    Attributes:
        program: For whom.
        kind: ``pin``, ``export`` or ``stream``.
        name: What is held; release refers to it.
        tokens: Its size.
    """

    program: ProgramId
    kind: str
    name: str
    tokens: int


class Engine(ABC):
    """A model engine that batches continuously."""

    @abstractmethod
    async def generate(
        self, request: EngineRequest, sink: EngineSink
    ) -> EngineResult:
        """Runs a request; cancelling the coroutine drops the connection."""

    @abstractmethod
    async def resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> EngineResult:
        """Takes a stream up again from byte ``start`` of its body.

        Returns:
            ``EngineRefused`` with status 404 when the engine does not
            hold the request.
        """

    @abstractmethod
    async def cancel(self, request: RequestId) -> bool:
        """Stops a request; True when the engine confirmed."""

    @abstractmethod
    async def load(self) -> LoadReport | None:
        """Returns the newest load report, None when unreachable."""

    @abstractmethod
    async def cache_events(self, since: int) -> CacheEvents | None:
        """Returns events from sequence ``since`` on."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> OrderAnswer:
        """Gives an order."""

    @abstractmethod
    async def held(self) -> tuple[HeldMemory, ...] | None:
        """Lists what the engine holds, None when unreachable."""

    @abstractmethod
    async def release(self, program: ProgramId) -> bool:
        """Frees what is held for a program; True when confirmed."""

    @abstractmethod
    async def export_cache(self, program: ProgramId) -> bytes | None:
        """Exports a program's KV cache, None when there is none."""

    @abstractmethod
    async def import_cache(self, program: ProgramId, data: bytes) -> bool:
        """Imports a KV cache; True when the engine took it."""
