"""Calls, and the interfaces between their callers and their owner."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from .ids import (
    AccountId,
    CallNumber,
    IdempotencyKey,
    ModelName,
    ProgramId,
    TargetId,
)
from .outcomes import Outcome

__all__ = [
    "Call",
    "CallHandle",
    "CallHandler",
    "CallKind",
    "CallSink",
    "ResponseHead",
]


class CallKind(Enum):
    """The operation that a call requests."""

    CHAT = "chat"
    ACTION = "action"
    RESUME = "resume"
    OPEN = "open"
    END = "end"
    CANCEL = "cancel"
    SHOW = "show"


@dataclass(frozen=True, slots=True)
class Call:
    """One authenticated request of a program.

    Attributes:
        kind: The operation requested.
        account: The client account.
        program: The program's id, including the path of a sub-agent;
            empty in an ``OPEN`` call of a caller that wants an id issued.
        number: The call's position in its program, starting at 1; 0 if
            the caller sent none and the owner assigns one on arrival.
        idempotency_key: The caller's key, or empty.
        application: The target group of an action, or empty.
        operation: Method and path of an action, such as ``POST /orders``.
        model: The model of a chat call, or empty.
        body: The request body, forwarded to the target unchanged.
        streamed: Whether the caller wants a streamed answer.
        deadline_s: How long the caller waits, in seconds from arrival.
        receipt: The newest receipt that the caller has, or empty.
        resume_from: Number of bytes of the answer body that the caller
            already has.
        program_class: The class that the caller declares, for rules.
        new_branch: Whether the caller declares that its messages drop or
            rewrite history on purpose.
    """

    kind: CallKind
    account: AccountId
    program: ProgramId
    number: CallNumber = CallNumber(0)
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    application: TargetId = TargetId("")
    operation: str = ""
    model: ModelName = ModelName("")
    body: bytes = b""
    streamed: bool = False
    deadline_s: float = 600.0
    receipt: str = ""
    resume_from: int = 0
    program_class: str = ""
    new_branch: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes:
        status: An HTTP status code.
        headers: Name and value pairs, in the order they are sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class CallSink(ABC):
    """Receives one answer: a head, chunks, then exactly one outcome."""

    @abstractmethod
    def start(self, head: ResponseHead) -> None:
        """Takes status and headers; at most once, before any chunk."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the answer body."""

    @abstractmethod
    def finish(self, outcome: Outcome) -> None:
        """Takes the final outcome; no other method is called after it."""

    def congested(self) -> bool:
        """Returns whether the sender should pause for a slow reader."""
        return False


class CallHandle(ABC):
    """The caller's handle on a call in progress."""

    @abstractmethod
    def detach(self) -> None:
        """Disconnects the caller; the call can still be resumed."""


class CallHandler(ABC):
    """Runs calls; implemented by the node, the router and the owner."""

    @abstractmethod
    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Starts a call.

        Args:
            call: The parsed call.
            sink: Receives the answer and exactly one outcome.
        """
