"""Calls as they travel from a caller to the VM that runs them."""

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
    """What a call asks for."""

    CHAT = "chat"
    ACTION = "action"
    RESUME = "resume"
    OPEN = "open"
    END = "end"
    CANCEL = "cancel"
    SHOW = "show"


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a program, parsed and authenticated.

    Attributes:
        kind: What is asked for.
        account: The caller's account.
        program: The program's id, with its parents' path; empty in a
            caller's ``OPEN``, which gets an issued one.
        number: The call's position in its program, from 1; 0 when the
            caller sent none and the owner numbers it on arrival.
        idempotency_key: The caller's key, or empty.
        application: The target group of an action, or empty.
        operation: Method and path of an action, such as ``POST /orders``.
        model: The model of a chat call, or empty.
        body: The request body, passed to the target as it came.
        streamed: Whether the caller wants the answer as it is made.
        deadline_s: Seconds the caller is willing to wait from arrival.
        receipt: The last receipt the caller holds, or empty.
        resume_from: Bytes of the answer body the caller already has.
        program_class: The class the caller declares, for rule matching.
        new_branch: Whether the caller says that its messages drop or
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
        headers: Name and value pairs, in sending order.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class CallSink(ABC):
    """Receives one answer: a head, chunks, then exactly one outcome."""

    @abstractmethod
    def start(self, head: ResponseHead) -> None:
        """Takes status and headers, at most once and before any chunk."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the answer body."""

    @abstractmethod
    def finish(self, outcome: Outcome) -> None:
        """Takes the final outcome; nothing follows it."""

    def congested(self) -> bool:
        """Returns whether the reader is slower than the writer."""
        return False


class CallHandle(ABC):
    """The asking side's hold on a call in progress."""

    @abstractmethod
    def detach(self) -> None:
        """Says that the caller has gone; the call may still be resumed."""


class CallHandler(ABC):
    """Runs calls: the one protocol between entry, mesh and owner."""

    @abstractmethod
    def handle(self, call: Call, sink: CallSink) -> CallHandle:
        """Starts a call; the sink gets its answer and outcome.

        Args:
            call: The parsed call.
            sink: Where the answer goes; ``finish`` is called exactly once.
        """
