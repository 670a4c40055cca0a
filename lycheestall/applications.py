"""The interface to applications and tool services.

Their calls are action calls. A call with an idempotency key must take
effect at most once.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .ids import IdempotencyKey, ModelName, ProgramId, RequestId, TargetId

__all__ = [
    "ActionDone",
    "ActionNotSent",
    "ActionRequest",
    "ActionResult",
    "ActionUnknown",
    "Application",
    "LoadReport",
    "LookupResult",
    "LookupState",
    "SendCondition",
    "always_send",
]

SendCondition = Callable[[], bool]
"""Called right before a request is written to the socket; if it returns
False, the request is not sent."""


def always_send() -> bool:
    """A ``SendCondition`` that always allows the request."""
    return True


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's last report of its load; it may be out of date.

    Attributes:
        target: The target's id.
        running: Number of requests being run.
        waiting: Number of requests in the queue.
        kv_used: Used share of the KV cache memory, 0 to 1.
        tokens_per_s: Recent generation rate.
        models: Loaded models.
        leaving: Whether the target is about to leave.
        age_s: Age of the report in seconds, 0 if unknown.
    """

    target: TargetId
    running: int
    waiting: int
    kv_used: float
    tokens_per_s: float
    models: tuple[ModelName, ...] = ()
    leaving: bool = False
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ActionRequest:
    """One call to an application or tool service.

    Attributes:
        request: The id of this dispatch.
        program: The program that made the call.
        number: The call's position in its program.
        method: HTTP method.
        path: Path and query.
        body: The body, as sent by the caller.
        content_type: The body's media type.
        key: The idempotency key, empty for idempotent calls.
        deadline_s: Timeout of the request in seconds.
    """

    request: RequestId
    program: ProgramId
    number: int
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    key: IdempotencyKey = IdempotencyKey("")
    deadline_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ActionDone:
    """The application sent a complete HTTP response."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ActionNotSent:
    """No complete request was sent, so the call was not run."""

    detail: str


@dataclass(frozen=True, slots=True)
class ActionUnknown:
    """The call may have been run; no complete response came back."""

    detail: str


ActionResult: TypeAlias = ActionDone | ActionNotSent | ActionUnknown


class LookupState(Enum):
    """What an application has recorded about an idempotency key."""

    RAN = "ran"
    NOT_RUN = "not_run"
    NO_RECORD = "no_record"


@dataclass(frozen=True, slots=True)
class LookupResult:
    """An application's record of one idempotency key.

    ``NOT_RUN`` means that the application has closed the key: it rejects
    a call that arrives later. After ``NO_RECORD``, the call may still have
    been run or be run later.
    """

    state: LookupState
    response: ActionDone | None = None


class Application(ABC):
    """An application or tool service that runs action calls."""

    @abstractmethod
    async def call(
        self, request: ActionRequest, *, may_send: SendCondition = always_send
    ) -> ActionResult:
        """Sends a call once, without retries.

        Args:
            request: The call.
            may_send: Called right before the call is written to the
                socket; if it returns False, the result is
                ``ActionNotSent``.
        """

    @abstractmethod
    async def look_up(self, key: IdempotencyKey) -> LookupResult | None:
        """Looks up a key; None if the lookup failed or is unsupported."""

    @abstractmethod
    async def load(self) -> LoadReport | None:
        """Returns the newest load report, None if it is unavailable."""
