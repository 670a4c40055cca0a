"""Interfaces to targets: model engines, applications, tools."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .applications import (
    ActionDone,
    ActionNotSent,
    ActionRequest,
    ActionResult,
    ActionUnknown,
    Application,
    LoadReport,
    LookupResult,
    LookupState,
    SendCondition,
    always_send,
)
from .ids import (
    ModelName,
    ProgramId,
    RequestId,
    SessionId,
)

__all__ = [
    "ActionDone",
    "ActionNotSent",
    "ActionRequest",
    "ActionResult",
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
    "LookupResult",
    "LookupState",
    "OrderKind",
    "OrderResponse",
    "OrderResult",
    "SendCondition",
    "always_send",
]


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One dispatch of a chat call to an engine.

    Attributes:
        request: The id of this dispatch, used to resume and cancel it.
        program: The program, for the engine's memory accounting.
        number: The call's position in its program.
        model: The requested model.
        body: An OpenAI-style chat completions request, as JSON bytes.
        priority: Order in the engine's queue; lower values run first.
        deadline_s: Timeout of the request in seconds.
        session: The session of the dispatching daemon.
        epoch: The offset of the daemon's claim on the program's partition.
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
    """The response stream was received completely.

    Attributes:
        tokens_in: Number of prompt tokens.
        tokens_out: Number of generated tokens.
        cached_tokens: Number of prompt tokens from the prefix cache.
    """

    tokens_in: int
    tokens_out: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class EngineRefused:
    """The engine refused the request without running any of it.

    Attributes:
        status: The HTTP status, 0 if the request was not sent.
        detail: Details of the refusal.
        retry_after_s: Seconds until the next attempt, if the engine gave
            any.
    """

    status: int
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineBroken:
    """The connection broke or stalled after the request was sent.

    Attributes:
        accepted: Whether the engine had acknowledged the request.
        chunks: Number of chunks received.
        detail: Details of the failure.
    """

    accepted: bool
    chunks: int
    detail: str


EngineResult: TypeAlias = EngineDone | EngineRefused | EngineBroken


class EngineSink(ABC):
    """Receives the response stream of one engine request."""

    def may_send(self) -> bool:
        """Called right before the request is written; False stops it."""
        return True

    @abstractmethod
    def accepted(self) -> None:
        """Called when the engine has acknowledged the request.

        Calls sent after this cannot overtake the request.
        """

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Called with the next bytes of the body, complete SSE events."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine stored or evicted a program's prefix.

    Attributes:
        sequence: The engine's event number; gaps mean lost events.
        program: The program that the prefix belongs to.
        tokens: Number of prefix tokens now cached; 0 after an eviction.
    """

    sequence: int
    program: ProgramId
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """A page of cache events, which may be delayed and have gaps."""

    events: tuple[CacheEvent, ...]
    next_sequence: int


class OrderKind(Enum):
    """The kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        kind: The kind of order.
        name: The model, adapter, version or role.
        fence: The fencing token: the offset of the sender's claim on the
            engine. Engines that check it reject an order whose token is
            lower than the highest they have seen.
    """

    kind: OrderKind
    name: str
    fence: int


class OrderResult(Enum):
    """The result of an order."""

    DONE = "done"
    STALE = "stale"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderResponse:
    """An engine's response to an order."""

    result: OrderResult
    detail: str = ""


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """Memory that an engine holds for a program at the daemon's request.

    Attributes:
        program: The program that the memory is held for.
        kind: ``pin``, ``export`` or ``stream``.
        name: The name of what is held.
        tokens: The size in tokens.
    """

    program: ProgramId
    kind: str
    name: str
    tokens: int


class Engine(ABC):
    """A model engine with continuous batching."""

    @abstractmethod
    async def generate(
        self, request: EngineRequest, sink: EngineSink
    ) -> EngineResult:
        """Runs a request; cancelling it drops the connection."""

    @abstractmethod
    async def resume(
        self, request: RequestId, start: int, sink: EngineSink
    ) -> EngineResult:
        """Resumes a response stream at byte ``start`` of its body.

        Returns:
            ``EngineRefused`` with status 404 if the engine does not know
            the request.
        """

    @abstractmethod
    async def cancel(self, request: RequestId) -> bool:
        """Stops a request; True if the engine confirmed it."""

    @abstractmethod
    async def load(self) -> LoadReport | None:
        """Returns the newest load report, None if it is unavailable."""

    @abstractmethod
    async def cache_events(self, since: int) -> CacheEvents | None:
        """Returns cache events starting at sequence number ``since``."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> OrderResponse:
        """Sends an order."""

    @abstractmethod
    async def held(self) -> tuple[HeldMemory, ...] | None:
        """Lists the memory held by the engine, None if unavailable."""

    @abstractmethod
    async def release(self, program: ProgramId) -> bool:
        """Frees the memory held for a program; True if confirmed."""

    @abstractmethod
    async def export_cache(self, program: ProgramId) -> bytes | None:
        """Exports a program's KV cache, None if there is none."""

    @abstractmethod
    async def import_cache(self, program: ProgramId, data: bytes) -> bool:
        """Imports a program's KV cache; True if the engine accepted it."""
